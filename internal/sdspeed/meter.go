// Package sdspeed measures how fast a target runs the requests of each route, at the node
// beside it, which sees all of its runs. A node that sends the target a request every few
// seconds cannot measure that by itself. It does no I/O.
package sdspeed

import (
	"math"
	"time"
)

const (
	// runWeight is the least weight of a new run in the mean of its route. Run times vary
	// by more than their mean, so that fewer runs give no useful mean.
	runWeight = 0.04
	// maxAge is the time after the last run from which a mean is no longer reported. A
	// target may have become faster or slower since.
	maxAge = 10 * time.Second
)

type route struct {
	// mean is the moving average of the run times, in seconds.
	mean  float64
	runs  int
	runAt time.Time
}

// Meter holds the mean run times of one target by route. It is not safe for concurrent use.
type Meter struct {
	routes map[string]*route
}

// NewMeter returns a Meter without runs.
func NewMeter() *Meter {
	return &Meter{routes: make(map[string]*route)}
}

// Observe records a run that has ended with an answer or at its deadline. A run that was cut
// at its deadline would have lasted longer: leaving it out would make a slow target look as
// fast as the others.
func (m *Meter) Observe(now time.Time, name string, runTime time.Duration) {
	r := m.routes[name]
	if r == nil || now.Sub(r.runAt) > maxAge {
		m.expire(now)
		r = &route{}
		m.routes[name] = r
	}
	r.runs++
	r.runAt = now
	r.mean += math.Max(runWeight, 1/float64(r.runs)) * (runTime.Seconds() - r.mean)
}

// Mean returns the mean run time of a route, 0 if there is no recent run.
func (m *Meter) Mean(now time.Time, name string) time.Duration {
	r := m.routes[name]
	if r == nil || now.Sub(r.runAt) > maxAge {
		return 0
	}
	return time.Duration(r.mean * float64(time.Second))
}

// Reset forgets all runs, because another target has started at the address.
func (m *Meter) Reset() {
	clear(m.routes)
}

func (m *Meter) expire(now time.Time) {
	for name, r := range m.routes {
		if now.Sub(r.runAt) > maxAge {
			delete(m.routes, name)
		}
	}
}
