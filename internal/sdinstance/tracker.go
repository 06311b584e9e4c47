// Package sdinstance tracks the state of the target on this VM from its
// announcements (heartbeats), its health check and the connections to it. It
// is used on platforms that identify targets by identity and start time. It
// does no I/O.
package sdinstance

import (
	"time"

	"github.com/savorydeal/savorydeal"
	"github.com/savorydeal/savorydeal/internal/sddeparture"
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
	// departures holds the starts that are leaving.
	departures sddeparture.Set
	// restoring is true until the departures that earlier processes have learnt of are
	// among them.
	restoring bool
}

// New returns a tracker for the target of a service at an address, in state
// TargetAbsent.
func New(service, address string) *Tracker {
	return &Tracker{service: service, address: address, state: State{Target: savorydeal.TargetAbsent}}
}

// State returns the current state.
func (t *Tracker) State() State {
	state := t.state
	if t.restoring && state.Target == savorydeal.TargetReady {
		state.Target = savorydeal.TargetAbsent
	}
	return state
}

// Departures returns the starts that are leaving.
func (t *Tracker) Departures() []savorydeal.Departure {
	return t.departures.All()
}

// DeparturesVersion grows with each departure.
func (t *Tracker) DeparturesVersion() int {
	return t.departures.Version()
}

// Restore adds departures that an earlier process on this VM has learnt of. If no target is
// known yet, the last one that left is held as the present one.
func (t *Tracker) Restore(now time.Time, departures []savorydeal.Departure) {
	for _, departure := range departures {
		if sddeparture.Expired(now, departure) {
			continue
		}
		t.departures.Add(departure)
		if t.state.Heartbeat.Identity == "" || !t.announced && t.state.Target == savorydeal.TargetLeaving {
			t.state.Heartbeat = t.heartbeatOf(departure.Start)
		}
	}
	t.applyDepartures(now)
}

// AwaitRestore holds the target back until Restored is called.
func (t *Tracker) AwaitRestore() {
	t.restoring = true
}

// Restored marks the departures as restored: the target may be used if it is not among them.
func (t *Tracker) Restored(now time.Time) {
	t.restoring = false
	if t.state.Target == savorydeal.TargetReady {
		t.state.ReadySince = now
	}
}

// Expire forgets departures after sddeparture.TTL.
func (t *Tracker) Expire(now time.Time) {
	t.departures.Expire(now)
}

// Announce handles an announcement of a target as ready or leaving.
func (t *Tracker) Announce(now time.Time, heartbeat savorydeal.Heartbeat) Result {
	start, previous := heartbeat.Start(), t.state.Heartbeat
	if heartbeat.Leaving {
		t.depart(now, start)
	}
	if heartbeat.Service != t.service || heartbeat.Address != t.address {
		return ResultForeign
	}
	if t.announced && !newer(heartbeat, previous) {
		if heartbeat.Leaving && t.departures.Binds(previous.Start()) {
			return ResultAccepted
		}
		return ResultStale
	}
	sameStart := start == previous.Start()
	t.announced = true
	t.state.Heartbeat = heartbeat
	if t.departures.Binds(start) {
		// A target that is leaving becomes ready again only after a restart.
		if !sameStart || t.state.LeftAt.IsZero() {
			t.state.LeftAt = now
		}
		t.state.Target = savorydeal.TargetLeaving
		return ResultAccepted
	}
	if !sameStart || t.state.Target != savorydeal.TargetReady {
		t.state.ReadySince = now
	}
	t.state.LeftAt = time.Time{}
	t.state.Target = savorydeal.TargetReady
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
// announcement to this process, and before its health check. Whatever the result, the start
// gets no calls from then on.
func (t *Tracker) Leave(now time.Time, identity string, started int64) Result {
	known := &t.state.Heartbeat
	start := savorydeal.TargetStart{Identity: identity, Started: started}
	if known.Identity == "" {
		*known = t.heartbeatOf(start)
	}
	if identity == known.Identity {
		switch {
		case known.Started == 0:
			known.Started = started
		case started == 0:
			start.Started = known.Started
		}
	}
	t.depart(now, start)
	switch {
	case identity != known.Identity:
		return ResultForeign
	case !t.departures.Binds(known.Start()):
		return ResultStale
	}
	return ResultAccepted
}

// StatedLeaving handles an answer in which a start of the target has stated that it is
// leaving. It reports whether the state changed.
func (t *Tracker) StatedLeaving(now time.Time, start savorydeal.TargetStart) bool {
	if t.state.Target == savorydeal.TargetLeaving || !t.state.Heartbeat.Start().Matches(start) {
		return false
	}
	t.depart(now, t.state.Heartbeat.Start())
	return t.state.Target == savorydeal.TargetLeaving
}

// depart records that a start is leaving, whether or not it is the present one.
func (t *Tracker) depart(now time.Time, start savorydeal.TargetStart) {
	t.departures.Add(savorydeal.Departure{Start: start, LeftAt: now})
	t.applyDepartures(now)
}

// applyDepartures marks the target as leaving if its present start is.
func (t *Tracker) applyDepartures(now time.Time) {
	if t.state.Target == savorydeal.TargetLeaving || !t.departures.Binds(t.state.Heartbeat.Start()) {
		return
	}
	t.state.Target = savorydeal.TargetLeaving
	if t.state.LeftAt.IsZero() {
		t.state.LeftAt = now
	}
}

// heartbeatOf stands for the announcement of a start that this process has not received.
func (t *Tracker) heartbeatOf(start savorydeal.TargetStart) savorydeal.Heartbeat {
	return savorydeal.Heartbeat{Identity: start.Identity, Started: start.Started, Service: t.service, Address: t.address}
}

// Discovered marks the target as ready if its health check has reported an
// identity before the target announced itself to this process. slots is an
// estimate that is used until the first announcement. It reports whether the
// target was marked. A target under the identity of one that is leaving is not: whether it
// has started again is known only from its announcement.
func (t *Tracker) Discovered(now time.Time, identity string, slots int) bool {
	if t.announced || identity == "" || t.departures.Binds(savorydeal.TargetStart{Identity: identity}) {
		return false
	}
	t.state = State{Target: savorydeal.TargetReady, ReadySince: now, Heartbeat: savorydeal.Heartbeat{
		Identity: identity, Service: t.service, Address: t.address, Slots: slots,
	}}
	return true
}

// Missing reports whether the health check can show more of the target than is known: none
// has announced itself to this process, or its address accepts no connections.
func (t *Tracker) Missing() bool {
	switch t.state.Target {
	case savorydeal.TargetSilent:
		return true
	case savorydeal.TargetAbsent:
		return t.state.Heartbeat.Identity == ""
	}
	return t.state.Target == savorydeal.TargetLeaving && !t.announced
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
