package sdlimit

import (
	"math"
	"time"

	"github.com/savorydeal/savorydeal"
)

const (
	gradientLongWeight  = 0.01
	gradientShortWeight = 0.2
	gradientTolerance   = 1.5
	gradientSmoothing   = 0.2
	gradientLeast       = 0.5
)

// Gradient follows the ratio of the long to the short mean of latency, with
// room for a queue of the square root of the limit, as Netflix's Gradient2
// does.
type Gradient struct {
	slots int
	limit float64
	long  float64
	short float64
}

var _ savorydeal.Limiter = (*Gradient)(nil)

// NewGradient returns a limiter that starts at the slots.
func NewGradient(slots int) *Gradient {
	return &Gradient{slots: max(1, slots), limit: float64(max(1, slots))}
}

// Observe learns from one finished run.
func (g *Gradient) Observe(_ time.Time, sample savorydeal.LimitSample) {
	if sample.Result != savorydeal.RunSucceeded {
		return
	}
	latency := sample.Latency.Seconds()
	if g.long == 0 {
		g.long, g.short = latency, latency
	}
	g.long += gradientLongWeight * (latency - g.long)
	g.short += gradientShortWeight * (latency - g.short)
	if g.long > 2*g.short {
		// The long mean is from a slow time that has passed.
		g.long *= 0.95
	}
	if !sample.Queued {
		return
	}
	gradient := max(gradientLeast, min(1, gradientTolerance*g.long/g.short))
	wanted := g.limit*gradient + math.Sqrt(g.limit)
	g.limit += gradientSmoothing / g.limit * (wanted - g.limit)
	g.limit = max(1, min(float64(g.slots), g.limit))
}

// Limit returns the present limit.
func (g *Gradient) Limit() int {
	return max(1, int(g.limit))
}

// SetSlots bounds the limit.
func (g *Gradient) SetSlots(slots int) {
	slots = max(1, slots)
	if slots != g.slots {
		g.limit = float64(slots)
	}
	g.slots = slots
}
