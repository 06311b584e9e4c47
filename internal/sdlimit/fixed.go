// Package sdlimit finds how many calls one target runs at once without slowing
// down. It does no I/O.
package sdlimit

import (
	"time"

	"github.com/savorydeal/savorydeal"
)

// Fixed is the limiter that always allows the target's slots. It is the
// baseline that the others are measured against.
type Fixed struct {
	slots int
}

var _ savorydeal.Limiter = (*Fixed)(nil)

// NewFixed returns a limiter of the given slots.
func NewFixed(slots int) *Fixed {
	return &Fixed{slots: max(1, slots)}
}

// Observe does nothing: a fixed limit does not learn.
func (f *Fixed) Observe(time.Time, savorydeal.LimitSample) {}

// Limit returns the slots.
func (f *Fixed) Limit() int {
	return f.slots
}

// SetSlots sets the slots.
func (f *Fixed) SetSlots(slots int) {
	f.slots = max(1, slots)
}
