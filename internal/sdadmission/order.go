package sdadmission

import (
	"math"
	"time"

	"github.com/savorydeal/savorydeal"
)

const (
	// servedTime is the time constant in which service given is forgotten.
	servedTime = time.Second
	servedStep = servedTime / 8
	// servedGone is the decayed count below which a caller is forgotten.
	servedGone = 0.05
	maxServed  = 4096
)

// first returns the index of the call to run next: the most important class,
// within it the deepest stage, since work already spent on it would be lost,
// then the caller served least, then the order of arrival or, while the queue
// stays long, its reverse.
func (q *Queue) first(now time.Time) int {
	newest := !q.options.OldestFirst && !q.longSince.IsZero() && now.Sub(q.longSince) > newestAfter
	best := 0
	for i := 1; i < len(q.queue); i++ {
		order := q.compare(q.queue[i].arrival, q.queue[best].arrival)
		if order < 0 || order == 0 && newest {
			best = i
		}
	}
	return best
}

// compare is below 0 if a goes before b whatever their arrival.
func (q *Queue) compare(a, b savorydeal.Arrival) int {
	if a.Class != b.Class {
		return a.Class.Rank() - b.Class.Rank()
	}
	if a.Depth != b.Depth && !q.options.AnyDepth {
		return b.Depth - a.Depth
	}
	if a.Caller == b.Caller || q.options.AnyCaller {
		return 0
	}
	// A difference of less than one call is none.
	return int(q.served.of(a) - q.served.of(b))
}

// victim returns the index of the call that goes first when one must go, of
// those that match: the least important class, the shallowest stage, the
// lowest rank, the newest.
func (q *Queue) victim(matches func(waiting) bool) (int, bool) {
	worst := -1
	for i, entry := range q.queue {
		if matches(entry) && (worst < 0 || q.worse(entry.arrival, q.queue[worst].arrival)) {
			worst = i
		}
	}
	return worst, worst >= 0
}

// worse reports whether a goes before b, which came earlier.
func (q *Queue) worse(a, b savorydeal.Arrival) bool {
	if a.Class != b.Class {
		return a.Class.Rank() > b.Class.Rank()
	}
	if a.Depth != b.Depth && !q.options.AnyDepth {
		return a.Depth < b.Depth
	}
	return a.Rank <= b.Rank
}

// served counts what each caller of each class was given of late.
type served struct {
	counts  map[servedKey]float64
	decayed time.Time
}

type servedKey struct {
	class  savorydeal.Class
	caller string
}

func newServed() *served {
	return &served{counts: make(map[servedKey]float64)}
}

func (s *served) of(arrival savorydeal.Arrival) float64 {
	return s.counts[servedKey{arrival.Class, arrival.Caller}]
}

func (s *served) add(now time.Time, arrival savorydeal.Arrival) {
	s.decay(now)
	key := servedKey{arrival.Class, arrival.Caller}
	if _, known := s.counts[key]; known || len(s.counts) < maxServed {
		s.counts[key]++
	}
}

func (s *served) decay(now time.Time) {
	age := now.Sub(s.decayed)
	if age < servedStep {
		return
	}
	s.decayed = now
	factor := math.Exp(-age.Seconds() / servedTime.Seconds())
	for key, count := range s.counts {
		if count *= factor; count < servedGone {
			delete(s.counts, key)
			continue
		}
		s.counts[key] = count
	}
}
