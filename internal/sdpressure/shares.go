package sdpressure

import (
	"math"
	"time"
)

// quietRate is the decayed count below which a caller is no longer counted.
const quietRate = 0.05

// shares keeps the recent rates of the callers of one class.
type shares struct {
	callers map[string]float64
	total   float64
	decayed time.Time
}

func newShares() *shares {
	return &shares{callers: make(map[string]float64)}
}

// add counts one request and returns the caller's rate in units of the mean.
func (s *shares) add(now time.Time, caller string) float64 {
	s.decay(now)
	if _, known := s.callers[caller]; !known && len(s.callers) >= maxCallers {
		return 1
	}
	s.callers[caller]++
	s.total++
	mean := s.total / float64(len(s.callers))
	return s.callers[caller] / mean
}

// decay lets all counts fade, a few times in each time constant.
func (s *shares) decay(now time.Time) {
	age := now.Sub(s.decayed)
	if age < shareTime/8 {
		return
	}
	s.decayed = now
	factor := math.Exp(-age.Seconds() / shareTime.Seconds())
	s.total = 0
	for caller, count := range s.callers {
		count *= factor
		if count < quietRate {
			delete(s.callers, caller)
			continue
		}
		s.callers[caller] = count
		s.total += count
	}
}
