// Package sdlimit contains concurrency limiters, which decide how many calls one
// target may run at once. Except for the baselines Fixed and Unlimited, they
// estimate from finished runs how many it can run without slowing down. The
// package does no I/O.
package sdlimit

import (
	"time"

	"github.com/savorydeal/savorydeal"
)

// Fixed is a limiter that always allows as many calls as the target has slots.
// It is the baseline that the other limiters are compared with.
type Fixed struct {
	slots int
}

var _ savorydeal.Limiter = (*Fixed)(nil)

// NewFixed returns a limiter with the given slots, at least 1.
func NewFixed(slots int) *Fixed {
	return &Fixed{slots: max(1, slots)}
}

// Observe does nothing: the limit does not depend on finished runs.
func (f *Fixed) Observe(time.Time, savorydeal.LimitSample) {}

// Limit returns the number of slots.
func (f *Fixed) Limit() int {
	return f.slots
}

// SetSlots sets the limit to the number of slots, at least 1.
func (f *Fixed) SetSlots(slots int) {
	f.slots = max(1, slots)
}
