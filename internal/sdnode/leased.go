package sdnode

import (
	"sync"
	"time"

	"github.com/savorydeal/savorydeal"
	"github.com/savorydeal/savorydeal/internal/sdroster"
)

// leasedTries bounds how often another target is chosen when a lease has
// lapsed since the placement's view was made.
const leasedTries = 4

// use notes what traffic does, for control to take at its next tick. Traffic
// never waits for control.
type use struct {
	// services that were called, as keys.
	services sync.Map
	// answered holds when the last answered call was sent, by node.
	answered sync.Map
}

// leasedPlacement lets no call go to a target whose lease has lapsed. The
// placement's own view is as old as control's last tick; a process that was
// paused would go on with it.
type leasedPlacement struct {
	savorydeal.Placement
	use    *use
	leases func() *sdroster.Leases
}

// Choose picks a member whose lease holds now.
func (p leasedPlacement) Choose(now time.Time, request savorydeal.PlacementRequest) (savorydeal.Member, bool) {
	if _, noted := p.use.services.Load(request.Service); !noted {
		p.use.services.Store(request.Service, struct{}{})
	}
	leases := p.leases()
	for range leasedTries {
		member, ok := p.Placement.Choose(now, request)
		if !ok {
			return savorydeal.Member{}, false
		}
		if leases.Routable(now, member) {
			return member, true
		}
		p.Placement.Observe(now, savorydeal.PlacementObservation{
			Node: member.Node, Service: request.Service, Outcome: savorydeal.OutcomeNotRun, Reason: savorydeal.ReasonNoTarget,
		})
		request.Tried = append(request.Tried[:len(request.Tried):len(request.Tried)], member.Node)
	}
	return savorydeal.Member{}, false
}

// Observe ends a call. An answer shows that the target was ready when the call
// was sent, so that a busy sender needs no ask.
func (p leasedPlacement) Observe(now time.Time, observation savorydeal.PlacementObservation) {
	if observation.Outcome == savorydeal.OutcomeAnswered {
		p.use.answered.Store(observation.Node, now.Add(-observation.Latency))
	}
	p.Placement.Observe(now, observation)
}
