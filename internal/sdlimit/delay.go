package sdlimit

import (
	"time"

	"github.com/savorydeal/savorydeal"
)

const (
	// minLatencyMaxAge is the age at which the minimum latency is replaced by
	// the current mean.
	minLatencyMaxAge = 10 * time.Second
	// delayLowQueue and delayHighQueue bound the estimated queue within the
	// target, as a fraction of the limit, at which the limit stays unchanged.
	delayLowQueue  = 0.3
	delayHighQueue = 0.6
)

// Delay is a limiter that estimates the queue within the target from the
// latency above the recent minimum, as TCP Vegas does, and keeps that queue
// short.
type Delay struct {
	slots int
	limit float64
	// minLatency is the lowest value of meanLatency within about
	// minLatencyMaxAge, observed at minLatencyAt; 0 before the first run.
	minLatency time.Duration
	// meanLatency is a moving average in nanoseconds; 0 before the first run.
	meanLatency  float64
	minLatencyAt time.Time
}

var _ savorydeal.Limiter = (*Delay)(nil)

// NewDelay returns a limiter whose first limit is the number of slots.
func NewDelay(slots int) *Delay {
	return &Delay{slots: max(1, slots), limit: float64(max(1, slots))}
}

// Observe updates the limit from one finished run. Service times vary, so it
// uses the mean of recent latencies instead of a single one, and the minimum of
// that mean as the latency of a target without queue.
func (d *Delay) Observe(now time.Time, sample savorydeal.LimitSample) {
	if sample.Result != savorydeal.RunSucceeded {
		return
	}
	if d.meanLatency == 0 {
		d.meanLatency = float64(sample.Latency)
	}
	d.meanLatency += 0.1 * (float64(sample.Latency) - d.meanLatency)
	if mean := time.Duration(d.meanLatency); d.minLatency == 0 || mean < d.minLatency || now.Sub(d.minLatencyAt) > minLatencyMaxAge {
		d.minLatency = mean
		d.minLatencyAt = now
	}
	queueFraction := 1 - float64(d.minLatency)/d.meanLatency
	switch {
	case queueFraction > delayHighQueue:
		d.limit = max(1, d.limit-1/d.limit)
	case queueFraction < delayLowQueue && sample.Queued:
		d.limit = min(float64(d.slots), d.limit+1/d.limit)
	}
}

// Limit returns the current limit, at least 1 and at most the slots.
func (d *Delay) Limit() int {
	return max(1, int(d.limit))
}

// SetSlots sets the upper bound of the limit. A change resets the limit to the
// new number of slots.
func (d *Delay) SetSlots(slots int) {
	slots = max(1, slots)
	if slots != d.slots {
		d.limit = float64(slots)
	}
	d.slots = slots
}
