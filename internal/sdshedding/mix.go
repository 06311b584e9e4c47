package sdshedding

import "math"

const (
	// mixTime is the age at which the weight of a request has fallen to 1/e in the mix.
	// In it a node receives enough requests to know the shares of the ranks.
	mixTime = 2.0
	// shareTime is the same for the admitted share. It is about the time from the
	// admission of a request to the report of the demand that it causes downstream.
	shareTime = 0.4
	// settleTime is the time in which the admitted share approaches the share that
	// fits. It is not below shareTime, or the level would oscillate.
	settleTime = 0.4
	// minMix is the number of calls below which the mix is not known.
	minMix = 5.0
	// minShare and minDemand bound the estimates from a small admitted share, and of one.
	minShare  = 0.05
	minDemand = 0.05
	// maxFittingShare is above 1, so that the level reaches 0 in a finite time.
	maxFittingShare = 1.3
)

// mix holds the calls to a service that new requests would make, by rank. With it, the
// level follows from the reported demand at once: the demand and the share that was
// admitted give the demand of all requests, and that gives the share that fits. A level
// that only sums up the excess demand rises while the queue grows, and stays high while
// the service is idle again.
type mix struct {
	// calls holds the decayed number of calls of each rank, the least important first,
	// admitted or not.
	calls []float64
	total float64
	// share is the moving average of the admitted share of the calls.
	share float64
}

func (m *mix) offer(fromLeast int, calls float64) {
	for len(m.calls) <= fromLeast {
		m.calls = append(m.calls, 0)
	}
	m.calls[max(0, fromLeast)] += calls
	m.total += calls
}

// advance lets the mix age and updates the admitted share at the given level.
func (m *mix) advance(elapsed, level float64, ranks int) {
	if len(m.calls) > ranks {
		*m = mix{} // the ranks have changed
	}
	keep := math.Exp(-elapsed / mixTime)
	m.total = 0
	for i := range m.calls {
		m.calls[i] *= keep
		m.total += m.calls[i]
	}
	if m.share == 0 {
		m.share = 1
	}
	m.share += (1 - math.Exp(-elapsed/shareTime)) * (m.admitted(level) - m.share)
}

func (m *mix) known() bool { return m.total >= minMix }

// admitted returns the share of the calls that is admitted at a level.
func (m *mix) admitted(level float64) float64 {
	if m.total <= 0 {
		return 1
	}
	refused := 0.0
	for i, calls := range m.calls {
		refused += calls * min(1, max(0, level-float64(i)))
	}
	return 1 - refused/m.total
}

// levelOf returns the lowest level at which the share is admitted.
func (m *mix) levelOf(share float64) float64 {
	excess := (1 - share) * m.total
	for i, calls := range m.calls {
		if excess <= 0 {
			return float64(i)
		}
		if calls > 0 && excess < calls {
			return float64(i) + excess/calls
		}
		excess -= calls
	}
	return float64(len(m.calls))
}

// nextLevel returns the level after elapsed seconds. demand is the demand that the admitted
// calls cause, and goal the demand that fits, as shares of the capacity. An outdated report
// does not raise the level.
func (m *mix) nextLevel(elapsed, level, demand, goal float64, outdated bool) float64 {
	current := m.admitted(level)
	fitting := min(maxFittingShare, max(m.share, minShare)*goal/max(demand, minDemand))
	if outdated && fitting < current {
		return level
	}
	return m.levelOf(min(1, current+(1-math.Exp(-elapsed/settleTime))*(fitting-current)))
}
