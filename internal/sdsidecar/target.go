package sdsidecar

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/savorydeal/savorydeal"
	"github.com/savorydeal/savorydeal/internal/sdfeedback"
	"github.com/savorydeal/savorydeal/internal/sdhttp"
	"github.com/savorydeal/savorydeal/internal/sdinstance"
	"github.com/savorydeal/savorydeal/internal/sdpeerheader"
	"github.com/savorydeal/savorydeal/internal/sdqueue"
	"github.com/savorydeal/savorydeal/internal/sdspeed"
)

const (
	// targetDialTimeout bounds the time to connect to the target on the same VM.
	targetDialTimeout = 500 * time.Millisecond
	// targetIdleTimeout is how long an unused connection to the target is kept,
	// unless the target specifies a shorter time.
	targetIdleTimeout = 8 * time.Second
	// minRunTime is the minimum remaining time with which a call is sent to the
	// target.
	minRunTime = 5 * time.Millisecond
	// slotShare is the share of a target's slots that is used, since some targets
	// slow down when almost all of their slots are occupied.
	slotShare = 0.95
	// maxRateLimitWait is the maximum time that a call waits because of the target's
	// rate limit: another target of the service, or another service, may have room.
	maxRateLimitWait = 100 * time.Millisecond
)

// Reasons why a call has no answer from the target.
const (
	reasonNoTarget     = "no_target"
	reasonLeaving      = "target_leaving"
	reasonStopping     = "stopping"
	reasonWrongNode    = "wrong_service"
	reasonQueue        = "queue_full"
	reasonDeadline     = "deadline"
	reasonCanceled     = "canceled"
	reasonRefused      = "target_refused"
	reasonUnreachable  = "unreachable"
	reasonBroken       = "connection_broken"
	reasonUnsigned     = "answer_not_signed"
	reasonUnresponsive = "node_silent"
	reasonOverload     = "overloaded"
	reasonPoison       = "crashes_targets"
	reasonMemory       = "memory_full"
	reasonUnconfirmed  = "config_not_confirmed"
	reasonQuota        = "quota_used_up"
	reasonQuotaOwner   = "quota_owner_unreachable"
	// reasonTargetConns is that of a call for which no connection to its target is left,
	// reasonPeerConns that of one for which none to its node is left.
	reasonTargetConns = "target_connections_full"
	reasonPeerConns   = "peer_connections_full"
)

// targetServer queues calls and runs them on this VM's target.
type targetServer struct {
	node    *Node
	pool    *sdhttp.Pool
	refused *refusedRequests

	mu    sync.Mutex
	queue *sdqueue.Queue
	// waiting holds the channel of each queued call, which receives true if the
	// call may run and false if it is refused.
	waiting    map[sdqueue.CallID]chan bool
	lastCallID sdqueue.CallID
	state      sdinstance.State
	// speed holds the run times of the target.
	speed *sdspeed.Meter
	// feedback is what holds of the target according to its answers.
	feedback sdfeedback.Record
	// startTimer starts waiting calls when the rate limit allows it.
	startTimer *time.Timer
}

func newTargetServer(n *Node, maxConns int) *targetServer {
	s := &targetServer{
		node: n,
		pool: &sdhttp.Pool{
			Address: n.settings.TargetAddress, DialTimeout: targetDialTimeout, IdleTimeout: targetIdleTimeout, Memory: n.memory,
			Conns: &sdhttp.ConnLimit{Limit: maxConns},
		},
		refused: newRefusedRequests(),
		queue:   sdqueue.New(),
		speed:   sdspeed.NewMeter(),
		waiting: make(map[sdqueue.CallID]chan bool),
	}
	s.startTimer = time.AfterFunc(time.Hour, s.startWaiting)
	s.startTimer.Stop() // until a call waits
	return s
}

// setState applies a new state of the target. Unless the target is ready, calls that
// still wait are refused.
func (s *targetServer) setState(state sdinstance.State) {
	s.mu.Lock()
	defer s.mu.Unlock()
	newTarget := state.Heartbeat.Identity != s.state.Heartbeat.Identity
	s.state = state
	if newTarget {
		s.speed.Reset()
	}
	s.feedback.SetStart(state.Heartbeat.Start())
	s.applyLimits()
	if state.Target != savorydeal.TargetReady {
		s.notifyWaiting(s.queue.Drain())
	}
	if newTarget || state.Target == savorydeal.TargetSilent {
		go s.pool.CloseIdle()
	}
}

// notifyWaiting notifies the calls that have left the queue whether they may run, and
// sets the timer for those that the rate limit delays. It follows every change of the
// queue. The caller holds mu.
func (s *targetServer) notifyWaiting(dequeued sdqueue.Dequeued) {
	for _, id := range dequeued.Run {
		s.waiting[id] <- true
		delete(s.waiting, id)
	}
	for _, id := range dequeued.Refused {
		s.waiting[id] <- false
		delete(s.waiting, id)
	}
	if wait, ok := s.queue.NextStart(time.Now()); ok {
		s.startTimer.Reset(wait)
	}
}

