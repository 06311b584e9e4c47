package sdsidecar

import (
	"context"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/savorydeal/savorydeal/internal/sdhttp"
	"github.com/savorydeal/savorydeal/internal/sdquota"
)

// quotaToken is a token of an account's quota. The zero value is none.
type quotaToken struct {
	account *quotaAccount
	ticket  sdquota.Ticket
}

// quotaMetrics are the metrics of the quotas of accounts.
type quotaMetrics struct {
	refusals                                     *prometheus.CounterVec
	waitSeconds                                  prometheus.Histogram
	requested, received, granted, returned, sent prometheus.Counter
}

func newQuotaMetrics(registry *prometheus.Registry) quotaMetrics {
	counter := func(name, help string) prometheus.Counter {
		return prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help})
	}
	m := quotaMetrics{
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "quota_refusals_total", Help: "Requests refused because of their account's quota, by account and verdict.",
		}, []string{"account", "verdict"}),
		waitSeconds: prometheus.NewHistogram(prometheus.HistogramOpts{
			Namespace: namespace, Name: "quota_wait_seconds", Help: "Time for which requests waited for a token of their account's quota, in seconds.",
			Buckets: prometheus.ExponentialBuckets(0.0005, 2, 9),
		}),
		requested: counter("quota_tokens_requested_total", "Tokens that this node has asked the owners of accounts for."),
		received:  counter("quota_tokens_received_total", "Tokens that this node has got from the owners of accounts."),
		granted:   counter("quota_tokens_granted_total", "Tokens that this node, as the owner of accounts, has granted."),
		returned:  counter("quota_tokens_returned_total", "Tokens returned because their requests did not run."),
		sent:      counter("quota_datagrams_sent_total", "Datagrams sent with token requests or answers to them."),
	}
	registry.MustRegister(m.refusals, m.waitSeconds, m.requested, m.received, m.granted, m.returned, m.sent)
	return m
}

// checkQuota takes a token of the account's quota. It refuses a request that gets none in
// time.
func (n *Node) checkQuota(ctx context.Context, r *request) *sdhttp.Response {
	if r.parent != nil || r.account == nil || !r.account.Quota.Limited() {
		return nil
	}
	account := n.quotas.account(r.account)
	decision, pending := account.arrive(n.quotas)
	if pending != nil {
		arrived := time.Now()
		decision = account.await(ctx, n.quotas, pending, r.deadline)
		n.metrics.quota.waitSeconds.Observe(time.Since(arrived).Seconds())
	}
	if decision.Verdict == sdquota.VerdictGranted {
		r.token = quotaToken{account: account, ticket: decision.Ticket}
		return nil
	}
	n.metrics.quota.refusals.WithLabelValues(account.name, string(decision.Verdict)).Inc()
	if decision.Verdict == sdquota.VerdictNoRoom {
		return n.refuseOverQuota(r, decision.RetryAfter)
	}
	n.log.Request("owner of quota unreachable", "request", r.id, "account", account.name, "owner", account.owner())
	return n.refuse(r, reasonQuotaOwner)
}

// refuseOverQuota returns the response to a request beyond its account's quota. room is the
// time until there is room for one request; the callers that are refused meanwhile must not all
// return then.
func (n *Node) refuseOverQuota(r *request, room time.Duration) *sdhttp.Response {
	remaining := time.Until(r.deadline)
	spread := time.Duration(n.randomFraction() * float64(retryAfterSpread))
	retryAfter := max(0, min(room+spread, time.Duration(retryAfterShare*float64(remaining))))
	checkRefusal(r)
	n.metrics.refusals.WithLabelValues(reasonQuota).Inc()
	n.log.Request("request over quota", "request", r.id, "route", r.route.Name, "account", r.accountName(), "room_in", room,
		"retry_after", retryAfter, "left", remaining)
	return n.refusalResponse(http.StatusTooManyRequests, retryAfter)
}

// returnToken gives back the token of a request that certainly did not run.
func (n *Node) returnToken(r *request) {
	if r.token.account == nil || r.history.mayHaveRun {
		return
	}
	n.metrics.quota.returned.Inc()
	r.token.account.giveBack(n.quotas, r.token.ticket)
}
