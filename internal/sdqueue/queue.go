// Package sdqueue decides which calls run on one target and which wait in its
// queue. It limits the calls that run at once and, if the target states a rate limit,
// the calls that start in a second. Calls run in the order of their rank; within a
// rank, nested calls run before new requests. Calls that would wait too long are
// refused. Package
// sdsidecar uses it; package sdnode uses sdadmission. The package does no I/O.
package sdqueue

import (
	"math"
	"slices"
	"time"

	"github.com/savorydeal/savorydeal/internal/sdfairshare"
)

const (
	// runTimeWeight is the weight of a new run in the mean run time.
	runTimeWeight = 0.05
	// initialRunTime is the assumed mean run time before the first run has ended.
	initialRunTime = 20 * time.Millisecond
	// maxWaiting bounds the number of waiting calls and with it their memory.
	maxWaiting = 2000
	// arrivalDecayTime is the age at which the weight of an arrival has fallen
	// to 1/e. It is long enough to cover a few dozen calls, and shorter than the
	// time that a shedder takes to admit all calls again after an overload.
	arrivalDecayTime = 150 * time.Millisecond
	// initialLimit bounds the running calls until the target has announced its
	// slots.
	initialLimit = 32
	// maxCompared bounds the equal calls among which the next account is chosen, and with
	// it the time that each start takes.
	maxCompared = 64
)

// CallID identifies one call within a Queue.
type CallID uint64

// Arrival is a call to be run or queued.
type Arrival struct {
	ID CallID
	// Rank is the priority of the first request of the call chain; 0 is the
	// highest.
	Rank int
	// Nested is true for a call made by a run that has already started on
	// another target.
	Nested bool
	// Account is the client account of the first request of the call chain, "" if it has
	// none. Waiting calls of equal rank run in turns between accounts.
	Account string
	// WaitUntil is the time after which the call is refused if it still waits.
	WaitUntil time.Time
}

// Decision is the result of an arrival.
type Decision string

// Decisions.
const (
	DecisionRun    Decision = "run"
	DecisionWait   Decision = "wait"
	DecisionRefuse Decision = "refuse"
)

// Dequeued lists the calls that have left the queue.
type Dequeued struct {
	// Run lists the calls to start now.
	Run []CallID
	// Refused lists the calls that have not run and never will.
	Refused []CallID
}

// Queue is the queue of one target. It is not safe for concurrent use.
type Queue struct {
	limit   int
	running int
	rate    rateLimit
	// waiting is sorted by compare, and by arrival among equal calls.
	waiting     []Arrival
	starts      *sdfairshare.Starts
	meanRunTime time.Duration
	// arrivals is the number of arrivals, each weighted by
	// exp(-age/arrivalDecayTime).
	arrivals float64
	// decayedAt is the time for which arrivals was last computed.
	decayedAt time.Time
}

// New returns an empty queue for a target whose slots are not known yet.
func New() *Queue {
	return &Queue{limit: initialLimit, meanRunTime: initialRunTime, starts: sdfairshare.NewStarts()}
}

// SetLimit sets how many calls the target runs at once, at least 1.
func (q *Queue) SetLimit(now time.Time, limit int) Dequeued {
	q.limit = max(1, limit)
	return Dequeued{Run: q.dequeue(now)}
}

// SetRateLimit sets how many calls may start in a second; limited is false if any number
// may.
func (q *Queue) SetRateLimit(now time.Time, limited bool, rate float64) Dequeued {
	q.rate.set(now, limited, rate)
	return Dequeued{Run: q.dequeue(now)}
}

// RateLimited reports whether the calls that start in a second are limited.
func (q *Queue) RateLimited() bool { return q.rate.limited }

// TakeStart counts the start of a request that does not pass through the queue against
// the rate limit. It reports false if the limit does not allow it now.
func (q *Queue) TakeStart(now time.Time) bool { return q.rate.take(now) }

// Running returns the number of calls that run on the target.
func (q *Queue) Running() int { return q.running }

// Waiting returns the number of calls that wait.
func (q *Queue) Waiting() int { return len(q.waiting) }

// Limit returns how many calls the target may run at once. Under a rate limit it is the
// number of calls that run on average if calls start at that rate.
func (q *Queue) Limit() int {
	if !q.rate.limited {
		return q.limit
	}
	return max(1, min(q.limit, int(math.Round(q.rate.rate*q.meanRunTime.Seconds()))))
}

// compare returns a negative number if a runs before b, a positive one if b
// runs before a, and 0 if the earlier arrival runs first.
func compare(a, b Arrival) int {
	if a.Rank != b.Rank {
		return a.Rank - b.Rank
	}
	if a.Nested == b.Nested {
		return 0
	}
	if a.Nested {
		return -1
	}
	return 1
}

// Demand returns the utilisation that the arriving calls would cause if none of
// them waited: 1 keeps all slots busy or uses up the rate limit, more exceeds the
// capacity of the target.
func (q *Queue) Demand(now time.Time) float64 {
	q.decayArrivals(now)
	arrivalRate := q.arrivals / arrivalDecayTime.Seconds()
	demand := arrivalRate * q.meanRunTime.Seconds() / float64(q.limit)
	if q.rate.limited {
		demand = max(demand, arrivalRate/q.rate.rate)
	}
	return demand
}

