// Package sddoor decides which new requests are refused at their first node
// because a service on their way is short of room: the least important first,
// and whole requests only. It does no I/O.
package sddoor

import (
	"maps"
	"slices"
	"time"
)

const (
	// fullLoad is the load of a service, as a share of its places, above which
	// the door closes: all places are taken and a short queue stands.
	fullLoad = 1.5
	// openLoad is the load below which the door opens.
	openLoad = 1.2
	// maxLoad bounds how much of an excess counts at once.
	maxLoad = 3.0
	// closeRate and openRate are the levels a second by which the door moves
	// for each unit of load off the bounds. Word from a deep service takes some
	// 0.2 s; these rates move the door by less than a third of a rank in that.
	closeRate = 1.0
	openRate  = 1.5
	// loadWeight is the weight of one word on a service's load.
	loadWeight = 0.3
	// loadAge is the age from which a word on a load no longer counts.
	loadAge = 2 * time.Second
	// fallingBy is the change between two ticks from which a load counts as
	// falling.
	fallingBy = 0.01
	// closeAge is the age from which a word on a load closes the door no more.
	closeAge = 400 * time.Millisecond
	// blindRate is the levels a second by which the door opens without word.
	blindRate = 0.5
)

type service struct {
	load  float64
	at    time.Time
	level float64
	// before is the load at the last tick.
	before float64
}

// Door is the door of one node. It is not safe for concurrent use.
type Door struct {
	services map[string]*service
	// ranks are the priorities in use, the most important first.
	ranks  []int
	ticked time.Time
}

// New returns an open door.
func New() *Door {
	return &Door{services: make(map[string]*service)}
}

// SetPriorities sets the priorities of the routes.
func (d *Door) SetPriorities(priorities []int) {
	d.ranks = slices.Compact(slices.Sorted(slices.Values(priorities)))
}

// Report takes a word on the load of a service, as a share of its places.
func (d *Door) Report(now time.Time, name string, load float64) {
	s := d.services[name]
	if s == nil {
		s = &service{load: load}
		d.services[name] = s
	}
	if now.Sub(s.at) > loadAge {
		s.load = load
	}
	s.load += loadWeight * (min(load, maxLoad) - s.load)
	s.at = now
}

// Load is what is known of a service's load.
func (d *Door) Load(now time.Time, name string) (float64, bool) {
	s := d.services[name]
	if s == nil || now.Sub(s.at) > loadAge {
		return 0, false
	}
	return s.load, true
}

// Tick moves the door.
func (d *Door) Tick(now time.Time) {
	if d.ticked.IsZero() {
		d.ticked = now
	}
	passed := min(now.Sub(d.ticked), loadAge).Seconds()
	d.ticked = now
	highest := float64(len(d.ranks))
	for _, s := range d.services {
		switch {
		case now.Sub(s.at) > loadAge:
			s.level -= blindRate * passed
		case now.Sub(s.at) > closeAge:
			// Few requests pass a door that is nearly closed, and word is rare:
			// it is no reason to close on.
		case s.load > fullLoad && s.load < s.before-fallingBy:
			// What was let in before is being worked off: closing further
			// would leave the service idle afterwards.
		case s.load > fullLoad:
			s.level += closeRate * (s.load - fullLoad) * passed
		case s.load < openLoad:
			s.level -= openRate * (openLoad - s.load) * passed
		}
		s.level = min(highest, max(0, s.level))
		s.before = s.load
	}
}

// Level is the number of ranks that a service refuses, the last one in part.
func (d *Door) Level(name string) float64 {
	if s := d.services[name]; s != nil {
		return s.level
	}
	return 0
}

// Levels returns the services whose door is not open, with what is known of
// their loads.
func (d *Door) Levels(now time.Time) (levels, loads map[string]float64) {
	for name, s := range d.services {
		if s.level <= 0 {
			continue
		}
		if levels == nil {
			levels, loads = make(map[string]float64), make(map[string]float64)
		}
		levels[name] = s.level
		if load, known := d.Load(now, name); known {
			loads[name] = load
		}
	}
	return levels, loads
}

// Place is the place of a priority among those in use: 0 for the most important,
// 1 for the least.
func (d *Door) Place(priority int) float64 {
	if len(d.ranks) < 2 {
		return 0
	}
	place, _ := slices.BinarySearch(d.ranks, priority)
	return min(1, float64(place)/float64(len(d.ranks)-1))
}

// Refuses reports whether a new request is refused, and by which service. at is
// uniform in [0, 1) and decides among requests of one rank.
func (d *Door) Refuses(priority int, first string, calls map[string]float64, at float64) (string, bool) {
	place, _ := slices.BinarySearch(d.ranks, priority)
	importance := float64(len(d.ranks)-1-place) + at
	if d.Level(first) > importance {
		return first, true
	}
	for _, name := range slices.Sorted(maps.Keys(calls)) {
		if d.Level(name) > importance {
			return name, true
		}
	}
	return "", false
}
