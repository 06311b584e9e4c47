package sdlimit

import (
	"math"
	"time"

	"github.com/savorydeal/savorydeal"
)

// Unlimited never delays a call. It is the baseline without overload control.
type Unlimited struct{}

var _ savorydeal.Limiter = Unlimited{}

// Observe does nothing.
func (Unlimited) Observe(time.Time, savorydeal.LimitSample) {}

// Limit returns a number that no target reaches.
func (Unlimited) Limit() int {
	return math.MaxInt32
}

// SetSlots does nothing.
func (Unlimited) SetSlots(int) {}