// decayArrivals reduces the weights of arrivals by the time since decayedAt.
func (q *Queue) decayArrivals(now time.Time) {
	if elapsed := now.Sub(q.decayedAt); elapsed > 0 {
		q.arrivals *= math.Exp(-elapsed.Seconds() / arrivalDecayTime.Seconds())
		q.decayedAt = now
	}
}

// Arrive decides whether a new call runs now, waits or is refused. It also
// refuses the waiting calls whose WaitUntil has passed, and a less important one
// if the queue is full.
func (q *Queue) Arrive(now time.Time, arrival Arrival) (Decision, Dequeued) {
	q.decayArrivals(now)
	q.arrivals++
	refused := q.expire(now)
	if q.running < q.limit && len(q.waiting) == 0 && q.rate.take(now) {
		q.running++
		q.starts.Add(now, arrival.Account)
		return DecisionRun, Dequeued{Refused: refused}
	}
	position, _ := slices.BinarySearchFunc(q.waiting, arrival, func(a, b Arrival) int {
		if order := compare(a, b); order != 0 {
			return order
		}
		return -1 // the new call goes behind equal ones
	})
	if now.Add(q.waitAtPosition(now, position)).After(arrival.WaitUntil) {
		return DecisionRefuse, Dequeued{Refused: refused}
	}
	q.waiting = slices.Insert(q.waiting, position, arrival)
	if len(q.waiting) > maxWaiting {
		last := q.waiting[len(q.waiting)-1]
		q.waiting = q.waiting[:len(q.waiting)-1]
		if last.ID == arrival.ID {
			return DecisionRefuse, Dequeued{Refused: refused}
		}
		refused = append(refused, last.ID)
	}
	return DecisionWait, Dequeued{Refused: refused}
}

// waitAtPosition returns the expected wait at a position of the queue; 0 is the
// first one.
func (q *Queue) waitAtPosition(now time.Time, position int) time.Duration {
	var slotWait time.Duration
	if q.running >= q.limit || !q.rate.limited {
		slotWait = time.Duration(float64(q.meanRunTime) * float64(position+1) / float64(q.limit))
	}
	return max(slotWait, q.rate.wait(now, position+1))
}

// NextStart returns the time until the rate limit allows the first waiting call to
// start. It returns false if no call waits for that.
func (q *Queue) NextStart(now time.Time) (time.Duration, bool) {
	if !q.rate.limited || len(q.waiting) == 0 || q.running >= q.limit {
		return 0, false
	}
	return q.rate.wait(now, 1), true
}

// Start starts the waiting calls that the limits allow to start now.
func (q *Queue) Start(now time.Time) Dequeued {
	expired := q.expire(now)
	return Dequeued{Run: q.dequeue(now), Refused: expired}
}

// Finish frees the slot of a run that has ended. A runTime of 0 leaves the mean
// run time unchanged.
func (q *Queue) Finish(now time.Time, runTime time.Duration) Dequeued {
	q.running--
	if runTime > 0 {
		q.meanRunTime += time.Duration(runTimeWeight * float64(runTime-q.meanRunTime))
	}
	expired := q.expire(now)
	return Dequeued{Run: q.dequeue(now), Refused: expired}
}

// Cancel removes a waiting call. It reports false if the call is not waiting,
// because it already runs or was refused.
func (q *Queue) Cancel(id CallID) bool {
	index := slices.IndexFunc(q.waiting, func(a Arrival) bool { return a.ID == id })
	if index < 0 {
		return false
	}
	q.waiting = slices.Delete(q.waiting, index, index+1)
	return true
}

// Expire refuses the calls that have waited past their WaitUntil.
func (q *Queue) Expire(now time.Time) Dequeued {
	return Dequeued{Refused: q.expire(now)}
}

// Drain refuses all waiting calls.
func (q *Queue) Drain() Dequeued {
	var refused []CallID
	for _, arrival := range q.waiting {
		refused = append(refused, arrival.ID)
	}
	q.waiting = nil
	return Dequeued{Refused: refused}
}

// dequeue starts waiting calls until a limit is reached and returns them.
func (q *Queue) dequeue(now time.Time) []CallID {
	var run []CallID
	for q.running < q.limit && len(q.waiting) > 0 && q.rate.take(now) {
		next := q.next(now)
		run = append(run, q.waiting[next].ID)
		q.starts.Add(now, q.waiting[next].Account)
		q.waiting = slices.Delete(q.waiting, next, next+1)
		q.running++
	}
	return run
}

// next returns the position of the call that runs next: among those equal to the first
// one, the first of the account that has started the fewest calls lately.
func (q *Queue) next(now time.Time) int {
	next, fewest := 0, math.Inf(1)
	for i, arrival := range q.waiting[:min(maxCompared, len(q.waiting))] {
		if compare(q.waiting[0], arrival) != 0 {
			break
		}
		if i > 0 && arrival.Account == q.waiting[next].Account {
			continue
		}
		if recent := q.starts.Recent(now, arrival.Account); recent < fewest {
			next, fewest = i, recent
		}
	}
	return next
}

// expire removes the calls that have waited past their WaitUntil and returns
// them.
func (q *Queue) expire(now time.Time) []CallID {
	var expired []CallID
	q.waiting = slices.DeleteFunc(q.waiting, func(a Arrival) bool {
		if !now.After(a.WaitUntil) {
			return false
		}
		expired = append(expired, a.ID)
		return true
	})
	return expired
}
