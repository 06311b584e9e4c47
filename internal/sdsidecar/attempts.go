package sdsidecar

import (
	"context"
	"errors"
	"maps"
	"net/http"
	"time"

	"github.com/savorydeal/savorydeal"
	"github.com/savorydeal/savorydeal/internal/sdattempt"
	"github.com/savorydeal/savorydeal/internal/sdbalance"
	"github.com/savorydeal/savorydeal/internal/sdhttp"
	"github.com/savorydeal/savorydeal/internal/sdpeerheader"
)

const (
	// maxWaitShare is the share of the remaining time that a call may wait in the
	// target's queue.
	maxWaitShare = 0.5
	// minAttemptTime is the minimum remaining time for another attempt.
	minAttemptTime = 20 * time.Millisecond
	// targetWaitShare is the share of a route's latency objective for which a
	// request waits if there is no target; by the platform's rules a wait of up to an
	// eighth of the objective costs nothing. maxTargetWait is the upper bound for
	// routes with long objectives.
	targetWaitShare    = 0.1
	maxTargetWait      = 150 * time.Millisecond
	targetWaitInterval = 10 * time.Millisecond
	// rankReserveShare is the share of the retry budget that requests of the least
	// important rank may not spend. The ranks between it and the most important one,
	// which may spend everything, leave a proportional share.
	rankReserveShare = 0.7
)

// forward sends the request to targets until one has answered or no further attempt is
// allowed, and returns the response for the caller. The deadline, the route's MaxTargets
// and the retry budget limit the attempts.
func (n *Node) forward(ctx context.Context, r *request) *sdhttp.Response {
	attempts := sdattempt.New(r.route.Kind.Repeatable(), r.route.MaxTargets)
	var tried, reachedNodes []savorydeal.NodeID
	step, reason := sdattempt.StepNextTarget, reasonDeadline
	// failedResponse is the last response with a status of 500 or above that a target
	// sent. It is returned if the attempts end with a failure, unless its body was
	// streamed.
	var failedResponse *sdhttp.Response
	for {
		remaining := time.Until(r.deadline)
		member, ok := n.chooseTarget(r, step, tried, reachedNodes)
		if !ok && len(tried) == 0 {
			member, ok = n.waitForTarget(ctx, r)
		}
		if remaining <= 0 || !ok {
			if !ok && len(tried) == 0 {
				reason = reasonNoTarget
			}
			return n.giveUp(ctx, r, attempts.GiveUp(), reason, failedResponse)
		}
		checkAttempt(r)
		response, reply := n.sendAttempt(ctx, r, member, remaining)
		r.history.record(member.Node, reply)
		n.observeAttempt(ctx, r, member, response, reply)
		tried = append(tried, member.Node)
		if reply.ReachedTarget {
			reachedNodes = append(reachedNodes, member.Node)
		}
		n.observeReply(r, response, reply)
		reason = reply.Reason
		// A request that is blocked because it crashes targets is refused by the
		// nodes of all targets of the service, so that another attempt is useless. So it is
		// if no connection to other nodes is left.
		lastAttempt := ctx.Err() != nil || time.Until(r.deadline) < minAttemptTime || reason == reasonPoison || reason == reasonPeerConns
		switch step = attempts.Next(attemptResult(response, reply), lastAttempt, func() bool { return n.spendRetry(r) }); step {
		case sdattempt.StepPass:
			if response.Status >= http.StatusInternalServerError {
				n.log.Request("target failure returned", "request", r.id, "route", r.route.Name, "service", r.service, "rank", r.rank,
					"depth", r.depth, "peer", member.PeerAddress, "status", response.Status, "tries", len(tried), "max_targets", r.route.MaxTargets,
					"budget_left", n.budgetLeft(r), "left", time.Until(r.deadline))
			}
			return response
		case sdattempt.StepNextTarget, sdattempt.StepSameTarget:
			if response != nil {
				closeRemainder(response)
				failedResponse = response
			}
			n.log.Request("attempt failed, retrying", "request", r.id, "route", r.route.Name, "peer", member.PeerAddress,
				"verdict", reply.Outcome, "reason", reason, "left", time.Until(r.deadline))
		default:
			return n.giveUp(ctx, r, step, reason, failedResponse)
		}
	}
}

