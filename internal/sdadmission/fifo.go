package sdadmission

import (
	"time"

	"github.com/savorydeal/savorydeal"
)

// FIFO runs calls in the order of their arrival whatever their class, in one
// bounded queue. It is the baseline that Queue is measured against.
type FIFO struct {
	*Queue
}

var _ savorydeal.Admission = (*FIFO)(nil)

// NewFIFO returns a queue without order of importance.
func NewFIFO(limiter savorydeal.Limiter) *FIFO {
	return &FIFO{Queue: New(limiter)}
}

// Arrive queues a call as if all calls had the same class.
func (f *FIFO) Arrive(now time.Time, arrival savorydeal.Arrival) []savorydeal.AdmissionAction {
	arrival.Class = savorydeal.ClassCritical
	return f.Queue.Arrive(now, arrival)
}
