// Package sdserve runs calls on the target of this VM: it checks that the
// target accepts calls, waits for admission, sends the call and reports its
// end.
package sdserve

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/savorydeal/savorydeal"
	"github.com/savorydeal/savorydeal/internal/sdchain"
	"github.com/savorydeal/savorydeal/internal/sdheader"
)

// Server runs calls on this VM's target. It is safe for concurrent use.
type Server struct {
	clock    savorydeal.Clock
	gate     *Gate
	admitter *Admitter
	runs     *sdchain.RunTable
	target   *targetClient
	poison   PoisonHooks
	wasted   atomic.Int64
}

var _ savorydeal.Forwarder = (*Server)(nil)

// NewServer returns a server without poison hooks.
func NewServer(clock savorydeal.Clock, gate *Gate, admitter *Admitter, runs *sdchain.RunTable) *Server {
	return &Server{clock: clock, gate: gate, admitter: admitter, runs: runs, target: newTargetClient()}
}

// Forward runs one call on the target and returns its answer. The error is a
// *savorydeal.Refusal. The call keeps its slot on the target until the answer's
// body has ended or is closed.
func (s *Server) Forward(ctx context.Context, call savorydeal.Call, body io.ReadCloser) (savorydeal.Answer, error) {
	now := s.clock.Now()
	if _, refusal := s.gate.Check(now, call.Service); refusal != nil {
		_ = body.Close()
		return savorydeal.Answer{}, refusal
	}
	deadline := now.Add(call.Timeout)
	callID, refusal := s.admitter.Admit(ctx, savorydeal.Arrival{
		Class:    call.Chain.Class,
		Caller:   call.Chain.Caller,
		Rank:     call.Chain.Rank,
		Depth:    call.Chain.Depth,
		Deadline: deadline,
	})
	if refusal != nil {
		_ = body.Close()
		return savorydeal.Answer{}, refusal
	}
	execution := s.begin(callID, call, deadline)
	return execution.run(ctx, body)
}

// execution is one admitted call. It holds a slot of the target until finish.
type execution struct {
	server     *Server
	callID     savorydeal.CallID
	call       savorydeal.Call
	runState   *sdchain.Run
	token      sdchain.RunToken
	started    time.Time
	finishOnce sync.Once
}

func (s *Server) begin(callID savorydeal.CallID, call savorydeal.Call, deadline time.Time) *execution {
	run := sdchain.NewRun(call.Chain, deadline)
	return &execution{
		server:   s,
		callID:   callID,
		call:     call,
		runState: run,
		token:    s.runs.Begin(run),
		started:  s.clock.Now(),
	}
}

func (e *execution) run(ctx context.Context, body io.ReadCloser) (savorydeal.Answer, error) {
	// The target may have begun to leave while the call was queued.
	gate, refusal := e.server.gate.CheckQueued(e.started, e.call.Service)
	if refusal != nil {
		_ = body.Close()
		return savorydeal.Answer{}, e.refuse(refusal, savorydeal.RunCanceled)
	}
	if refusal := e.server.poison.check(e.server.clock.Now(), e.call); refusal != nil {
		_ = body.Close()
		return savorydeal.Answer{}, e.refuse(refusal, savorydeal.RunCanceled)
	}
	checkDispatch(gate)
	response, refusal := e.server.target.do(ctx, gate.Address, e.token, e.call, body, e.runState.Deadline)
	if refusal != nil {
		e.reportFailure(refusal.Reason)
		return savorydeal.Answer{}, e.refuse(refusal, resultOfReason(refusal.Reason))
	}
	if e.targetRefused(response) {
		_ = response.Body.Close()
		return savorydeal.Answer{}, e.refuse(notRun(savorydeal.ReasonTargetRefused, "the target refused the call before running it"), savorydeal.RunShed)
	}
	if unframed(response) {
		_ = response.Body.Close()
		return savorydeal.Answer{}, e.refuse(&savorydeal.Refusal{
			Outcome: savorydeal.OutcomeUnknown,
			Reason:  savorydeal.ReasonTargetFailed,
			Detail:  "the target's answer has neither a Content-Length nor chunked encoding; make the target send one of them",
		}, savorydeal.RunFailed)
	}
	end := &savorydeal.AnswerEnd{}
	return savorydeal.Answer{
		Status:        response.StatusCode,
		Headers:       sdheader.EndToEnd(response.Header),
		ContentLength: response.ContentLength,
		Body:          &answerBody{ReadCloser: response.Body, execution: e, ctx: ctx, status: response.StatusCode, end: end},
		End:           end,
	}, nil
}

// targetRefused reports whether the target answered that it has not run the
// call. This is accepted only if the operation's policy has TargetRefusals set
// and the run has made no onward call: a target that has called another service
// has run the call, and may only be passing on that service's refusal.
func (e *execution) targetRefused(response *http.Response) bool {
	return e.call.Operation.TargetRefusals &&
		response.StatusCode == http.StatusServiceUnavailable &&
		response.Header.Get(sdheader.Outcome) == string(savorydeal.OutcomeNotRun) &&
		!e.runState.Onward()
}

func resultOfReason(reason savorydeal.Reason) savorydeal.RunResult {
	switch reason {
	case savorydeal.ReasonDeadline:
		return savorydeal.RunTimedOut
	case savorydeal.ReasonCanceled:
		return savorydeal.RunCanceled
	default:
		return savorydeal.RunFailed
	}
}

func (e *execution) refuse(refusal *savorydeal.Refusal, result savorydeal.RunResult) *savorydeal.Refusal {
	end := e.finish(result)
	refusal.End = &end
	return refusal
}

// finish frees the call's slot on the target. Invoked again, it only returns the
// current load signal, spent retries and admission levels.
func (e *execution) finish(result savorydeal.RunResult) savorydeal.AnswerEnd {
	e.finishOnce.Do(func() {
		e.server.runs.End(e.token)
		e.server.admitter.Finish(savorydeal.Completion{
			ID:      e.callID,
			Latency: e.server.clock.Now().Sub(e.started),
			Result:  result,
			Onward:  e.runState.Onward(),
		})
	})
	return savorydeal.AnswerEnd{
		Signal:          e.server.admitter.Signal(),
		RetriesSpent:    e.runState.Budget.Spent(),
		AdmissionLevels: e.runState.AdmissionLevels(),
	}
}

// answerBody finishes its execution when the target's answer has ended, has
// failed or is closed early.
type answerBody struct {
	io.ReadCloser
	execution *execution
	ctx       context.Context
	status    int
	// end is filled in when the body has ended.
	end *savorydeal.AnswerEnd
}

// Read reads the answer and finishes the execution at its end or at an error.
func (b *answerBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	switch {
	case errors.Is(err, io.EOF):
		b.execution.server.poison.succeeded(b.execution.call)
		*b.end = b.execution.finish(resultOfStatus(b.status))
	case err != nil:
		b.execution.reportBrokenAnswer(b.ctx)
		*b.end = b.execution.finish(savorydeal.RunFailed)
	}
	return n, err
}

func resultOfStatus(status int) savorydeal.RunResult {
	switch {
	case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
		return savorydeal.RunShed
	case status >= http.StatusInternalServerError:
		return savorydeal.RunFailed
	default:
		return savorydeal.RunSucceeded
	}
}

// Close closes the answer. If it was not read to its end, the run counts as
// cancelled.
func (b *answerBody) Close() error {
	err := b.ReadCloser.Close()
	b.execution.finish(savorydeal.RunCanceled)
	return err
}
