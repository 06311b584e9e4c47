// Package sdadmission decides which calls run on one target and when. Calls
// wait in one bounded priority queue, in which a call of a more important class
// overtakes and can evict less important ones. The queue length drives the
// admission level that is reported to callers. Package sdnode uses it; package
// sdsidecar uses the simpler sdqueue. The package does no I/O.
package sdadmission

import (
	"slices"
	"time"

	"github.com/savorydeal/savorydeal"
	"github.com/savorydeal/savorydeal/internal/sdpressure"
)

const (
	// queuePerSlot is the queue capacity per allowed running call. It bounds
	// the queue to what the target finishes in a few service times.
	queuePerSlot = 4
	// minQueue is the queue capacity, in calls, of a target with few slots.
	minQueue = 16
	// maxQueueSlots caps the limit from which the queue capacity is computed, so
	// that the queue of a target with very many slots stays bounded.
	maxQueueSlots = 4096
	// newestFirstAfter is the time for which the queue must have stayed long
	// before the order within a class changes from oldest first to newest first.
	// By then callers may have given up on the older calls.
	newestFirstAfter = 250 * time.Millisecond
	// delayEWMAWeight and latencyEWMAWeight are the weights of a new sample in
	// the moving averages of queueing delay and of run latency.
	delayEWMAWeight   = 0.2
	latencyEWMAWeight = 0.1
	// minRunFraction is the fraction of the mean run latency that must remain
	// until a call's deadline; a call with less time left is not started.
	minRunFraction = 0.5
)

// Options disables individual ordering rules of a Queue. The zero value enables
// all rules.
type Options struct {
	// OldestFirst keeps the order of arrival within a class even while the
	// queue stays long.
	OldestFirst bool
	// IgnoreDepth disables the preference for calls that are deeper in their
	// call chain.
	IgnoreDepth bool
	// IgnoreCaller disables fairness between callers.
	IgnoreCaller bool
}

type queuedCall struct {
	arrival   savorydeal.Arrival
	arrivedAt time.Time
	// classRank is the rank of the class, 0 for the most important one; priority
	// is compared with the admission level. Both are computed once from the
	// arrival, because the queue is scanned for every call.
	classRank int
	priority  int
	// callerStarts is the decayed number of calls of the same caller and class
	// that have started.
	callerStarts *startCount
}

type runningCall struct {
	// runningAtStart is the number of running calls, this one included, when
	// the call started.
	runningAtStart int
}

// Queue is the savorydeal.Admission of one target. It orders calls by class,
// call depth, fairness between callers and age.
type Queue struct {
	options Options
	limiter savorydeal.Limiter
	// queue holds the waiting calls in the order of arrival.
	queue   []*queuedCall
	running map[savorydeal.CallID]runningCall
	starts  *recentStarts
	// level computes the admission level: calls of lower priority are refused.
	level sdpressure.LevelController
	// longSince is when the queue became long; zero if it has not been long
	// since it was last short.
	longSince time.Time
	// queueDelay is the moving average of the time that started calls spent in
	// the queue.
	queueDelay time.Duration
	// meanLatency is the moving average latency of successful runs; zero until
	// the first one ends.
	meanLatency time.Duration
}

var _ savorydeal.Admission = (*Queue)(nil)

// New returns an empty queue that runs as many calls as the limiter allows.
func New(limiter savorydeal.Limiter, options Options) *Queue {
	return &Queue{
		options: options,
		limiter: limiter,
		running: make(map[savorydeal.CallID]runningCall),
		starts:  newRecentStarts(),
	}
}

// Configure sets the target's slots and connections. The smaller of the two
// bounds the number of running calls.
func (q *Queue) Configure(now time.Time, slots, connections int) []savorydeal.AdmissionAction {
	q.limiter.SetSlots(min(slots, connections))
	return q.reschedule(now, nil)
}

