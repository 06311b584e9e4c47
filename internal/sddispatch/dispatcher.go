// Package sddispatch forwards a call to one of the targets of its service and
// retries it where that is safe and within the retry budgets.
package sddispatch

import (
	"context"
	"errors"
	"io"
	"sync"
	"time"

	"github.com/savorydeal/savorydeal"
	"github.com/savorydeal/savorydeal/internal/sdbody"
	"github.com/savorydeal/savorydeal/internal/sdchain"
	"github.com/savorydeal/savorydeal/internal/sdinvariant"
	"github.com/savorydeal/savorydeal/internal/sdpoison"
)

// minFailureStatus is the lowest HTTP status that counts as a failure of the
// target.
const minFailureStatus = 500

// Dispatcher is the savorydeal.Forwarder that chooses targets and retries. All
// fields but Poison are required.
type Dispatcher struct {
	Clock     savorydeal.Clock
	Placement savorydeal.Placement
	Retries   savorydeal.RetryDecider
	// ForwarderTo returns the forwarder to a member's node.
	ForwarderTo func(savorydeal.Member) savorydeal.Forwarder
	// RetryRatio returns a service's limit on retries as a share of its first
	// attempts, from the policy.
	RetryRatio func(service string) float64
	// NewAttemptID returns a unique identifier.
	NewAttemptID func() string
	// Poison holds the blocked requests; nil blocks none.
	Poison *sdpoison.Table
}

var _ savorydeal.Forwarder = (*Dispatcher)(nil)

// dispatch is the state of one call over all its attempts.
type dispatch struct {
	dispatcher *Dispatcher
	call       savorydeal.Call
	body       *sdbody.Body
	budget     *sdchain.Budget
	deadline   time.Time
	triedNodes []savorydeal.NodeID
	// mayHaveRun is true once an attempt ended with an unknown outcome. From
	// then on the call as a whole cannot be refused as not run.
	mayHaveRun bool
	// unknownAttempts counts the attempts that ended with an unknown outcome. It
	// is kept separately from mayHaveRun so that an invariant can check the
	// final refusal against it.
	unknownAttempts int
}

// Forward attempts the call at one target after the other until one answers,
// another attempt could run the call twice, the retry budgets are spent or the
// deadline passes.
func (d *Dispatcher) Forward(ctx context.Context, call savorydeal.Call, body io.ReadCloser) (savorydeal.Answer, error) {
	buffered, err := sdbody.New(body)
	if err != nil {
		return savorydeal.Answer{}, &savorydeal.Refusal{
			Outcome: savorydeal.OutcomeNotRun,
			Reason:  savorydeal.ReasonCanceled,
			Detail:  err.Error(),
		}
	}
	if length, ok := buffered.Length(); ok {
		call.ContentLength = length
	}
	if d.Poison != nil {
		// A caller's name is chosen freely here: requests that crash targets would reach
		// two more under each name.
		call.Fingerprint = uint64(sdpoison.FingerprintOf(call, "", buffered.Prefix()))
	}
	current := &dispatch{
		dispatcher: d,
		call:       call,
		body:       buffered,
		budget:     sdchain.NewBudget(call.Chain.RetriesGranted),
		deadline:   d.Clock.Now().Add(call.Timeout),
	}
	if !call.Fence.IsZero() && call.Fence.Before(current.deadline) {
		current.deadline = call.Fence
	}
	if !call.Resend {
		d.Retries.FirstAttempt(d.Clock.Now(), call.Service, d.RetryRatio(call.Service))
	}
	return current.attemptUntilDone(ctx)
}

func (d *dispatch) attemptUntilDone(ctx context.Context) (savorydeal.Answer, error) {
	for number := 1; ; number++ {
		answer, refusal := d.attemptTarget(ctx)
		if refusal == nil {
			return answer, nil
		}
		if refusal.Outcome == savorydeal.OutcomeUnknown {
			d.mayHaveRun = true
		}
		wait, retry := d.decideRetry(ctx, number, refusal)
		if !retry {
			return savorydeal.Answer{}, d.finalRefusal(refusal)
		}
		if !d.waitBackoff(ctx, wait) {
			return savorydeal.Answer{}, d.finalRefusal(refusal)
		}
	}
}

