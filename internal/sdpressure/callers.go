package sdpressure

import (
	"math"
	"time"
)

// minCallerCount is the decayed count below which a caller is removed.
const minCallerCount = 0.05

// callerRates holds the request rates of the callers of one class, as counts that
// decay exponentially with callerRateTime.
type callerRates struct {
	counts    map[string]float64
	total     float64
	decayedAt time.Time
}

func newCallerRates() *callerRates {
	return &callerRates{counts: make(map[string]float64)}
}

// add counts one request and returns the caller's rate divided by the mean rate of
// all callers. It returns 1 for a caller beyond maxCallers, which is not counted.
func (r *callerRates) add(now time.Time, caller string) float64 {
	r.decay(now)
	if _, known := r.counts[caller]; !known && len(r.counts) >= maxCallers {
		return 1
	}
	r.counts[caller]++
	r.total++
	mean := r.total / float64(len(r.counts))
	return r.counts[caller] / mean
}

// decay applies the exponential decay since its last application to all counts, if
// at least an eighth of the time constant has passed.
func (r *callerRates) decay(now time.Time) {
	elapsed := now.Sub(r.decayedAt)
	if elapsed < callerRateTime/8 {
		return
	}
	r.decayedAt = now
	factor := math.Exp(-elapsed.Seconds() / callerRateTime.Seconds())
	r.total = 0
	for caller, count := range r.counts {
		count *= factor
		if count < minCallerCount {
			delete(r.counts, caller)
			continue
		}
		r.counts[caller] = count
		r.total += count
	}
}
