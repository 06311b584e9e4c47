package sdlimit

import (
	"time"

	"github.com/savorydeal/savorydeal"
)

const (
	// aimdBackoff is the factor applied to the limit when a target sheds a call
	// or a call times out.
	aimdBackoff = 0.9
	// aimdCooldown is the number of finished runs, as a multiple of the limit,
	// between two decreases. Runs that were sent before a decrease do not show
	// its effect.
	aimdCooldown = 1.0
)

// AIMD is a limiter with additive increase and multiplicative decrease. It
// lowers the limit when the target sheds calls or calls time out, and raises it
// by one after as many successful runs as the limit, while calls are queued.
type AIMD struct {
	slots int
	limit float64
	// cooldown is the number of finished runs until the limit may decrease
	// again.
	cooldown float64
}

var _ savorydeal.Limiter = (*AIMD)(nil)

// NewAIMD returns a limiter whose first limit is the number of slots.
func NewAIMD(slots int) *AIMD {
	return &AIMD{slots: max(1, slots), limit: float64(max(1, slots))}
}

// Observe updates the limit from one finished run.
func (a *AIMD) Observe(_ time.Time, sample savorydeal.LimitSample) {
	a.cooldown = max(0, a.cooldown-1)
	switch sample.Result {
	case savorydeal.RunShed, savorydeal.RunTimedOut:
		// The timeout of a run that called a downstream service does not show
		// that this target is overloaded.
		if a.cooldown == 0 && !sample.Onward {
			a.limit = max(1, a.limit*aimdBackoff)
			a.cooldown = aimdCooldown * a.limit
		}
	case savorydeal.RunSucceeded:
		if sample.Queued {
			a.limit = min(float64(a.slots), a.limit+1/a.limit)
		}
	}
}

// Limit returns the current limit, at least 1 and at most the slots.
func (a *AIMD) Limit() int {
	return max(1, int(a.limit))
}

// SetSlots sets the upper bound of the limit. A change resets the limit to the
// new number of slots: the number that the target reports is the best estimate
// until runs show otherwise.
func (a *AIMD) SetSlots(slots int) {
	slots = max(1, slots)
	if slots != a.slots {
		a.limit = float64(slots)
	}
	a.slots = slots
}
