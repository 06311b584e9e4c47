// Package sdadmission decides which calls run on one target and when: one
// bounded queue in which the important overtakes and evicts. It does no I/O.
package sdadmission

import (
	"time"

	"github.com/savorydeal/savorydeal"
)

const (
	// queuePerSlot bounds the queue by what the target finishes in a few
	// service times.
	queuePerSlot = 4
	minQueue     = 16
	// maxQueueSlots bounds the queue of a target with very many slots.
	maxQueueSlots = 4096
	// retryAfterFull is the wait asked of callers refused by a full queue.
	retryAfterFull = 500 * time.Millisecond
	delayWeight    = 0.2
)

type waiting struct {
	arrival savorydeal.Arrival
	since   time.Time
}

type running struct {
	atStart int
}

// Queue is the savorydeal.Admission of one target.
type Queue struct {
	limiter savorydeal.Limiter
	queues  [savorydeal.ClassCount][]waiting
	queued  int
	running map[savorydeal.Ticket]running
	delay   time.Duration
}

var _ savorydeal.Admission = (*Queue)(nil)

// New returns a queue that admits as many calls as the limiter allows.
func New(limiter savorydeal.Limiter) *Queue {
	return &Queue{limiter: limiter, running: make(map[savorydeal.Ticket]running)}
}

// Configure sets the target's slots and connections; the smaller of the two
// bounds the calls that run.
func (q *Queue) Configure(now time.Time, slots, connections int) []savorydeal.AdmissionAction {
	q.limiter.SetSlots(min(slots, connections))
	return q.dispatch(now, nil)
}

// Arrive queues a call and starts what may start.
func (q *Queue) Arrive(now time.Time, arrival savorydeal.Arrival) []savorydeal.AdmissionAction {
	var actions []savorydeal.AdmissionAction
	if q.queued >= q.capacity() {
		evicted, ok := q.evictBelow(arrival.Class)
		if !ok {
			return append(actions, refuse(arrival.Ticket, savorydeal.ReasonQueueFull))
		}
		actions = append(actions, refuse(evicted, savorydeal.ReasonEvicted))
	}
	rank := arrival.Class.Rank()
	q.queues[rank] = append(q.queues[rank], waiting{arrival: arrival, since: now})
	q.queued++
	return q.dispatch(now, actions)
}

func (q *Queue) capacity() int {
	return max(minQueue, queuePerSlot*min(maxQueueSlots, q.limiter.Limit()))
}

// evictBelow removes the newest call of the least important class that is less
// important than class.
func (q *Queue) evictBelow(class savorydeal.Class) (savorydeal.Ticket, bool) {
	for rank := savorydeal.ClassCount - 1; rank > class.Rank(); rank-- {
		queue := q.queues[rank]
		if len(queue) == 0 {
			continue
		}
		last := queue[len(queue)-1]
		q.queues[rank] = queue[:len(queue)-1]
		q.queued--
		return last.arrival.Ticket, true
	}
	return 0, false
}

func refuse(ticket savorydeal.Ticket, reason savorydeal.Reason) savorydeal.AdmissionAction {
	return savorydeal.AdmissionAction{
		Ticket:     ticket,
		Verdict:    savorydeal.VerdictRefuse,
		Reason:     reason,
		RetryAfter: retryAfterFull,
	}
}

// dispatch starts queued calls, the most important first, while the limit
// allows. Calls past their deadline are refused instead.
func (q *Queue) dispatch(now time.Time, actions []savorydeal.AdmissionAction) []savorydeal.AdmissionAction {
	for rank := range q.queues {
		for len(q.queues[rank]) > 0 && len(q.running) < q.limiter.Limit() {
			next := q.queues[rank][0]
			q.queues[rank] = q.queues[rank][1:]
			q.queued--
			if !now.Before(next.arrival.Deadline) {
				actions = append(actions, refuse(next.arrival.Ticket, savorydeal.ReasonDeadline))
				continue
			}
			q.observeDelay(now.Sub(next.since))
			q.running[next.arrival.Ticket] = running{atStart: len(q.running) + 1}
			actions = append(actions, savorydeal.AdmissionAction{Ticket: next.arrival.Ticket, Verdict: savorydeal.VerdictRun})
		}
	}
	return actions
}

func (q *Queue) observeDelay(delay time.Duration) {
	q.delay += time.Duration(delayWeight * float64(delay-q.delay))
}

// Finish frees the call's place and starts what may start.
func (q *Queue) Finish(now time.Time, completion savorydeal.Completion) []savorydeal.AdmissionAction {
	run, ok := q.running[completion.Ticket]
	if !ok {
		return nil
	}
	delete(q.running, completion.Ticket)
	q.limiter.Observe(now, savorydeal.LimitSample{
		Latency: completion.Latency,
		Running: run.atStart,
		Queued:  q.queued > 0,
		Result:  completion.Result,
	})
	return q.dispatch(now, nil)
}

// Cancel withdraws a queued call.
func (q *Queue) Cancel(_ time.Time, ticket savorydeal.Ticket) bool {
	for rank, queue := range q.queues {
		for i, entry := range queue {
			if entry.arrival.Ticket != ticket {
				continue
			}
			q.queues[rank] = append(queue[:i:i], queue[i+1:]...)
			q.queued--
			return true
		}
	}
	return false
}

// Tick refuses queued calls that are past their deadline.
func (q *Queue) Tick(now time.Time) []savorydeal.AdmissionAction {
	var actions []savorydeal.AdmissionAction
	for rank, queue := range q.queues {
		kept := queue[:0]
		for _, entry := range queue {
			if now.Before(entry.arrival.Deadline) {
				kept = append(kept, entry)
				continue
			}
			q.queued--
			actions = append(actions, refuse(entry.arrival.Ticket, savorydeal.ReasonDeadline))
		}
		q.queues[rank] = kept
	}
	return q.dispatch(now, actions)
}

// Signal returns the load for callers.
func (q *Queue) Signal(time.Time) savorydeal.LoadSignal {
	return savorydeal.LoadSignal{
		Running: len(q.running),
		Queued:  q.queued,
		Limit:   q.limiter.Limit(),
		Delay:   q.delay,
	}
}
