package sdserve

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/savorydeal/savorydeal"
)

// tickInterval is how often queued calls are checked for expiry.
const tickInterval = 5 * time.Millisecond

// Admitter blocks calls until an Admission decides on them. It serialises
// arrivals, completions, cancellations and ticks, so that a call is either
// started or cancelled, never both. It is safe for concurrent use.
type Admitter struct {
	clock savorydeal.Clock

	mu        sync.Mutex
	admission savorydeal.Admission
	lastID    savorydeal.CallID
	// waiting holds the calls without a decision. Each channel has room for one
	// action, so that deliver never blocks.
	waiting map[savorydeal.CallID]chan savorydeal.AdmissionAction
	running int
	// ticking is true while a timer for tick is set.
	ticking bool
	checker *admissionChecker
}

// NewAdmitter returns an admitter without calls. Only the admitter may use
// admission from then on.
func NewAdmitter(clock savorydeal.Clock, admission savorydeal.Admission) *Admitter {
	return &Admitter{
		clock:     clock,
		admission: admission,
		waiting:   make(map[savorydeal.CallID]chan savorydeal.AdmissionAction),
		checker:   newAdmissionChecker(),
	}
}

// Configure sets how many calls the target runs at a time and how many
// connections it accepts.
func (a *Admitter) Configure(slots, connections int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.checker.setLimit(slots, connections)
	a.deliver(a.admission.Configure(a.clock.Now(), slots, connections))
}

// Admit blocks until the call may run, is refused, or ctx ends. It sets the
// arrival's ID. Without a refusal, the caller must pass the returned ID to
// Finish once the call has ended.
func (a *Admitter) Admit(ctx context.Context, arrival savorydeal.Arrival) (savorydeal.CallID, *savorydeal.Refusal) {
	decision := make(chan savorydeal.AdmissionAction, 1)
	callID := a.arrive(arrival, decision)
	select {
	case action := <-decision:
		return callID, a.refusalOf(action)
	case <-ctx.Done():
		return a.cancel(ctx, callID, decision)
	}
}

func (a *Admitter) arrive(arrival savorydeal.Arrival, decision chan savorydeal.AdmissionAction) savorydeal.CallID {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lastID++
	arrival.ID = a.lastID
	a.waiting[arrival.ID] = decision
	a.checker.enqueue(arrival)
	a.deliver(a.admission.Arrive(a.clock.Now(), arrival))
	a.startTicking()
	return arrival.ID
}

// cancel handles a call whose context ended while it waited. If the call was
// still queued, it has not run and never will; otherwise a decision was made
// just before, and applies.
func (a *Admitter) cancel(ctx context.Context, callID savorydeal.CallID, decision chan savorydeal.AdmissionAction) (savorydeal.CallID, *savorydeal.Refusal) {
	a.mu.Lock()
	queued := a.admission.Cancel(a.clock.Now(), callID)
	a.checker.cancel(callID, queued)
	delete(a.waiting, callID)
	a.mu.Unlock()
	if !queued {
		return callID, a.refusalOf(<-decision)
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return callID, a.refusal(savorydeal.ReasonDeadline, "the deadline passed in the target's queue", 0)
	}
	return callID, a.refusal(savorydeal.ReasonCanceled, "the caller disconnected while the call was queued", 0)
}

func (a *Admitter) refusalOf(action savorydeal.AdmissionAction) *savorydeal.Refusal {
	if action.Decision == savorydeal.DecisionRun {
		return nil
	}
	return a.refusal(action.Reason, "the target is busy", action.RetryAfter)
}

func (a *Admitter) refusal(reason savorydeal.Reason, detail string, retryAfter time.Duration) *savorydeal.Refusal {
	refusal := notRun(reason, detail)
	refusal.RetryAfter = retryAfter
	refusal.End = &savorydeal.AnswerEnd{Signal: a.Signal()}
	return refusal
}

// Finish reports the end of a call that Admit allowed to run and frees its
// slot.
func (a *Admitter) Finish(completion savorydeal.Completion) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.running--
	a.deliver(a.admission.Finish(a.clock.Now(), completion))
}

// Signal returns the target's load.
func (a *Admitter) Signal() savorydeal.LoadSignal {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.admission.Signal(a.clock.Now())
}

// Running returns the number of calls running on the target.
func (a *Admitter) Running() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.running
}

// Pending returns the number of calls running on the target or queued for it.
func (a *Admitter) Pending() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.running + len(a.waiting)
}

// deliver passes decisions to the waiting calls. The caller holds mu.
func (a *Admitter) deliver(actions []savorydeal.AdmissionAction) {
	a.checker.checkDecisions(actions, a.running)
	for _, action := range actions {
		if action.Decision == savorydeal.DecisionRun {
			a.running++
		}
		decision := a.waiting[action.ID]
		if decision == nil {
			continue
		}
		delete(a.waiting, action.ID)
		decision <- action
	}
}

// startTicking sets the timer for the next tick if calls are queued and none is
// set. The caller holds mu.
func (a *Admitter) startTicking() {
	if a.ticking || len(a.waiting) == 0 {
		return
	}
	a.ticking = true
	a.clock.AfterFunc(tickInterval, a.tick)
}

func (a *Admitter) tick() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ticking = false
	a.deliver(a.admission.Tick(a.clock.Now()))
	a.startTicking()
}