// Arrive queues a call and starts the calls that the limit allows.
func (q *Queue) Arrive(now time.Time, arrival savorydeal.Arrival) []savorydeal.AdmissionAction {
	q.queue = append(q.queue, &queuedCall{
		arrival:      arrival,
		arrivedAt:    now,
		classRank:    arrival.Class.Rank(),
		priority:     sdpressure.Priority(arrival.Class, arrival.Rank),
		callerStarts: q.starts.countFor(arrival),
	})
	return q.reschedule(now, nil)
}

// reschedule applies the queue rules after every event. It starts the calls that
// the limit allows, refuses calls below the admission level, evicts calls above
// the queue capacity, and updates the admission level from the remaining queue.
func (q *Queue) reschedule(now time.Time, actions []savorydeal.AdmissionAction) []savorydeal.AdmissionAction {
	actions = q.dropNonCritical(actions)
	actions = q.dispatch(now, actions)
	actions = q.dropBelowLevel(actions)
	actions = q.dropAboveCapacity(actions)
	q.trackLongQueue(now)
	q.level.Observe(now, sdpressure.QueueState{Running: len(q.running), Queued: len(q.queue), Limit: q.limiter.Limit()})
	return actions
}

// dispatch starts queued calls until the limit is reached. Calls that are
// unlikely to end before their deadline are refused instead.
func (q *Queue) dispatch(now time.Time, actions []savorydeal.AdmissionAction) []savorydeal.AdmissionAction {
	for len(q.queue) > 0 && len(q.running) < q.limiter.Limit() {
		next := q.remove(q.nextIndex(now))
		if q.missesDeadline(now, next.arrival) {
			actions = append(actions, refuse(next.arrival.ID, savorydeal.ReasonDeadline))
			continue
		}
		q.queueDelay += time.Duration(delayEWMAWeight * float64(now.Sub(next.arrivedAt)-q.queueDelay))
		q.starts.add(now, next.callerStarts)
		q.running[next.arrival.ID] = runningCall{runningAtStart: len(q.running) + 1}
		actions = append(actions, savorydeal.AdmissionAction{ID: next.arrival.ID, Decision: savorydeal.DecisionRun})
	}
	return actions
}

// missesDeadline reports whether at most minRunFraction of the mean latency is
// left before the deadline of a call.
func (q *Queue) missesDeadline(now time.Time, arrival savorydeal.Arrival) bool {
	return arrival.Deadline.Sub(now) <= time.Duration(minRunFraction*float64(q.meanLatency))
}

// remove deletes the call at the index from the queue and returns it.
func (q *Queue) remove(index int) *queuedCall {
	removed := q.queue[index]
	q.queue = slices.Delete(q.queue, index, index+1)
	return removed
}

// dropBelowLevel refuses calls below the admission level while the queue is
// long. If they stayed queued, they would keep the queue long and the level
// rising until more important calls were refused too: the queue of a target
// overloaded by lookups must not raise the level above the lookups.
func (q *Queue) dropBelowLevel(actions []savorydeal.AdmissionAction) []savorydeal.AdmissionAction {
	for level := q.level.Value(); level > 0 && q.isLong(); {
		index, ok := q.evictionCandidate(func(c *queuedCall) bool { return c.priority < level })
		if !ok {
			break
		}
		actions = append(actions, refuse(q.remove(index).arrival.ID, savorydeal.ReasonOverloaded))
	}
	return actions
}

// dropNonCritical refuses all queued calls below the most important class while
// the admission level refuses a part of that class. Nodes with an outdated load
// report may still admit less important calls; these must not run in place of
// the refused important ones.
func (q *Queue) dropNonCritical(actions []savorydeal.AdmissionAction) []savorydeal.AdmissionAction {
	if q.level.Value() <= sdpressure.CriticalLevel {
		return actions
	}
	for {
		index, ok := q.evictionCandidate(func(c *queuedCall) bool { return c.priority < sdpressure.CriticalLevel })
		if !ok {
			return actions
		}
		actions = append(actions, refuse(q.remove(index).arrival.ID, savorydeal.ReasonOverloaded))
	}
}

