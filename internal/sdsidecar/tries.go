package sdsidecar

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/savorydeal/savorydeal"
	"github.com/savorydeal/savorydeal/internal/sdbalance"
	"github.com/savorydeal/savorydeal/internal/sdhttp"
	"github.com/savorydeal/savorydeal/internal/sdinner"
)

const (
	// maxRedirects bounds the targets that are asked after one has refused
	// without having been reached.
	maxRedirects = 3
	// patienceShare is the part of the time left that a call may wait for its
	// turn.
	patienceShare = 0.5
	// leastTry is the least time left with which another try makes sense.
	leastTry = 20 * time.Millisecond
)

// carry tries targets until one has answered or no further try is allowed.
func (n *Node) carry(ctx context.Context, r *request) *sdhttp.Response {
	var tried []savorydeal.NodeID
	reached, redirects := 0, 0
	for {
		left := time.Until(r.deadline)
		if left <= 0 {
			return n.giveUp(r, reached, reasonDeadline)
		}
		n.mu.Lock()
		member, ok := n.balancer.Choose(n.clock.Now(), r.service, r.route.Name, tried)
		n.mu.Unlock()
		if !ok {
			return n.giveUp(r, reached, reasonNoTarget)
		}
		response, reply := n.try(ctx, r, member, left)
		n.observe(ctx, r, member, response, reply)
		tried = append(tried, member.Node)
		if reply.Reached {
			reached++
		}
		if reply.Verdict == sdinner.VerdictRan && !(response.Status >= http.StatusInternalServerError && n.mayRepeat(ctx, r, reached)) {
			return response
		}
		if response != nil && reply.Verdict == sdinner.VerdictRan {
			closeRest(response)
		}
		switch {
		case ctx.Err() != nil:
			return n.fail(r, http.StatusBadGateway, reasonCanceled)
		case reply.Verdict == sdinner.VerdictNotRun && !reply.Reached:
			redirects++
			if redirects > maxRedirects {
				return n.giveUp(r, reached, reply.Reason)
			}
		case reply.Verdict == sdinner.VerdictRan:
		case reply.Verdict == sdinner.VerdictNotRun:
			if !n.mayRepeat(ctx, r, reached) {
				return n.giveUp(r, reached, reply.Reason)
			}
		default:
			if !r.route.Kind.Repeatable() || !n.mayRepeat(ctx, r, reached) {
				return n.giveUpUnknown(r, reply.Reason)
			}
		}
	}
}

// giveUp ends a request of which no try has run as far as it is known here.
func (n *Node) giveUp(r *request, reached int, reason string) *sdhttp.Response {
	_ = reached
	return n.refuse(r, reason)
}

// giveUpUnknown ends a request that may have run.
func (n *Node) giveUpUnknown(r *request, reason string) *sdhttp.Response {
	if reason == reasonDeadline {
		return n.fail(r, http.StatusGatewayTimeout, reason)
	}
	return n.fail(r, http.StatusBadGateway, reason)
}

// mayRepeat takes one more target from the budgets.
func (n *Node) mayRepeat(ctx context.Context, r *request, reached int) bool {
	if ctx.Err() != nil || reached >= r.route.MaxTargets || time.Until(r.deadline) < leastTry {
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.budget.Spend(n.clock.Now(), map[string]float64{r.service: 1})
}

// try sends the request to one target.
func (n *Node) try(ctx context.Context, r *request, member savorydeal.Member, left time.Duration) (*sdhttp.Response, sdinner.Reply) {
	call := sdinner.Call{
		Service: r.service, Route: r.route.Name, Rank: r.rank, Depth: r.depth, Left: left,
		Patience:   time.Duration(patienceShare * float64(left)),
		Repeatable: r.route.Kind.Repeatable(), CallerService: n.settings.Service,
	}
	onward := n.onward(r, call)
	if member.Node == n.self {
		onward.Received = time.Now()
		return n.target.serve(ctx, call, onward)
	}
	own := func(header http.Header) bool { return header.Get(sdinner.ReplyHeader) != "" }
	response, err := n.peers.pool(member.PeerAddress).Do(ctx, onward, r.deadline, false, own)
	if err != nil {
		return nil, n.judgeLink(ctx, r, member, err)
	}
	reply, err := sdinner.DecodeReply(response.Header.Get(sdinner.ReplyHeader))
	if err != nil {
		n.log.Warn("reply of another node not read", "peer", member.PeerAddress, "error", err)
		return nil, sdinner.Reply{Verdict: sdinner.VerdictUnknown, Reason: reasonBroken, Reached: true}
	}
	response.Header.Del(sdinner.ReplyHeader)
	if reply.Verdict != sdinner.VerdictRan {
		closeRest(response)
		return nil, reply
	}
	return response, reply
}

// judgeLink judges a try whose connection to the target's node has failed.
func (n *Node) judgeLink(ctx context.Context, r *request, member savorydeal.Member, err error) sdinner.Reply {
	var failure *sdhttp.Failure
	if !errors.As(err, &failure) {
		return sdinner.Reply{Verdict: sdinner.VerdictUnknown, Reason: reasonBroken, Reached: true}
	}
	reply := sdinner.Reply{Verdict: sdinner.VerdictUnknown, Reason: reasonBroken, Reached: true}
	if !failure.Sent {
		reply = sdinner.Reply{Verdict: sdinner.VerdictNotRun, Reason: reasonUnreachable}
	}
	if failure.Sent && isDeadline(err) {
		reply.Reason = reasonDeadline
	}
	if ctx.Err() == nil {
		n.log.Request("link failed", "request", r.id, "peer", member.PeerAddress, "sent", failure.Sent, "error", err)
	}
	return reply
}

// observe tells the balancer how a try ended.
func (n *Node) observe(ctx context.Context, r *request, member savorydeal.Member, response *sdhttp.Response, reply sdinner.Reply) {
	result := sdbalance.ResultFailed
	switch {
	case ctx.Err() != nil:
		result = sdbalance.ResultAbandoned
	case reply.Verdict == sdinner.VerdictRan && response.Status < http.StatusInternalServerError:
		result = sdbalance.ResultAnswered
	case reply.Verdict == sdinner.VerdictNotRun && reply.Reason == reasonQueue, reply.Reason == reasonDeadline:
		result = sdbalance.ResultRefused
	case reply.Verdict == sdinner.VerdictNotRun && !reply.Reached:
		result = sdbalance.ResultUnreachable
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.balancer.Observe(n.clock.Now(), sdbalance.Observation{
		Node: member.Node, Route: r.route.Name, Result: result, Ran: reply.Ran,
		Load: sdbalance.Load{Running: reply.Load.Running, Queued: reply.Load.Queued, Limit: reply.Load.Limit},
	})
}
