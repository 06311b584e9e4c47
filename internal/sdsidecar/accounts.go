package sdsidecar

import (
	"context"
	"net/http"
	"time"

	"github.com/savorydeal/savorydeal"
	"github.com/savorydeal/savorydeal/internal/sdaccount"
	"github.com/savorydeal/savorydeal/internal/sdhttp"
	"github.com/savorydeal/savorydeal/internal/sdroute"
)

const (
	// defaultRevokeApply is the age of the configuration's confirmation from which strict
	// revocation refuses keys if the settings state none.
	defaultRevokeApply = 5 * time.Second
	// confirmationError bounds by how much a confirmation that came from another node may
	// seem too recent: the unit of its age, and the way of a datagram.
	confirmationError = 4 * reportAgeUnit
)

// configInForce is one configuration with its indexes.
type configInForce struct {
	*sdroute.Table
	// accounts is nil if the configuration has no accounts.
	accounts *sdaccount.Index
	// checked holds unknown keys that this configuration lacks although it was the newest.
	checked sdaccount.CheckedKeys
}

func newConfigInForce(config savorydeal.RouteConfig) *configInForce {
	return &configInForce{Table: sdroute.NewTable(config), accounts: sdaccount.NewIndex(config.Accounts)}
}

// identifyAccount finds the account and the rank of the request, and sets the headers
// that depend on the account. It answers a request with 401 if its route needs an API key
// and the request has no valid one.
func (n *Node) identifyAccount(ctx context.Context, r *request) *sdhttp.Response {
	decision := decideAccount(r)
	if decision.Verdict == sdaccount.VerdictUnknown && !n.mustNotAcceptKeys() {
		if response := n.checkUnknownKey(ctx, r); response != nil {
			return response
		}
		decision = decideAccount(r)
	}
	if decision.NeedsKey && n.mustNotAcceptKeys() {
		return n.refuse(r, reasonUnconfirmed)
	}
	if decision.Keyless && !r.parent.allowKeylessCall() {
		decision.Verdict = sdaccount.VerdictRunCalls
	}
	if decision.Verdict != sdaccount.VerdictAccepted {
		return n.refuseKey(r, decision.Verdict)
	}
	if !decision.OfRun {
		r.parent, r.depth = nil, 0
	}
	r.account = decision.Account
	r.rank = sdaccount.Rank(r.account, r.route)
	if r.parent != nil {
		r.rank = r.parent.rank
	}
	n.setAccountHeaders(r.http.Header, r.accountName())
	return nil
}

// checkUnknownKey makes sure that the newest configuration lacks the key of a request as well,
// which may have been added a moment ago. It refuses the request if that is not certain.
func (n *Node) checkUnknownKey(ctx context.Context, r *request) *sdhttp.Response {
	key := r.http.Header.Get(sdaccount.Header)
	confirmed := func() bool { return n.confirmationAge() <= n.configApply() }
	if confirmed() && r.config.checked.Contains(n.clock.Now(), key) {
		return nil
	}
	n.configCheck.wait(ctx)
	if response := n.adoptNewerConfig(ctx, r); response != nil {
		return response
	}
	if decideAccount(r).Verdict != sdaccount.VerdictUnknown {
		return nil
	}
	if !confirmed() {
		return n.refuse(r, reasonUnconfirmed)
	}
	r.config.checked.Add(n.clock.Now(), key)
	return nil
}

func decideAccount(r *request) sdaccount.Decision {
	request := sdaccount.Request{Authorization: r.http.Header.Values(sdaccount.Header), Public: r.route.Public}
	if r.parent != nil {
		request.Run = &sdaccount.Run{Account: r.parent.account}
	}
	return r.config.accounts.Decide(request)
}

// adoptNewerConfig repeats the steps before identifyAccount if another configuration has
// come in force since.
func (n *Node) adoptNewerConfig(ctx context.Context, r *request) *sdhttp.Response {
	if n.routes.Load() == r.config {
		return nil
	}
	if response := n.findRoute(ctx, r); response != nil {
		return response
	}
	return n.setDeadline(ctx, r)
}

// mustNotAcceptKeys reports whether the node must not accept API keys because its
// configuration may be outdated.
func (n *Node) mustNotAcceptKeys() bool {
	bounds := n.reloadable.Load().bounds
	if !bounds.StrictRevocation {
		return false
	}
	limit := bounds.RevokeApply
	if limit <= 0 {
		limit = defaultRevokeApply
	}
	return n.confirmationAge() > limit-confirmationError
}

// refuseKey returns the response to a request that needs an API key and has no valid one.
func (n *Node) refuseKey(r *request, verdict sdaccount.Verdict) *sdhttp.Response {
	n.metrics.unauthorised.WithLabelValues(string(verdict)).Inc()
	n.log.Request("key refused", "request", r.id, "route", r.route.Name, "reason", verdict, "version", r.config.Config().Version)
	return &sdhttp.Response{Status: http.StatusUnauthorized, Header: http.Header{"Www-Authenticate": {"Bearer"}}}
}

// setAccountHeaders removes the API key from a request and sets the header with the name
// of its account, which is empty if it has none. Headers pass unchanged if neither the
// request nor the configuration has accounts. Both the first node and the target's node
// call it, since one of them may have an older configuration.
func (n *Node) setAccountHeaders(header http.Header, account string) {
	if config := n.routes.Load(); account == "" && (config == nil || config.accounts == nil) {
		return
	}
	header.Del(sdaccount.Header)
	header.Del(n.headers.Account)
	if account != "" {
		header.Set(n.headers.Account, account)
	}
}
