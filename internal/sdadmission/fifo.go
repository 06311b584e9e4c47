package sdadmission

import (
	"time"

	"github.com/savorydeal/savorydeal"
)

// FIFO runs calls in the order of their arrival, regardless of class, in one
// bounded queue. It is the baseline that Queue is compared with.
type FIFO struct {
	*Queue
}

var _ savorydeal.Admission = (*FIFO)(nil)

// NewFIFO returns an empty queue that ignores class, depth and caller.
func NewFIFO(limiter savorydeal.Limiter) *FIFO {
	return &FIFO{Queue: New(limiter, Options{OldestFirst: true, IgnoreDepth: true, IgnoreCaller: true})}
}

// Arrive queues a call with the same class and rank as all others.
func (f *FIFO) Arrive(now time.Time, arrival savorydeal.Arrival) []savorydeal.AdmissionAction {
	arrival.Class = savorydeal.ClassCritical
	arrival.Rank = ^uint32(0)
	return f.Queue.Arrive(now, arrival)
}
