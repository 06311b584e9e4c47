package sdlimit

import (
	"math"
	"time"

	"github.com/savorydeal/savorydeal"
)

const (
	// gradientLongWeight and gradientShortWeight are the weights of a new
	// sample in the long-term and the short-term mean latency.
	gradientLongWeight  = 0.01
	gradientShortWeight = 0.2
	// gradientTolerance is the ratio of the short-term to the long-term mean up
	// to which the limit is not reduced.
	gradientTolerance = 1.5
	// gradientSmoothing, divided by the limit, is the weight of a new estimate in
	// the limit.
	gradientSmoothing = 0.2
	// gradientMin is the least factor that one estimate applies to the limit.
	gradientMin = 0.5
)

// Gradient is a limiter that scales the limit by the ratio of the long-term to
// the short-term mean latency and adds the square root of the limit as queue
// allowance, as the Gradient2 algorithm of Netflix does.
type Gradient struct {
	slots int
	limit float64
	// longMean and shortMean are mean latencies in seconds; 0 before the first
	// run.
	longMean  float64
	shortMean float64
}

var _ savorydeal.Limiter = (*Gradient)(nil)

// NewGradient returns a limiter whose first limit is the number of slots.
func NewGradient(slots int) *Gradient {
	return &Gradient{slots: max(1, slots), limit: float64(max(1, slots))}
}

// Observe updates the limit from one finished run.
func (g *Gradient) Observe(_ time.Time, sample savorydeal.LimitSample) {
	if sample.Result != savorydeal.RunSucceeded {
		return
	}
	latency := sample.Latency.Seconds()
	if g.longMean == 0 {
		g.longMean, g.shortMean = latency, latency
	}
	g.longMean += gradientLongWeight * (latency - g.longMean)
	g.shortMean += gradientShortWeight * (latency - g.shortMean)
	if g.longMean > 2*g.shortMean {
		// The long-term mean still reflects a slow period that has ended.
		g.longMean *= 0.95
	}
	if !sample.Queued {
		return
	}
	gradient := max(gradientMin, min(1, gradientTolerance*g.longMean/g.shortMean))
	estimate := g.limit*gradient + math.Sqrt(g.limit)
	g.limit += gradientSmoothing / g.limit * (estimate - g.limit)
	g.limit = max(1, min(float64(g.slots), g.limit))
}

// Limit returns the current limit, at least 1 and at most the slots.
func (g *Gradient) Limit() int {
	return max(1, int(g.limit))
}

// SetSlots sets the upper bound of the limit. A change resets the limit to the
// new number of slots.
func (g *Gradient) SetSlots(slots int) {
	slots = max(1, slots)
	if slots != g.slots {
		g.limit = float64(slots)
	}
	g.slots = slots
}
