package sdlimit

import (
	"math"
	"time"

	"github.com/savorydeal/savorydeal"
)

// Unlimited never holds a call back. It is the baseline of no control.
type Unlimited struct{}

var _ savorydeal.Limiter = Unlimited{}

// Observe does nothing.
func (Unlimited) Observe(time.Time, savorydeal.LimitSample) {}

// Limit returns more than any target runs.
func (Unlimited) Limit() int {
	return math.MaxInt32
}

// SetSlots does nothing.
func (Unlimited) SetSlots(int) {}
