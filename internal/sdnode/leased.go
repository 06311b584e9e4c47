package sdnode

import (
	"sync"
	"time"

	"github.com/savorydeal/savorydeal"
	"github.com/savorydeal/savorydeal/internal/sdroster"
)

const (
	// maxLeaseChoices bounds the targets that are chosen in a row. Another one is
	// chosen if the lease of the chosen one has expired since placement's view was
	// published.
	maxLeaseChoices = 4
	// firstLeaseWait bounds how long the first calls of a service wait for its
	// first lease, which takes one round trip to a target's node.
	firstLeaseWait = 300 * time.Millisecond
	firstLeasePoll = time.Millisecond
)

// usage records which services were called and which nodes answered since the
// control goroutine last read it, usually at its last tick.
type usage struct {
	// services holds the names of the services that were called, as keys.
	services sync.Map
	// answered holds, by node, when the last call that it answered was sent.
	answered sync.Map
}

// leasedPlacement never chooses a target whose lease has expired. The embedded
// placement's view is as old as the last tick of the control goroutine, and a
// process that was paused would still use it.
type leasedPlacement struct {
	savorydeal.Placement
	clock  savorydeal.Clock
	usage  *usage
	leases func() *sdroster.Leases
	// wake makes the control goroutine read the usage before its next tick. It
	// does not block.
	wake func()
}

// Choose returns a member with an unexpired lease. The first calls of a service
// wait up to firstLeaseWait for a lease: until then this node knows the service's
// targets only from gossip, and would have to refuse the call for lack of a target.
func (p leasedPlacement) Choose(now time.Time, request savorydeal.PlacementRequest) (savorydeal.Member, bool) {
	if _, recorded := p.usage.services.Load(request.Service); !recorded {
		p.usage.services.Store(request.Service, struct{}{})
	}
	if p.leases().HasService(request.Service) {
		return p.choose(now, request)
	}
	p.wake()
	started := now
	for {
		if member, ok := p.choose(now, request); ok {
			return member, true
		}
		if now.Sub(started) >= firstLeaseWait {
			return savorydeal.Member{}, false
		}
		<-p.clock.After(firstLeasePoll)
		now = p.clock.Now()
	}
}

func (p leasedPlacement) choose(now time.Time, request savorydeal.PlacementRequest) (savorydeal.Member, bool) {
	leases := p.leases()
	for range maxLeaseChoices {
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

// Observe records the end of a call. An answer shows that the target was ready when
// the call was sent, which renews the lease without a lease request.
func (p leasedPlacement) Observe(now time.Time, observation savorydeal.PlacementObservation) {
	if observation.Outcome == savorydeal.OutcomeAnswered {
		p.usage.answered.Store(observation.Node, now.Add(-observation.Latency))
	}
	p.Placement.Observe(now, observation)
}

// wakeControl makes the control goroutine read the usage before its next tick. It
// does nothing if the event backlog is full.
func (n *Node) wakeControl() {
	event := func(c *control) {
		n.recordUsage(n.clock.Now(), c)
		n.publishMembers(c)
	}
	select {
	case n.events <- event:
	default:
	}
}

func (n *Node) leasedPlacement() savorydeal.Placement {
	return leasedPlacement{
		Placement: n.placement,
		clock:     n.clock,
		usage:     &n.cluster.usage,
		leases:    n.cluster.leases.Load,
		wake:      n.wakeControl,
	}
}
