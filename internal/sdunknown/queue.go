// Package sdunknown lists for operators the keyed calls of the last day whose
// outcome is unknown. Each node queues its own in bounded memory and writes them
// to the platform in batches, outside the path of calls.
package sdunknown

import (
	"sync"
	"time"

	"github.com/savorydeal/savorydeal"
)

const (
	// MaxQueued bounds the outcomes that are not yet written to the platform.
	// Beyond it the oldest are dropped and counted.
	MaxQueued = 10_000
	// Retention is how long an outcome is listed.
	Retention = 24 * time.Hour
)

// Outcome describes one keyed call that may have run and has no answer.
type Outcome struct {
	// Time is when the call ended without an answer.
	Time      time.Time
	Service   string
	Operation string
	Key       string
	Caller    string
	RequestID string
	// Reason is why the outcome is unknown.
	Reason savorydeal.Reason
	// Node is the node that recorded the outcome.
	Node savorydeal.NodeID
}

// Queue holds the outcomes that are not yet written to the platform, the oldest
// first. It is safe for concurrent use.
type Queue struct {
	mu      sync.Mutex
	pending []Outcome
	added   int64
	dropped int64
}

// Add appends an outcome. It does not block on the platform.
func (q *Queue) Add(outcome Outcome) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.added++
	q.appendBounded([]Outcome{outcome})
}

// appendBounded appends outcomes and drops the oldest beyond MaxQueued. The caller
// holds mu.
func (q *Queue) appendBounded(outcomes []Outcome) {
	q.pending = append(q.pending, outcomes...)
	if excess := len(q.pending) - MaxQueued; excess > 0 {
		q.pending = append([]Outcome(nil), q.pending[excess:]...)
		q.dropped += int64(excess)
	}
}

// TakeBatch removes and returns up to n outcomes, the oldest first, of the service
// of the oldest outcome. It returns nil if the queue is empty.
func (q *Queue) TakeBatch(n int) []Outcome {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.pending) == 0 {
		return nil
	}
	service := q.pending[0].Service
	var batch, remaining []Outcome
	for _, outcome := range q.pending {
		if outcome.Service == service && len(batch) < n {
			batch = append(batch, outcome)
			continue
		}
		remaining = append(remaining, outcome)
	}
	q.pending = remaining
	return batch
}

// Requeue puts outcomes that could not be written back to the front of the queue.
func (q *Queue) Requeue(outcomes []Outcome) {
	q.mu.Lock()
	defer q.mu.Unlock()
	newer := q.pending
	q.pending = outcomes
	q.appendBounded(newer)
}

// Pending returns a copy of the outcomes that are not yet written to the platform.
func (q *Queue) Pending() []Outcome {
	q.mu.Lock()
	defer q.mu.Unlock()
	return append([]Outcome(nil), q.pending...)
}

// Counts returns the numbers of outcomes added and dropped since the start.
func (q *Queue) Counts() (added, dropped int64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.added, q.dropped
}