// refuseWaiting refuses the calls that wait for the target.
func (s *targetServer) refuseWaiting() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.notifyWaiting(s.queue.Drain())
}

// startWaiting starts the waiting calls that the rate limit allows by now.
func (s *targetServer) startWaiting() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.notifyWaiting(s.queue.Start(time.Now()))
}

// refusalReason returns the reason why a call of the service cannot run on the target
// now, or "" if it can. The caller holds mu.
func (s *targetServer) refusalReason(service string) string {
	switch {
	case service != s.node.settings.Service:
		return reasonWrongNode
	case s.state.Target == savorydeal.TargetLeaving || s.feedback.InForce().Leaving:
		return reasonLeaving
	case s.state.Target != savorydeal.TargetReady:
		return reasonNoTarget
	}
	return ""
}

// load returns the load of the target's queue. The caller holds mu.
func (s *targetServer) load() sdpeerheader.Load {
	return sdpeerheader.Load{Running: s.queue.Running(), Queued: s.queue.Waiting(), Limit: s.queue.Limit(), Demand: s.queue.Demand(time.Now())}
}

// notRun returns the reply for a call that was not sent to the target.
func (s *targetServer) notRun(reason string) (*sdhttp.Response, sdpeerheader.Reply) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return nil, sdpeerheader.Reply{Outcome: sdpeerheader.OutcomeNotRun, Reason: reason, Load: s.load()}
}

// serve runs a call on the target as soon as the queue admits it.
func (s *targetServer) serve(ctx context.Context, call sdpeerheader.Call, request *sdhttp.Request) (*sdhttp.Response, sdpeerheader.Reply) {
	deadline := request.ReceivedAt.Add(call.Remaining)
	if s.node.isBlocked(call, request) {
		return s.notRun(reasonPoison)
	}
	if call.Depth == 0 && s.node.callOutlastsStop(deadline) {
		return s.notRun(reasonStopping)
	}
	if reason := s.admit(ctx, call, request.ReceivedAt); reason != "" {
		return s.notRun(reason)
	}
	startedAt := time.Now()
	id := request.Header.Get(s.node.headers.RequestID)
	info := &runInfo{route: call.Route, account: call.Account, rank: call.Rank, depth: call.Depth, deadline: deadline}
	s.node.runs.begin(id, info)
	ended := false
	defer func() {
		if !ended { // a panic ends only this call
			s.node.runs.end(id)
			s.releaseSlot()
		}
	}()
	response, reply := s.run(ctx, call, request, id, deadline)
	ended = true
	s.node.runs.end(id)
	runTime := time.Since(startedAt)
	reply.DownstreamCalls = info.copyDownstreamCalls()
	reply.Pressures = s.node.downstreamPressures(reply.DownstreamCalls)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	ran := reply.Outcome == sdpeerheader.OutcomeRan
	if ran && response.Status < http.StatusInternalServerError || reply.Reason == reasonDeadline {
		s.speed.Observe(now, call.Route, runTime)
	}
	if !ran {
		runTime = 0 // how long the run takes is not known
	}
	s.notifyWaiting(s.queue.Finish(now, runTime))
	if ran {
		reply.RunTime = s.speed.Mean(now, call.Route)
	}
	reply.Load = s.load()
	return response, reply
}

// admit waits until the queue admits the call. It returns the reason why the call does
// not run, or "", in which case the call occupies a slot of the concurrency limit.
func (s *targetServer) admit(ctx context.Context, call sdpeerheader.Call, received time.Time) string {
	s.mu.Lock()
	if reason := s.refusalReason(call.Service); reason != "" {
		s.mu.Unlock()
		return reason
	}
	if call.Remaining < minRunTime {
		s.mu.Unlock()
		return reasonDeadline
	}
	s.lastCallID++
	id := s.lastCallID
	waitUntil := received.Add(call.MaxWait)
	if latest := time.Now().Add(maxRateLimitWait); s.queue.RateLimited() && waitUntil.After(latest) {
		waitUntil = latest
	}
	decision, dequeued := s.queue.Arrive(time.Now(), sdqueue.Arrival{
		ID: id, Rank: call.Rank, Nested: call.Depth > 0, Account: call.Account, WaitUntil: waitUntil,
	})
	if decision != sdqueue.DecisionWait {
		s.notifyWaiting(dequeued)
		s.mu.Unlock()
		if decision == sdqueue.DecisionRefuse {
			return reasonQueue
		}
		return ""
	}
	admitted := make(chan bool, 1)
	s.waiting[id] = admitted
	s.notifyWaiting(dequeued)
	s.mu.Unlock()
	return s.waitForSlot(ctx, id, admitted, waitUntil)
}

// waitForSlot waits for the queue's decision, until waitUntil at the latest. It returns
// the reason why the call does not run, or "".
func (s *targetServer) waitForSlot(ctx context.Context, id sdqueue.CallID, admitted chan bool, waitUntil time.Time) string {
	timer := time.NewTimer(time.Until(waitUntil))
	defer timer.Stop()
	reason := reasonQueue
	select {
	case mayRun := <-admitted:
		return s.confirmStart(mayRun)
	case <-ctx.Done():
		reason = reasonCanceled
	case <-timer.C:
	}
	s.mu.Lock()
	canceled := s.queue.Cancel(id)
	delete(s.waiting, id)
	s.mu.Unlock()
	if canceled {
		return reason
	}
	// The call left the queue at the same moment. If it was admitted, its slot is
	// released unused.
	if <-admitted {
		s.releaseSlot()
	}
	return reason
}