// isLong reports whether the queue is long enough to raise the admission level.
func (q *Queue) isLong() bool {
	return float64(len(q.queue)) > sdpressure.LongQueue*float64(q.limiter.Limit())
}

// isShort reports whether the queue is short enough to lower the admission
// level.
func (q *Queue) isShort() bool {
	return float64(len(q.queue)) < sdpressure.ShortQueue*float64(q.limiter.Limit())
}

// trackLongQueue updates longSince. A queue that is neither long nor short
// leaves it unchanged.
func (q *Queue) trackLongQueue(now time.Time) {
	switch {
	case q.isShort():
		q.longSince = time.Time{}
	case q.isLong() && q.longSince.IsZero():
		q.longSince = now
	}
}

// dropAboveCapacity evicts the least important calls until the queue is within
// its capacity. The newest call is refused as queue full, others as evicted.
func (q *Queue) dropAboveCapacity(actions []savorydeal.AdmissionAction) []savorydeal.AdmissionAction {
	for len(q.queue) > q.capacity() {
		index, _ := q.evictionCandidate(func(*queuedCall) bool { return true })
		reason := savorydeal.ReasonEvicted
		if index == len(q.queue)-1 {
			reason = savorydeal.ReasonQueueFull
		}
		actions = append(actions, refuse(q.remove(index).arrival.ID, reason))
	}
	return actions
}

// capacity returns the maximum length of the queue in calls.
func (q *Queue) capacity() int {
	return max(minQueue, queuePerSlot*min(maxQueueSlots, q.limiter.Limit()))
}

func refuse(id savorydeal.CallID, reason savorydeal.Reason) savorydeal.AdmissionAction {
	return savorydeal.AdmissionAction{ID: id, Decision: savorydeal.DecisionRefuse, Reason: reason}
}

// Finish frees the slot of a run that has ended and starts the calls that the
// limit then allows. It ignores calls that are not running.
func (q *Queue) Finish(now time.Time, completion savorydeal.Completion) []savorydeal.AdmissionAction {
	run, ok := q.running[completion.ID]
	if !ok {
		return nil
	}
	delete(q.running, completion.ID)
	if completion.Result == savorydeal.RunSucceeded {
		q.meanLatency += time.Duration(latencyEWMAWeight * float64(completion.Latency-q.meanLatency))
	}
	q.limiter.Observe(now, savorydeal.LimitSample{
		Latency: completion.Latency,
		Running: run.runningAtStart,
		Queued:  len(q.queue) > 0,
		Result:  completion.Result,
		Onward:  completion.Onward,
	})
	return q.reschedule(now, nil)
}

// Cancel removes a queued call. It reports false if the call is not queued.
func (q *Queue) Cancel(_ time.Time, id savorydeal.CallID) bool {
	for i, queued := range q.queue {
		if queued.arrival.ID == id {
			q.remove(i)
			return true
		}
	}
	return false
}

// Tick refuses queued calls whose deadline has passed.
func (q *Queue) Tick(now time.Time) []savorydeal.AdmissionAction {
	var actions []savorydeal.AdmissionAction
	for i := 0; i < len(q.queue); {
		if now.Before(q.queue[i].arrival.Deadline) {
			i++
			continue
		}
		actions = append(actions, refuse(q.remove(i).arrival.ID, savorydeal.ReasonDeadline))
	}
	return q.reschedule(now, actions)
}

// Signal returns the load of the target as it is reported to callers.
func (q *Queue) Signal(now time.Time) savorydeal.LoadSignal {
	state := sdpressure.QueueState{Running: len(q.running), Queued: len(q.queue), Limit: q.limiter.Limit()}
	q.level.Observe(now, state)
	return savorydeal.LoadSignal{
		Running:   state.Running,
		Queued:    state.Queued,
		Limit:     state.Limit,
		Delay:     q.queueDelay,
		DropLevel: q.level.Value(),
	}
}
