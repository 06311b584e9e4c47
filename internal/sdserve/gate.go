package sdserve

import (
	"sync/atomic"
	"time"

	"github.com/savorydeal/savorydeal"
)

// GateState is what decides whether this VM's target takes new calls. Control
// publishes it, traffic reads it.
type GateState struct {
	Target  savorydeal.TargetState
	Service string
	// Address is where the target serves HTTP/1.1.
	Address string
	// Expires is when the announcement lapses unless it is repeated.
	Expires time.Time
	// Stopping is true once this node has begun to stop.
	Stopping bool
}

// Gate admits new calls while the target is ready. It is safe for concurrent
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

// Set replaces the state.
func (g *Gate) Set(state GateState) {
	g.state.Store(&state)
}

// Check returns the state, or the refusal of a call to the service.
func (g *Gate) Check(now time.Time, service string) (GateState, *savorydeal.Refusal) {
	state := *g.state.Load()
	switch {
	case state.Stopping:
		return state, notRun(savorydeal.ReasonStopping, "the node of the target is stopping")
	case state.Target == savorydeal.TargetLeaving:
		return state, notRun(savorydeal.ReasonTargetLeaving, "the target is leaving")
	case state.Target != savorydeal.TargetReady || !now.Before(state.Expires):
		return state, notRun(savorydeal.ReasonNoTarget, "no target is announced on this VM")
	case state.Service != service:
		return state, notRun(savorydeal.ReasonWrongNode, "the target on this VM serves "+state.Service)
	}
	return state, nil
}

func notRun(reason savorydeal.Reason, detail string) *savorydeal.Refusal {
	return &savorydeal.Refusal{Outcome: savorydeal.OutcomeNotRun, Reason: reason, Detail: detail}
}
