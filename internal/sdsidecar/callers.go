package sdsidecar

import (
	"context"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/savorydeal/savorydeal"
	"github.com/savorydeal/savorydeal/internal/sdhttp"
	"github.com/savorydeal/savorydeal/internal/sdpeerheader"
	"github.com/savorydeal/savorydeal/internal/sdroute"
)

const (
	// noConfigRetryAfter is the Retry-After time of refusals while this node has no
	// configuration.
	noConfigRetryAfter = 300 * time.Millisecond
	// Retry-After times of refusals are uniform in [minRetryAfter, minRetryAfter +
	// retryAfterSpread), so that refused callers do not return at the same moment.
	minRetryAfter    = 150 * time.Millisecond
	retryAfterSpread = 350 * time.Millisecond
	// retryAfterShare bounds the Retry-After time by this share of the time that
	// remains until the request's deadline.
	retryAfterShare = 0.3
)

// request is a request from a caller or from this VM's target. The steps of handleCaller
// fill its fields in.
type request struct {
	http *sdhttp.Request
	id   string
	// config is the configuration in force when the request was received.
	config  *configInForce
	route   *savorydeal.Route
	service string
	// account is the client account of the request, nil if there is none. It holds no
	// keys.
	account *savorydeal.Account
	// rank is the importance of the request, as sdaccount.Rank returns it or, for a call
	// of a run, the rank of that run. 0 is the most important.
	rank int
	// depth is the number of runs above this call; 0 for a caller's request.
	depth    int
	deadline time.Time
	// parent is the run on this VM's target that made this call, nil for a caller's
	// request.
	parent *runInfo
	// token is the token of the account's quota that the request has got.
	token   quotaToken
	history attemptHistory
	// dispatched is true once the request has been passed on to targets.
	dispatched bool
}

// accountName returns the name of the request's account, empty if there is none.
func (r *request) accountName() string {
	if r.account == nil {
		return ""
	}
	return r.account.Name
}

// callerStep is one step in the handling of a request. It returns the response if the
// request ends with this step.
type callerStep func(n *Node, ctx context.Context, r *request) *sdhttp.Response

// handleCaller handles requests from callers and calls from this VM's target.
func (n *Node) handleCaller(ctx context.Context, received *sdhttp.Request) *sdhttp.Response {
	r := &request{http: received, id: received.Header.Get(n.headers.RequestID)}
	// Requests that end in these steps are not counted as requests of their route.
	for _, step := range [...]callerStep{
		(*Node).findRoute,
		(*Node).findRun,
		(*Node).setDeadline,
		(*Node).identifyAccount,
	} {
		if response := step(n, ctx, r); response != nil {
			return response
		}
	}
	var response *sdhttp.Response
	for _, step := range [...]callerStep{
		(*Node).checkQuota,
		(*Node).checkPressure,
		(*Node).dispatch,
	} {
		if response = step(n, ctx, r); response != nil {
			break
		}
	}
	n.returnToken(r)
	duration := time.Since(received.ReceivedAt)
	n.metrics.observeRequest(r, response.Status, duration)
	n.traffic.record(r, response.Status, duration)
	return response
}

// findRoute finds the route and the service of the request in the configuration in force.
func (n *Node) findRoute(_ context.Context, r *request) *sdhttp.Response {
	r.config = n.routes.Load()
	if r.config == nil {
		n.log.Request("no configuration yet", "request", r.id)
		return n.refusalResponse(http.StatusServiceUnavailable, noConfigRetryAfter)
	}
	route, ok := r.config.Find(r.http.Host, r.http.Target)
	if !ok {
		n.log.Request("no route", "request", r.id, "host", r.http.Host, "target", r.http.Target, "version", r.config.Config().Version)
		return &sdhttp.Response{Status: http.StatusNotFound}
	}
	r.route, r.service = route, sdroute.ChooseService(route, hashFraction(r.id))
	return nil
}

// findRun finds the run on this VM's target that made the call, if any.
func (n *Node) findRun(_ context.Context, r *request) *sdhttp.Response {
	if parent, ok := n.runs.parent(r.id); ok {
		r.parent = parent
		r.depth = parent.depth + 1
	}
	return nil
}