// decideRetry reports whether to retry after the attempt with the given number,
// counted from 1, and the backoff before the next attempt.
func (d *dispatch) decideRetry(ctx context.Context, number int, refusal *savorydeal.Refusal) (time.Duration, bool) {
	if ctx.Err() != nil || !d.body.CanReopen() {
		return 0, false
	}
	now := d.dispatcher.Clock.Now()
	if d.poisonRefusal(now) != nil {
		return 0, false
	}
	decision := d.dispatcher.Retries.Decide(now, savorydeal.RetryRequest{
		Service:    d.call.Service,
		Class:      d.call.Chain.Class,
		Idempotent: d.call.Operation.Idempotent,
		Outcome:    refusal.Outcome,
		Reason:     refusal.Reason,
		Attempt:    number,
		Deadline:   d.deadline,
		RetryAfter: refusal.RetryAfter,
	})
	if !decision.Retry || !d.budget.TakeRetry() {
		return 0, false
	}
	sdinvariant.NoRepeatAfterUnknown.Check(!d.mayHaveRun || d.call.Operation.Idempotent, func() string {
		return "non-idempotent call " + d.call.Chain.RequestID + " retried after it may have run"
	})
	return decision.Wait, true
}

// waitBackoff waits for the backoff. It reports false if ctx ends first.
func (d *dispatch) waitBackoff(ctx context.Context, wait time.Duration) bool {
	select {
	case <-d.dispatcher.Clock.After(wait):
		return true
	case <-ctx.Done():
		return false
	}
}

// finalRefusal returns the refusal of the call as a whole after its last
// attempt.
func (d *dispatch) finalRefusal(last *savorydeal.Refusal) *savorydeal.Refusal {
	refusal := *last
	if d.mayHaveRun {
		refusal.Outcome = savorydeal.OutcomeUnknown
	}
	end := savorydeal.AnswerEnd{RetriesSpent: d.budget.Spent()}
	if last.End != nil {
		end.Signal = last.End.Signal
		end.AdmissionLevels = last.End.AdmissionLevels
	}
	refusal.End = &end
	sdinvariant.NotRunIsTrue.Check(refusal.Outcome != savorydeal.OutcomeNotRun || d.unknownAttempts == 0, func() string {
		return "call " + d.call.Chain.RequestID + " refused as not run after an attempt that may have run"
	})
	return &refusal
}

// attemptTarget makes one attempt: it chooses a target and forwards the call to
// its node.
func (d *dispatch) attemptTarget(ctx context.Context) (savorydeal.Answer, *savorydeal.Refusal) {
	now := d.dispatcher.Clock.Now()
	remaining := d.deadline.Sub(now)
	if remaining <= 0 {
		return savorydeal.Answer{}, notRunRefusal(savorydeal.ReasonDeadline, "the deadline passed before an attempt at a target")
	}
	if refusal := d.poisonRefusal(now); refusal != nil {
		return savorydeal.Answer{}, refusal
	}
	member, ok := d.dispatcher.Placement.Choose(now, savorydeal.PlacementRequest{
		Service: d.call.Service,
		Tried:   d.triedNodes,
		Class:   d.call.Chain.Class,
	})
	if !ok {
		return savorydeal.Answer{}, notRunRefusal(savorydeal.ReasonNoTarget, "no target of service "+d.call.Service+" is ready")
	}
	sdinvariant.RoutableTarget.Check(member.TargetState == savorydeal.TargetReady && member.Service == d.call.Service, func() string {
		return "call to service " + d.call.Service + " sent to node " + string(member.Node) + " with target state " + string(member.TargetState) + " and service " + member.Service
	})
	d.triedNodes = append(d.triedNodes, member.Node)
	body, ok := d.body.Open()
	if !ok {
		return savorydeal.Answer{}, notRunRefusal(savorydeal.ReasonBodyTooLarge, "the body is too large to be kept for another attempt")
	}
	attempt := &attempt{dispatch: d, member: member, started: now, grantedRetries: d.budget.Grant()}
	call := d.call
	call.AttemptID = d.dispatcher.NewAttemptID()
	call.Timeout = remaining
	call.Chain.RetriesGranted = attempt.grantedRetries
	answer, err := d.dispatcher.ForwarderTo(member).Forward(ctx, call, body)
	if err != nil {
		return savorydeal.Answer{}, attempt.finishRefused(err)
	}
	return attempt.wrapAnswer(answer), nil
}

func notRunRefusal(reason savorydeal.Reason, detail string) *savorydeal.Refusal {
	return &savorydeal.Refusal{Outcome: savorydeal.OutcomeNotRun, Reason: reason, Detail: detail}
}