// chooseTarget chooses the target of the next attempt.
func (n *Node) chooseTarget(r *request, step sdattempt.Step, tried, reachedNodes []savorydeal.NodeID) (savorydeal.Member, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	call := sdbalance.Call{Service: r.service, Route: r.route.Name, Objective: r.route.LatencyObjective}
	if step == sdattempt.StepSameTarget {
		return n.balancer.ChooseTried(n.clock.Now(), call, reachedNodes)
	}
	return n.balancer.Choose(n.clock.Now(), call, tried)
}

// waitForTarget waits for a target to become available. A node that has just started
// discovers its own and other targets within about ten milliseconds.
func (n *Node) waitForTarget(ctx context.Context, r *request) (savorydeal.Member, bool) {
	end := time.Now().Add(min(maxTargetWait, time.Duration(targetWaitShare*float64(r.route.LatencyObjective))))
	for ctx.Err() == nil && time.Now().Before(end) {
		n.sleep(ctx, targetWaitInterval)
		if member, ok := n.chooseTarget(r, sdattempt.StepNextTarget, nil, nil); ok {
			return member, true
		}
	}
	return savorydeal.Member{}, false
}

func attemptResult(response *sdhttp.Response, reply sdpeerheader.Reply) sdattempt.Result {
	switch {
	case reply.Outcome == sdpeerheader.OutcomeRan && response.Status < http.StatusInternalServerError:
		return sdattempt.ResultAnswered
	case reply.Outcome == sdpeerheader.OutcomeRan:
		return sdattempt.ResultFailed
	case reply.Outcome == sdpeerheader.OutcomeNotRun && reply.ReachedTarget:
		return sdattempt.ResultRejected
	case reply.Outcome == sdpeerheader.OutcomeNotRun:
		return sdattempt.ResultTurnedAway
	}
	return sdattempt.ResultUnknown
}

// giveUp returns the response to a request for which no further attempt is made.
func (n *Node) giveUp(ctx context.Context, r *request, step sdattempt.Step, reason string, failedResponse *sdhttp.Response) *sdhttp.Response {
	switch {
	case step == sdattempt.StepFail && failedResponse != nil && failedResponse.Remainder == nil:
		return failedResponse
	case step == sdattempt.StepRefuse:
		return n.refuse(r, reason)
	case ctx.Err() == nil && time.Until(r.deadline) <= minAttemptTime:
		return n.fail(r, http.StatusGatewayTimeout, reason)
	}
	return n.fail(r, http.StatusBadGateway, reason)
}

// spendRetry takes the cost of one retry, downstream calls included, from the shared
// retry budget and reports whether it was available. Each rank leaves a reserve for the
// more important ones.
func (n *Node) spendRetry(r *request) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.clock.Now()
	costs := maps.Clone(n.graph.Calls(now, r.route.Name))
	if costs == nil {
		costs = make(map[string]float64, 1)
	}
	costs[r.service]++
	return n.budget.Spend(now, costs, rankReserveShare*n.shedder.RelativeRank(r.rank))
}

// budgetLeft returns the number of retries that this node may still send to the service.
func (n *Node) budgetLeft(r *request) float64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.budget.Remaining(n.clock.Now(), r.service)
}