// setDeadline sets the deadline of the request. It refuses the request if it might
// outlast a graceful stop.
func (n *Node) setDeadline(_ context.Context, r *request) *sdhttp.Response {
	r.deadline = r.http.ReceivedAt.Add(requestTimeout(r.route, r.http.Header.Get(n.headers.Timeout)))
	if r.parent != nil && r.parent.deadline.Before(r.deadline) {
		r.deadline = r.parent.deadline
	}
	if n.outlastsStop(r) {
		return n.refuse(r, reasonStopping)
	}
	return nil
}

// dispatch sends the request to targets. It always returns a response.
func (n *Node) dispatch(ctx context.Context, r *request) *sdhttp.Response {
	r.dispatched = true
	return n.forward(ctx, r)
}

// requestTimeout returns the time until a request's deadline: the caller's, in
// milliseconds, or the route's if that is shorter or the caller states none.
func requestTimeout(route *savorydeal.Route, callerMS string) time.Duration {
	timeoutMS, err := strconv.ParseFloat(callerMS, 64)
	// Compared as numbers: the conversion of one beyond the range of durations depends on
	// the processor.
	if err != nil || timeoutMS < 0 || timeoutMS >= route.Timeout.Seconds()*1000 || math.IsNaN(timeoutMS) {
		return route.Timeout
	}
	return time.Duration(timeoutMS * float64(time.Millisecond))
}

// hashFraction maps a request ID to [0, 1) in the same way on every node, so that all
// nodes choose the same service for a request.
func hashFraction(id string) float64 {
	return float64(xxhash.Sum64String(id)>>11) / math.Exp2(53)
}

// refusalResponse returns the response to a request that has not run and will not run.
// retryAfter is sent as the Retry-After header, in seconds.
func (n *Node) refusalResponse(status int, retryAfter time.Duration) *sdhttp.Response {
	header := make(http.Header, 1)
	header.Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	return &sdhttp.Response{Status: status, Header: header}
}

// refuseLargeRequest answers a request for whose body there is no memory left.
func (n *Node) refuseLargeRequest(_ context.Context, received *sdhttp.Request) *sdhttp.Response {
	n.metrics.refusals.WithLabelValues(reasonMemory).Inc()
	n.log.Request("large request refused", "request", received.Header.Get(n.headers.RequestID), "target", received.Target,
		"reason", reasonMemory, "held_bytes", n.memory.Used())
	return n.refusalResponse(http.StatusServiceUnavailable, minRetryAfter+time.Duration(n.randomFraction()*float64(retryAfterSpread)))
}

// refuse returns the response for a request that has not run. Its Retry-After time is
// randomised.
func (n *Node) refuse(r *request, reason string) *sdhttp.Response {
	remaining := time.Until(r.deadline)
	retryAfter := min(minRetryAfter+time.Duration(n.randomFraction()*float64(retryAfterSpread)), time.Duration(retryAfterShare*float64(remaining)))
	checkRefusal(r)
	n.metrics.refusals.WithLabelValues(reason).Inc()
	n.log.Request("request refused", "request", r.id, "route", r.route.Name, "service", r.service, "rank", r.rank,
		"depth", r.depth, "reason", reason, "left", remaining)
	return n.refusalResponse(http.StatusServiceUnavailable, max(0, retryAfter))
}

// fail returns the response for a request that may have run.
func (n *Node) fail(r *request, status int, reason string) *sdhttp.Response {
	n.log.Request("request failed", "request", r.id, "route", r.route.Name, "service", r.service, "rank", r.rank,
		"depth", r.depth, "reason", reason, "status", status, "held", time.Since(r.http.ReceivedAt))
	return &sdhttp.Response{Status: status}
}

// forwardedRequest returns a copy of the request to which the headers of
// sdpeerheader are added for the target's node.
func (n *Node) forwardedRequest(r *request, node savorydeal.NodeID, call sdpeerheader.Call) *sdhttp.Request {
	forwarded := *r.http
	forwarded.Header = r.http.Header.Clone()
	forwarded.Header.Set(sdpeerheader.CallHeader, call.Encode())
	forwarded.Header.Del(sdpeerheader.FeedbackHeader) // a caller may have set it
	if feedback, ok := n.knownFeedback(node); ok {
		forwarded.Header.Set(sdpeerheader.FeedbackHeader, feedback.Encode())
	}
	return &forwarded
}