// confirmStart checks the target's state again for a call that has waited, since the
// target may have left in the meantime. It returns the reason why the call does not
// run, or "".
func (s *targetServer) confirmStart(mayRun bool) string {
	if !mayRun {
		return reasonQueue
	}
	s.mu.Lock()
	reason := s.refusalReason(s.node.settings.Service)
	s.mu.Unlock()
	if reason != "" {
		s.releaseSlot()
	}
	return reason
}

// releaseSlot returns the slot of a call that was admitted and does not run.
func (s *targetServer) releaseSlot() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.notifyWaiting(s.queue.Finish(time.Now(), 0))
}

// run sends the call to the target and classifies the answer or the failure.
func (s *targetServer) run(ctx context.Context, call sdpeerheader.Call, request *sdhttp.Request, id string, deadline time.Time) (*sdhttp.Response, sdpeerheader.Reply) {
	headers := s.node.headers
	s.mu.Lock()
	start := s.state.Heartbeat.Start()
	checkStart(s.state, request.ReceivedAt, time.Now())
	s.mu.Unlock()
	remaining := time.Until(deadline)
	if remaining < minRunTime {
		return nil, sdpeerheader.Reply{Outcome: sdpeerheader.OutcomeNotRun, Reason: reasonDeadline}
	}
	forwarded := *request
	forwarded.Header = request.Header.Clone()
	forwarded.Header.Del(sdpeerheader.CallHeader)
	forwarded.Header.Del(sdpeerheader.FeedbackHeader)
	checkTimeLeft(request.Header, headers.Timeout, remaining.Milliseconds())
	forwarded.Header.Set(headers.Timeout, strconv.FormatInt(remaining.Milliseconds(), 10))
	forwarded.Header.Set(headers.TargetIdentity, start.Identity)
	forwarded.Header.Set(headers.CallerService, call.CallerService)
	s.node.setAccountHeaders(forwarded.Header, call.Account)
	isOwnAnswer := func(header http.Header) bool { return header.Get(headers.RequestID) == id }
	sentAt := time.Now()
	s.node.metrics.targetRequests.Inc()
	// The target may write an earlier refusal of the request again on the connection on
	// which it sent it. A new connection carries answers to this attempt only.
	newConn := s.refused.contains(id)
	response, err := s.pool.Do(ctx, &forwarded, deadline, newConn, isOwnAnswer)
	s.observeAnswer(start, sentAt, answerOf(response, err))
	if err != nil {
		reply := s.failureReply(ctx, err)
		if reply.Outcome == sdpeerheader.OutcomeUnknown && reply.Reason == reasonBroken {
			s.node.handleBrokenRun(call, request, time.Since(sentAt))
		}
		return nil, reply
	}
	answer, reply := s.answerReply(response)
	switch reply.Outcome {
	case sdpeerheader.OutcomeRan:
		s.node.recordAnsweredRun(call, request)
	case sdpeerheader.OutcomeNotRun:
		s.refused.add(id)
	case sdpeerheader.OutcomeUnknown:
	}
	return answer, reply
}

// refuseLargeCall answers a call of another node for which there is no memory left.
func (n *Node) refuseLargeCall(context.Context, *sdhttp.Request) *sdhttp.Response {
	// The head of the call may not have been parsed. Control calls ignore the reply.
	response := &sdhttp.Response{Status: http.StatusServiceUnavailable, Header: make(http.Header, 1)}
	_, reply := n.target.notRun(reasonMemory)
	response.Header.Set(sdpeerheader.ReplyHeader, reply.Encode())
	return response
}

// handlePeer handles a request from another node: a call for this VM's target or a control
// call.
func (n *Node) handlePeer(ctx context.Context, request *sdhttp.Request) *sdhttp.Response {
	encodedCall := request.Header.Get(sdpeerheader.CallHeader)
	if encodedCall == "" {
		return n.handleControlCall(ctx, request)
	}
	call, err := sdpeerheader.DecodeCall(encodedCall)
	if err != nil {
		n.log.Warn("call header of another node not decoded", "error", err)
		return &sdhttp.Response{Status: http.StatusBadRequest}
	}
	if feedback := request.Header.Get(sdpeerheader.FeedbackHeader); feedback != "" {
		_ = n.target.adoptFeedback(feedback, request.ReceivedAt) // the call runs without it
	}
	response, reply := n.target.serve(ctx, call, request)
	if response == nil {
		response = &sdhttp.Response{Status: http.StatusServiceUnavailable, Header: make(http.Header, 1)}
	}
	if response.Header == nil {
		response.Header = make(http.Header, 1)
	}
	response.Header.Set(sdpeerheader.ReplyHeader, reply.Encode())
	n.target.reportFeedback(response.Header)
	return response
}
