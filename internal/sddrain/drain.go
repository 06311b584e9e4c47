// Package sddrain is the state machine of a node's graceful stop. It decides
// which connections are still accepted, what the stop waits for, and for how
// long. It does no I/O: the node reports what is in flight and carries out its
// actions.
package sddrain

import "time"

// Phase is a phase of a stop. Phases follow each other in the order below and
// none is entered twice; PhaseStopped can follow any phase when the timeout
// passes.
type Phase string

// Phases of a stop.
const (
	// PhaseServing means that no stop has begun.
	PhaseServing Phase = "serving"
	// PhaseLeaving still accepts connections of callers, but closes each after
	// its answer, while the other nodes are notified that this one is leaving.
	PhaseLeaving Phase = "leaving"
	// PhaseFinishing accepts no new connections of callers and waits for the
	// work in flight.
	PhaseFinishing Phase = "finishing"
	// PhaseHandingOver transfers records that other nodes need.
	PhaseHandingOver Phase = "handing_over"
	// PhaseClosing refuses idle connections of the target and of operators, and
	// keeps the links to other nodes open for at least LinkLinger, so that the
	// last bytes arrive.
	PhaseClosing Phase = "closing"
	// PhaseStopped means that the stop has ended and the process must exit.
	PhaseStopped Phase = "stopped"
)

// Action is a step that the node must carry out.
type Action string

// Actions of a stop.
const (
	// ActionAnnounceLeaving stops admitting new calls to this VM's target,
	// notifies the other nodes and disables keep-alives on connections of
	// callers.
	ActionAnnounceLeaving Action = "announce_leaving"
	// ActionRefuseCallers closes the callers' listener and refuses their idle
	// connections. It is repeated, for connections that become idle later.
	ActionRefuseCallers Action = "refuse_callers"
	// ActionHandOver transfers records to other nodes. The node calls
	// FinishHandOver when it is done.
	ActionHandOver Action = "hand_over"
	// ActionRefuseLocal closes the listeners for the target and operators and
	// refuses their idle connections. It is repeated like ActionRefuseCallers.
	ActionRefuseLocal Action = "refuse_local"
	// ActionEnd closes the remaining connections and ends the process.
	ActionEnd Action = "end"
)

const (
	// DefaultGrace is how long new connections of callers are accepted after
	// the start of the stop, as long as callers are connected.
	DefaultGrace = 3 * time.Second
	// LeavePropagation is the minimum duration of PhaseLeaving if no caller is
	// connected: the time for the notification to reach the other nodes. A
	// shorter grace period takes precedence.
	LeavePropagation = 500 * time.Millisecond
	// LinkLinger is how long links to other nodes stay open after the last
	// call, so that its end reaches the peer.
	LinkLinger = 200 * time.Millisecond
	// PeerCloseTimeout is how long a phase waits for peers to close connections
	// on which they have received everything.
	PeerCloseTimeout = 2 * time.Second
	// graceDivisor limits the grace period to the timeout divided by it.
	graceDivisor = 2
	// handOverDivisor limits the handover to the remaining time divided by it.
	handOverDivisor = 2
)

// InFlight counts the node's open connections and calls.
type InFlight struct {
	// CallerConnections counts connections of callers that carry a request,
	// that are idle, or whose last answer is not acknowledged yet.
	CallerConnections int
	// ClosingConnections counts connections of callers, the target and
	// operators whose peer has received everything but not closed yet.
	ClosingConnections int
	// TargetCalls counts calls running on this VM's target or queued for it.
	TargetCalls int
	// PeerCalls counts calls from other nodes whose answer is not fully
	// written.
	PeerCalls int
	// LocalConnections counts connections of the target and of operators,
	// without those in ClosingConnections.
	LocalConnections int
}

// CallerWork returns the number of connections and calls that an immediate end
// would cut off for callers. Connections of the target and of operators do not
// count.
func (f InFlight) CallerWork() int {
	return f.CallerConnections + f.TargetCalls + f.PeerCalls
}

// Result describes how a stop ended.
type Result struct {
	// Forced is true if the timeout passed while work or connections of the
	// target or of operators were in flight.
	Forced bool
	// Unfinished is what was in flight at the end.
	Unfinished InFlight
	// Phase is the last phase before PhaseStopped.
	Phase Phase
}