// sendAttempt sends the request to one target, through the target's node unless that is
// this node. The response is nil unless the target has answered.
func (n *Node) sendAttempt(ctx context.Context, r *request, member savorydeal.Member, remaining time.Duration) (*sdhttp.Response, sdpeerheader.Reply) {
	call := sdpeerheader.Call{
		Service: r.service, Route: r.route.Name, Rank: r.rank, Depth: r.depth, Remaining: remaining,
		MaxWait:    time.Duration(maxWaitShare * float64(remaining)),
		Repeatable: r.route.Kind.Repeatable(), CallerService: n.settings.Service,
		Account: r.accountName(),
	}
	forwarded := n.forwardedRequest(r, member.Node, call)
	if member.Node == n.self {
		forwarded.ReceivedAt = time.Now()
		return n.target.serve(ctx, call, forwarded)
	}
	isNodeReply := func(header http.Header) bool { return header.Get(sdpeerheader.ReplyHeader) != "" }
	if member.DataCentre != n.settings.DataCentre {
		forwarded.Bytes = n.crossBytes.counts(causeCalls, r.route.Name)
	}
	remote := n.peers.peer(member.PeerAddress)
	sentAt := n.clock.Now()
	attempt := remote.beginAttempt(ctx, call.Repeatable, n.clock.Now())
	response, err := remote.pool.Do(attempt, forwarded, r.deadline, false, isNodeReply)
	if err == nil && response.Remainder != nil {
		response.Remainder = newAttemptRemainder(attempt, response.Remainder, func() { remote.endAttempt(attempt, true, n.clock.Now()) })
	} else {
		remote.endAttempt(attempt, err == nil, n.clock.Now())
	}
	if err != nil {
		return nil, n.linkFailureReply(ctx, r, member, err)
	}
	reply, err := sdpeerheader.DecodeReply(response.Header.Get(sdpeerheader.ReplyHeader))
	if err != nil {
		n.log.Warn("reply header of another node not decoded", "peer", member.PeerAddress, "error", err)
		return nil, sdpeerheader.Reply{Outcome: sdpeerheader.OutcomeUnknown, Reason: reasonBroken, ReachedTarget: true}
	}
	response.Header.Del(sdpeerheader.ReplyHeader)
	n.observeFeedback(member, sentAt, response, reply)
	if reply.Outcome != sdpeerheader.OutcomeRan {
		closeRemainder(response)
		return nil, reply
	}
	return response, reply
}

// linkFailureReply returns the reply for an attempt whose connection to the target's
// node has failed.
func (n *Node) linkFailureReply(ctx context.Context, r *request, member savorydeal.Member, err error) sdpeerheader.Reply {
	var failure *sdhttp.RequestError
	if !errors.As(err, &failure) {
		return sdpeerheader.Reply{Outcome: sdpeerheader.OutcomeUnknown, Reason: reasonBroken, ReachedTarget: true}
	}
	reply := sdpeerheader.Reply{Outcome: sdpeerheader.OutcomeUnknown, Reason: reasonBroken, ReachedTarget: true}
	if !failure.Sent {
		reply = sdpeerheader.Reply{Outcome: sdpeerheader.OutcomeNotRun, Reason: reasonUnreachable}
	}
	switch {
	case errors.Is(err, sdhttp.ErrNoConnection):
		reply.Reason = reasonPeerConns
	case errors.Is(err, errUnresponsive):
		reply.Reason = reasonUnresponsive
	case failure.Sent && isTimeout(err):
		reply.Reason = reasonDeadline
	}
	if ctx.Err() == nil {
		n.log.Request("link failed", "request", r.id, "peer", member.PeerAddress, "sent", failure.Sent, "error", err)
	}
	return reply
}

// observeAttempt reports the result of an attempt to the balancer and counts it.
func (n *Node) observeAttempt(ctx context.Context, r *request, member savorydeal.Member, response *sdhttp.Response, reply sdpeerheader.Reply) {
	result := sdbalance.ResultFailed
	switch {
	case ctx.Err() != nil, reply.Reason == reasonPeerConns:
		result = sdbalance.ResultAbandoned
	case reply.Outcome == sdpeerheader.OutcomeRan && response.Status < http.StatusInternalServerError:
		result = sdbalance.ResultAnswered
	case reply.Outcome == sdpeerheader.OutcomeNotRun && (reply.Reason == reasonQueue || reply.Reason == reasonPoison || reply.Reason == reasonTargetConns),
		reply.Reason == reasonDeadline:
		result = sdbalance.ResultRefused
	case reply.Outcome == sdpeerheader.OutcomeNotRun && !reply.ReachedTarget:
		result = sdbalance.ResultUnreachable
	}
	n.metrics.attempts.WithLabelValues(r.service, string(reply.Outcome)).Inc()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.balancer.Observe(n.clock.Now(), sdbalance.Observation{
		Node: member.Node, Route: r.route.Name, Result: result, RunTime: reply.RunTime,
		Load: sdbalance.Load{Running: reply.Load.Running, Queued: reply.Load.Queued, Limit: reply.Load.Limit, Demand: reply.Load.Demand},
	})
}
