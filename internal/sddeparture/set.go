// Package sddeparture decides how the departures of targets outlive the processes that
// have acknowledged them: which departures hold, who is told of them before they are
// acknowledged, and when a new process knows those of its VM. It does no I/O.
package sddeparture

import (
	"slices"
	"time"

	"github.com/savorydeal/savorydeal"
)

const (
	// TTL is how long a departure is kept. Targets end seconds after they have left, and
	// their delayed announcements arrive seconds late.
	TTL = 10 * time.Minute
	// maxPerVM bounds the departures of one VM that are kept; the latest are.
	maxPerVM = 8
)

// Set holds the departures of one VM. The zero value is empty. It is not safe for
// concurrent use.
type Set struct {
	departures []savorydeal.Departure
	version    int
}

// Add adds a departure and reports whether the set has changed: it has not if the set
// binds that start already.
func (s *Set) Add(departure savorydeal.Departure) bool {
	if departure.Start.Identity == "" || covers(s.departures, departure) {
		return false
	}
	s.departures = append(s.departures, departure)
	s.departures = s.departures[max(0, len(s.departures)-maxPerVM):]
	s.version++
	return true
}

// Binds reports whether a start of the VM's target is leaving.
func (s *Set) Binds(start savorydeal.TargetStart) bool {
	return slices.ContainsFunc(s.departures, func(d savorydeal.Departure) bool { return d.Binds(start) })
}

// All returns the departures, the latest last.
func (s *Set) All() []savorydeal.Departure {
	return slices.Clone(s.departures)
}

// Version grows with each departure that is added.
func (s *Set) Version() int {
	return s.version
}

// Expire removes the departures that are older than TTL.
func (s *Set) Expire(now time.Time) {
	s.departures = slices.DeleteFunc(s.departures, func(d savorydeal.Departure) bool { return Expired(now, d) })
}

// Expired reports whether a departure is older than TTL, or claims to be from as far in the
// future.
func Expired(now time.Time, departure savorydeal.Departure) bool {
	return now.Sub(departure.LeftAt).Abs() > TTL
}
