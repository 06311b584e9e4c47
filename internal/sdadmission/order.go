package sdadmission

import (
	"math"
	"time"

	"github.com/savorydeal/savorydeal"
)

const (
	// startDecayTime is the time constant of the exponential decay of the
	// start counts per caller.
	startDecayTime = time.Second
	// startDecayInterval is the minimum time between two decays of all counts.
	startDecayInterval = startDecayTime / 8
	// minStartCount is the decayed count below which a caller's entry is
	// deleted.
	minStartCount = 0.05
	// maxCallers bounds the number of start counts, one per caller and class.
	maxCallers = 4096
)

// nextIndex returns the index of the call to run next. It prefers the most
// important class, then the deepest call in a call chain, since the work already
// spent on that request would be lost, then the caller with the fewest recent
// starts, and then the oldest call or, while the queue stays long, the newest.
func (q *Queue) nextIndex(now time.Time) int {
	newest := !q.options.OldestFirst && !q.longSince.IsZero() && now.Sub(q.longSince) > newestFirstAfter
	best := 0
	for i := 1; i < len(q.queue); i++ {
		order := q.compare(q.queue[i], q.queue[best])
		if order < 0 || order == 0 && newest {
			best = i
		}
	}
	return best
}

// compare returns a negative number if a runs before b, a positive one if b
// runs before a, and 0 if their order depends on the time of arrival.
func (q *Queue) compare(a, b *queuedCall) int {
	if a.classRank != b.classRank {
		return a.classRank - b.classRank
	}
	if a.arrival.Depth != b.arrival.Depth && !q.options.IgnoreDepth {
		return b.arrival.Depth - a.arrival.Depth
	}
	if a.arrival.Caller == b.arrival.Caller || q.options.IgnoreCaller {
		return 0
	}
	// The conversion to int ignores differences of less than one call.
	return int(a.callerStarts.value - b.callerStarts.value)
}

// evictionCandidate returns the index of the matching call to evict first: the
// one of the least important class, then of the least depth, then of the lowest
// request rank (Arrival.Rank), then the newest. It reports false if no call
// matches.
func (q *Queue) evictionCandidate(matches func(*queuedCall) bool) (int, bool) {
	candidate := -1
	for i, queued := range q.queue {
		if matches(queued) && (candidate < 0 || q.evictsBefore(queued, q.queue[candidate])) {
			candidate = i
		}
	}
	return candidate, candidate >= 0
}

// evictsBefore reports whether a is evicted before b. a is the newer call.
func (q *Queue) evictsBefore(a, b *queuedCall) bool {
	if a.classRank != b.classRank {
		return a.classRank > b.classRank
	}
	if a.arrival.Depth != b.arrival.Depth && !q.options.IgnoreDepth {
		return a.arrival.Depth < b.arrival.Depth
	}
	return a.arrival.Rank <= b.arrival.Rank
}

// recentStarts counts the calls started per caller and class, with exponential
// decay over time.
type recentStarts struct {
	counts    map[callerKey]*startCount
	decayedAt time.Time
}

type callerKey struct {
	class  savorydeal.Class
	caller string
}

// startCount is a decayed number of started calls.
type startCount struct {
	value float64
}

func newRecentStarts() *recentStarts {
	return &recentStarts{counts: make(map[callerKey]*startCount)}
}

// countFor returns the count of an arrival's caller and class. Once maxCallers
// counts exist, further callers of a class share one.
func (s *recentStarts) countFor(arrival savorydeal.Arrival) *startCount {
	key := callerKey{arrival.Class, arrival.Caller}
	if len(s.counts) >= maxCallers && s.counts[key] == nil {
		key = callerKey{class: arrival.Class}
	}
	count := s.counts[key]
	if count == nil {
		count = &startCount{}
		s.counts[key] = count
	}
	return count
}

func (s *recentStarts) add(now time.Time, count *startCount) {
	s.decay(now)
	count.value++
}

// decay applies the exponential decay to all counts and deletes those below
// minStartCount. Queued calls of a deleted caller keep their pointer to the old
// count, which is nearly zero.
func (s *recentStarts) decay(now time.Time) {
	age := now.Sub(s.decayedAt)
	if age < startDecayInterval {
		return
	}
	s.decayedAt = now
	factor := math.Exp(-age.Seconds() / startDecayTime.Seconds())
	for key, count := range s.counts {
		if count.value *= factor; count.value < minStartCount {
			delete(s.counts, key)
		}
	}
}
