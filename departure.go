package savorydeal

import "time"

// Departure states that a start of a target is leaving: it gets no new calls.
type Departure struct {
	// Start is the start that leaves. Its time is 0 if the target has not stated it.
	Start TargetStart
	// LeftAt is when the node beside the target learnt of it, on the clock of its VM.
	LeftAt time.Time
}

// Binds reports whether the departure holds for a start of a target: for the one that it
// names and for earlier ones of the same identity. It also holds for a start whose time is
// not known, which cannot be told from the one that leaves, and, if it names no time, for
// each start before LeftAt.
func (d Departure) Binds(start TargetStart) bool {
	switch {
	case d.Start.Identity != start.Identity:
		return false
	case start.Started == 0:
		return true
	case d.Start.Started == 0:
		return start.Started <= d.LeftAt.UnixMilli()
	}
	return start.Started <= d.Start.Started
}
