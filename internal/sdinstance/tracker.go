// Package sdinstance tracks the state of the target on this VM from its
// announcements (heartbeats), its health check and the connections to it. It
// is used on platforms that identify targets by identity and start time. It
// does no I/O.
package sdinstance

import (
	"time"

	"github.com/savorydeal/savorydeal"
)

// Result is the outcome of an announcement or of a leave call.
type Result string

const (
	// ResultAccepted means that the announcement is the newest of the target, or
	// that the leave call is from the present target.
	ResultAccepted Result = "taken"
	// ResultStale means that a newer announcement was accepted before, or that a
	// leave call is for another start of the target.
	ResultStale Result = "old"
	// ResultForeign means that the announcement is from a target that is not on
	// this VM, or that the leave call is not from the target that this process knows.
	ResultForeign Result = "foreign"
)

// State is the state of the target as its node sees it.
type State struct {
	Target savorydeal.TargetState
	// Heartbeat is the last accepted announcement. Before the first one, its
	// identity comes from the health check and its slots are an estimate.
	Heartbeat savorydeal.Heartbeat
	// ReadySince is when the target last became ready.
	ReadySince time.Time
	// LeftAt is when this node first learnt that the target is leaving, from an
	// announcement, a call or an answer. It is zero if it did not since the target's
	// start.
	LeftAt time.Time
}

// Tracker tracks the target of one VM. It is not safe for concurrent use.
type Tracker struct {
	service string
	address string
	state   State
	// announced is set by the first accepted announcement.
	announced bool
}

// New returns a tracker for the target of a service at an address, in state
// TargetAbsent.
func New(service, address string) *Tracker {
	return &Tracker{service: service, address: address, state: State{Target: savorydeal.TargetAbsent}}
}

// State returns the current state.
func (t *Tracker) State() State {
	return t.state
}

// Announce handles an announcement of a target as ready or leaving.
func (t *Tracker) Announce(now time.Time, heartbeat savorydeal.Heartbeat) Result {
	if heartbeat.Service != t.service || heartbeat.Address != t.address {
		return ResultForeign
	}
	previous := t.state.Heartbeat
	if t.announced && !newer(heartbeat, previous) {
		return ResultStale
	}
	sameStart := heartbeat.Start() == previous.Start()
	t.announced = true
	t.state.Heartbeat = heartbeat
	switch {
	case sameStart && !t.state.LeftAt.IsZero():
		// A target that has announced that it leaves becomes ready again only
		// after a restart.
	case heartbeat.Leaving:
		t.state.Target = savorydeal.TargetLeaving
		t.state.LeftAt = now
	default:
		if !sameStart || t.state.Target != savorydeal.TargetReady {
			t.state.ReadySince = now
		}
		t.state.LeftAt = time.Time{}
		t.state.Target = savorydeal.TargetReady
	}
	return ResultAccepted
}

// newer orders announcements by the target's start time, then by sequence. Of two
// targets that started at the same time the one that announces itself last is
// newer.
func newer(a, b savorydeal.Heartbeat) bool {
	if a.Started != b.Started {
		return a.Started > b.Started
	}
	if a.Identity != b.Identity {
		return true
	}
	return a.Sequence > b.Sequence
}

// Leave handles the call by which a target reports that it is leaving. started
// is its start time in Unix milliseconds, 0 if the call does not state it. A
// call for another start time is stale. The call may come before the target's first
// announcement to this process, and before its health check.
func (t *Tracker) Leave(now time.Time, identity string, started int64) Result {
	known := &t.state.Heartbeat
	switch {
	case known.Identity == "":
		t.state = State{Target: savorydeal.TargetAbsent, Heartbeat: savorydeal.Heartbeat{Identity: identity, Service: t.service, Address: t.address}}
	case identity != known.Identity:
		return ResultForeign
	case started != 0 && known.Started != 0 && started != known.Started:
		return ResultStale
	}
	if known.Started == 0 {
		known.Started = started
	}
	t.state.Target = savorydeal.TargetLeaving
	if t.state.LeftAt.IsZero() {
		t.state.LeftAt = now
	}
	return ResultAccepted
}

// StatedLeaving handles an answer in which a start of the target has stated that it is
// leaving. It reports whether the state changed.
func (t *Tracker) StatedLeaving(now time.Time, start savorydeal.TargetStart) bool {
	if t.state.Target != savorydeal.TargetReady && t.state.Target != savorydeal.TargetSilent || !t.state.Heartbeat.Start().Matches(start) {
		return false
	}
	t.state.Target = savorydeal.TargetLeaving
	if t.state.LeftAt.IsZero() {
		t.state.LeftAt = now
	}
	return true
}

// Discovered marks the target as ready if its health check has reported an
// identity before the target announced itself to this process. slots is an
// estimate that is used until the first announcement. It reports whether the
// target was marked.
func (t *Tracker) Discovered(now time.Time, identity string, slots int) bool {
	if t.announced || identity == "" || identity == t.state.Heartbeat.Identity && !t.state.LeftAt.IsZero() {
		return false
	}
	t.state = State{Target: savorydeal.TargetReady, ReadySince: now, Heartbeat: savorydeal.Heartbeat{
		Identity: identity, Service: t.service, Address: t.address, Slots: slots,
	}}
	return true
}

// ConnectionLost marks a ready target as silent because its address accepts no
// connections. It reports whether the state changed.
func (t *Tracker) ConnectionLost() bool {
	if t.state.Target != savorydeal.TargetReady {
		return false
	}
	t.state.Target = savorydeal.TargetSilent
	return true
}

// ConnectionRestored marks a silent target as ready because its address
// accepts connections again. It reports whether the state changed.
func (t *Tracker) ConnectionRestored(now time.Time) bool {
	if t.state.Target != savorydeal.TargetSilent {
		return false
	}
	t.state.Target = savorydeal.TargetReady
	t.state.ReadySince = now
	return true
}

// IdentityMismatch marks the target as absent if a target of another identity
// answers at its address, because the state of the new target is unknown until
// it announces itself. It reports whether the state changed.
func (t *Tracker) IdentityMismatch(identity string) bool {
	if identity == t.state.Heartbeat.Identity || t.state.Target == savorydeal.TargetAbsent {
		return false
	}
	t.state.Target = savorydeal.TargetAbsent
	return true
}
