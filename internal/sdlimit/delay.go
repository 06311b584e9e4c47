package sdlimit

import (
	"time"

	"github.com/savorydeal/savorydeal"
)

const (
	// delayEpoch is how long the least latency is remembered.
	delayEpoch = 10 * time.Second
	// delayLow and delayHigh are the estimated queue within the target, in
	// parts of the limit, between which the limit rests.
	delayLow  = 0.3
	delayHigh = 0.6
)

// Delay estimates the queue within the target from the latency above the least
// of late, as TCP Vegas does, and keeps it short.
type Delay struct {
	slots   int
	limit   float64
	least   time.Duration
	mean    float64
	leastAt time.Time
}

var _ savorydeal.Limiter = (*Delay)(nil)

// NewDelay returns a limiter that starts at the slots.
func NewDelay(slots int) *Delay {
	return &Delay{slots: max(1, slots), limit: float64(max(1, slots))}
}

// Observe learns from one finished run. Service times vary, so the mean of the
// recent ones stands for one latency, and its least for an empty target.
func (d *Delay) Observe(now time.Time, sample savorydeal.LimitSample) {
	if sample.Result != savorydeal.RunSucceeded {
		return
	}
	if d.mean == 0 {
		d.mean = float64(sample.Latency)
	}
	d.mean += 0.1 * (float64(sample.Latency) - d.mean)
	if mean := time.Duration(d.mean); d.least == 0 || mean < d.least || now.Sub(d.leastAt) > delayEpoch {
		d.least = mean
		d.leastAt = now
	}
	queue := 1 - float64(d.least)/d.mean
	switch {
	case queue > delayHigh:
		d.limit = max(1, d.limit-1/d.limit)
	case queue < delayLow && sample.Queued:
		d.limit = min(float64(d.slots), d.limit+1/d.limit)
	}
}

// Limit returns the present limit.
func (d *Delay) Limit() int {
	return max(1, int(d.limit))
}

// SetSlots bounds the limit.
func (d *Delay) SetSlots(slots int) {
	slots = max(1, slots)
	if slots != d.slots {
		d.limit = float64(slots)
	}
	d.slots = slots
}