// Drain is the state of one stop. It is not safe for concurrent use.
type Drain struct {
	timeout    time.Duration
	grace      time.Duration
	phase      Phase
	phaseStart time.Time
	deadline   time.Time
	result     Result
}

// New returns a Drain in PhaseServing. timeout bounds the whole stop. grace
// bounds PhaseLeaving; if it is longer than half of the timeout, half of the timeout
// applies.
func New(timeout, grace time.Duration) *Drain {
	return &Drain{timeout: timeout, grace: min(grace, timeout/graceDivisor), phase: PhaseServing}
}

// Phase returns the current phase.
func (d *Drain) Phase() Phase {
	return d.phase
}

// Result returns how the stop ended. It is valid only in PhaseStopped.
func (d *Drain) Result() Result {
	return d.result
}

// Deadline returns the time at which the timeout passes, zero before Start.
func (d *Drain) Deadline() time.Time {
	return d.deadline
}

// HandOverDeadline returns the time by which a handover that begins at now
// must end, so that time remains for PhaseClosing.
func (d *Drain) HandOverDeadline(now time.Time) time.Time {
	return now.Add(d.deadline.Sub(now) / handOverDivisor)
}

// Start begins the stop. A second call does nothing: the node handles a second
// signal itself by ending the process at once.
func (d *Drain) Start(now time.Time) []Action {
	if d.phase != PhaseServing {
		return nil
	}
	d.deadline = now.Add(d.timeout)
	d.enter(now, PhaseLeaving)
	return []Action{ActionAnnounceLeaving}
}

// FinishHandOver ends PhaseHandingOver, whether or not every record was
// transferred.
func (d *Drain) FinishHandOver(now time.Time) []Action {
	if d.phase != PhaseHandingOver {
		return nil
	}
	d.enter(now, PhaseClosing)
	return []Action{ActionRefuseLocal}
}

// Observe reports what is in flight at now and returns the next actions. The
// node calls it repeatedly until PhaseStopped.
func (d *Drain) Observe(now time.Time, inFlight InFlight) []Action {
	if d.phase == PhaseServing || d.phase == PhaseStopped {
		return nil
	}
	if !now.Before(d.deadline) {
		return d.end(now, inFlight)
	}
	elapsed := now.Sub(d.phaseStart)
	switch d.phase {
	case PhaseLeaving:
		return d.observeLeaving(now, elapsed, inFlight)
	case PhaseFinishing:
		return d.observeFinishing(now, elapsed, inFlight)
	case PhaseClosing:
		return d.observeClosing(now, elapsed, inFlight)
	}
	return nil
}

func (d *Drain) observeLeaving(now time.Time, elapsed time.Duration, inFlight InFlight) []Action {
	noCallers := inFlight.CallerConnections == 0 && elapsed >= LeavePropagation
	if !noCallers && elapsed < d.grace {
		return nil
	}
	d.enter(now, PhaseFinishing)
	return []Action{ActionRefuseCallers}
}

func (d *Drain) observeFinishing(now time.Time, elapsed time.Duration, inFlight InFlight) []Action {
	if inFlight.CallerWork() > 0 || !peersClosed(elapsed, inFlight) {
		return []Action{ActionRefuseCallers}
	}
	d.enter(now, PhaseHandingOver)
	return []Action{ActionHandOver}
}

func (d *Drain) observeClosing(now time.Time, elapsed time.Duration, inFlight InFlight) []Action {
	idle := inFlight.CallerWork() == 0 && inFlight.LocalConnections == 0
	if idle && peersClosed(elapsed, inFlight) && elapsed >= LinkLinger {
		return d.end(now, inFlight)
	}
	return []Action{ActionRefuseLocal}
}

// peersClosed reports whether every peer that has received everything has
// closed its connection, or PeerCloseTimeout has passed.
func peersClosed(elapsed time.Duration, inFlight InFlight) bool {
	return inFlight.ClosingConnections == 0 || elapsed >= PeerCloseTimeout
}

func (d *Drain) enter(now time.Time, phase Phase) {
	d.phase = phase
	d.phaseStart = now
}

// end enters PhaseStopped and records the result.
func (d *Drain) end(now time.Time, inFlight InFlight) []Action {
	d.result = Result{
		Forced:     inFlight.CallerWork() > 0 || inFlight.LocalConnections > 0,
		Unfinished: inFlight,
		Phase:      d.phase,
	}
	d.enter(now, PhaseStopped)
	return []Action{ActionEnd}
}