// poisonRefusal returns the refusal of a request that is blocked because it
// crashes its targets, or nil if the request may run.
func (d *dispatch) poisonRefusal(now time.Time) *savorydeal.Refusal {
	if d.dispatcher.Poison == nil {
		return nil
	}
	return d.dispatcher.Poison.Check(now, sdpoison.Fingerprint(d.call.Fingerprint))
}

// attempt is one sending of the call to one target.
type attempt struct {
	dispatch       *dispatch
	member         savorydeal.Member
	started        time.Time
	grantedRetries int
	once           sync.Once
}

// recordCrash records a crash that the target's node reported in its refusal, so
// that this node takes it into account for the next attempt of the request.
func (a *attempt) recordCrash(refusal *savorydeal.Refusal) {
	d := a.dispatch
	if d.dispatcher.Poison == nil || refusal.Reason != savorydeal.ReasonTargetCrashed {
		return
	}
	now := d.dispatcher.Clock.Now()
	d.dispatcher.Poison.RecordCrash(now, sdpoison.Crash{
		Fingerprint: sdpoison.Fingerprint(d.call.Fingerprint),
		Service:     d.call.Service,
		Method:      d.call.Method,
		Path:        d.call.Path,
		Node:        a.member.Node,
		RanFor:      now.Sub(a.started),
	})
}

// finishRefused ends an attempt that has failed with err and returns its refusal.
// An error that is not a refusal leaves the outcome unknown.
func (a *attempt) finishRefused(err error) *savorydeal.Refusal {
	var refusal *savorydeal.Refusal
	if !errors.As(err, &refusal) {
		refusal = &savorydeal.Refusal{
			Outcome: savorydeal.OutcomeUnknown,
			Reason:  savorydeal.ReasonTargetFailed,
			Detail:  err.Error(),
		}
	}
	a.recordCrash(refusal)
	if refusal.Outcome == savorydeal.OutcomeUnknown {
		a.dispatch.unknownAttempts++
	}
	// A refusal by a busy target does not count as a failure of the target.
	failed := refusal.Outcome == savorydeal.OutcomeUnknown || refusal.Reason == savorydeal.ReasonLinkLost
	a.finish(refusal.Outcome, refusal.Reason, failed, refusal.End)
	return refusal
}

// wrapAnswer makes the end of the answer's body end the attempt.
func (a *attempt) wrapAnswer(answer savorydeal.Answer) savorydeal.Answer {
	answer.Body = &attemptBody{attempt: a, answer: answer, ReadCloser: answer.Body}
	return answer
}

// finish ends the attempt; only the first call has an effect. It reports the
// result to the placement and returns unspent retries to the budget. If the
// target's node sent no answer end, all granted retries count as spent unless
// the call has not run.
func (a *attempt) finish(outcome savorydeal.Outcome, reason savorydeal.Reason, failed bool, end *savorydeal.AnswerEnd) {
	a.once.Do(func() {
		now := a.dispatch.dispatcher.Clock.Now()
		observation := savorydeal.PlacementObservation{
			Node:    a.member.Node,
			Service: a.dispatch.call.Service,
			Latency: now.Sub(a.started),
			Outcome: outcome,
			Reason:  reason,
			Failed:  failed,
		}
		if end != nil {
			observation.Signal = end.Signal
			observation.HasSignal = true
			a.dispatch.budget.Return(a.grantedRetries, end.RetriesSpent)
		} else if outcome == savorydeal.OutcomeNotRun {
			a.dispatch.budget.Return(a.grantedRetries, 0)
		}
		a.dispatch.dispatcher.Placement.Observe(now, observation)
	})
}

// attemptBody is an answer's body that ends its attempt when it has been read
// completely or is closed early.
type attemptBody struct {
	io.ReadCloser
	attempt *attempt
	answer  savorydeal.Answer
}

// Read reads the answer's body. Its end completes the attempt.
func (b *attemptBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		b.complete()
	}
	return n, err
}

func (b *attemptBody) complete() {
	failed := b.answer.Status >= minFailureStatus
	b.attempt.finish(savorydeal.OutcomeAnswered, "", failed, b.answer.End)
	b.answer.End.RetriesSpent = b.attempt.dispatch.budget.Spent()
}

// Close discards what has not been read. An attempt closed before the end of its
// answer has an unknown outcome.
func (b *attemptBody) Close() error {
	b.attempt.finish(savorydeal.OutcomeUnknown, savorydeal.ReasonCanceled, false, nil)
	return b.ReadCloser.Close()
}
