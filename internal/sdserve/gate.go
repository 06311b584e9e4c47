package sdserve

import (
	"sync/atomic"
	"time"

	"github.com/savorydeal/savorydeal"
)

// GateState determines whether this VM's target accepts new calls. The control
// goroutine sets it, request goroutines read it.
type GateState struct {
	Target  savorydeal.TargetState
	Service string
	// Address is the host and port at which the target serves HTTP/1.1.
	Address string
	// ExpiresAt is when the target's announcement expires unless it is
	// repeated.
	ExpiresAt time.Time
	// Stopping is true once this node has begun to stop.
	Stopping bool
}

// Gate accepts new calls while the target is ready. It is safe for concurrent
// use.
type Gate struct {
	state atomic.Pointer[GateState]
}

// NewGate returns a gate for a VM without a target.
func NewGate() *Gate {
	gate := &Gate{}
	gate.Set(GateState{Target: savorydeal.TargetAbsent})
	return gate
}

// Set replaces the state that Check and CheckQueued use.
func (g *Gate) Set(state GateState) {
	g.state.Store(&state)
}

// Check returns the state and, if a new call to the service must not run here,
// its refusal.
func (g *Gate) Check(now time.Time, service string) (GateState, *savorydeal.Refusal) {
	state := *g.state.Load()
	return state, state.check(now, service)
}

func (s GateState) check(now time.Time, service string) *savorydeal.Refusal {
	switch {
	case s.Stopping:
		return notRun(savorydeal.ReasonStopping, "the node of the target is stopping")
	case s.Target == savorydeal.TargetLeaving:
		return notRun(savorydeal.ReasonTargetLeaving, "the target is leaving")
	case s.Target != savorydeal.TargetReady || !now.Before(s.ExpiresAt):
		return notRun(savorydeal.ReasonNoTarget, "no target is announced on this VM")
	case s.Service != service:
		return notRun(savorydeal.ReasonWrongNode, "the target on this VM serves "+s.Service)
	}
	return nil
}

// CheckQueued is Check for a call that Check accepted earlier and that has
// waited in the queue since. A stopping node finishes its queue. A leaving
// target gets no more calls: it may exit once no call runs on it.
func (g *Gate) CheckQueued(now time.Time, service string) (GateState, *savorydeal.Refusal) {
	state := *g.state.Load()
	state.Stopping = false
	return state, state.check(now, service)
}

func notRun(reason savorydeal.Reason, detail string) *savorydeal.Refusal {
	return &savorydeal.Refusal{Outcome: savorydeal.OutcomeNotRun, Reason: reason, Detail: detail}
}
