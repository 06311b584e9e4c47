package sdlimit

import (
	"time"

	"github.com/savorydeal/savorydeal"
)

const (
	// aimdBackoff is the part of the limit kept when a target sheds or times
	// out.
	aimdBackoff = 0.9
	// aimdPause is the number of runs, in parts of the limit, before the next
	// step down: those sent before the last step say nothing new.
	aimdPause = 1.0
)

// AIMD lowers the limit by a part when the target sheds or times out, and
// raises it by one for each limit's worth of successes under demand.
type AIMD struct {
	slots  int
	limit  float64
	paused float64
}

var _ savorydeal.Limiter = (*AIMD)(nil)

// NewAIMD returns a limiter that starts at the slots.
func NewAIMD(slots int) *AIMD {
	return &AIMD{slots: max(1, slots), limit: float64(max(1, slots))}
}

// Observe learns from one finished run.
func (a *AIMD) Observe(_ time.Time, sample savorydeal.LimitSample) {
	a.paused = max(0, a.paused-1)
	switch sample.Result {
	case savorydeal.RunShed, savorydeal.RunTimedOut:
		// A deeper service that times out says nothing of this target.
		if a.paused == 0 && !sample.Onward {
			a.limit = max(1, a.limit*aimdBackoff)
			a.paused = aimdPause * a.limit
		}
	case savorydeal.RunSucceeded:
		if sample.Queued {
			a.limit = min(float64(a.slots), a.limit+1/a.limit)
		}
	}
}

// Limit returns the present limit.
func (a *AIMD) Limit() int {
	return max(1, int(a.limit))
}

// SetSlots bounds the limit. More slots than before are tried at once: the
// target's own word is the best guess until runs show otherwise.
func (a *AIMD) SetSlots(slots int) {
	slots = max(1, slots)
	if slots != a.slots {
		a.limit = float64(slots)
	}
	a.slots = slots
}
