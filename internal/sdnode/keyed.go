package sdnode

import (
	"context"
	"time"

	"github.com/savorydeal/savorydeal"
	"github.com/savorydeal/savorydeal/internal/sdforward"
	"github.com/savorydeal/savorydeal/internal/sdkeyed"
	"github.com/savorydeal/savorydeal/internal/sdkeys"
	"github.com/savorydeal/savorydeal/internal/sdlink"
	"github.com/savorydeal/savorydeal/internal/sdmemory"
)

// keyRenewInterval is how often this node checks for key leases to renew.
const keyRenewInterval = 15 * time.Second

// wireKeyed builds the path of keyed calls. Run sets the platform.
func (n *Node) wireKeyed(unkeyed savorydeal.Forwarder, attempts *sdforward.Attempts) {
	self := sdkeys.Incarnation{Node: n.self, Generation: n.generation}
	n.owner = sdkeyed.NewOwner(n.clock, self, sdkeys.NewRecords(), unkeyed)
	n.owner.LimitAnswers(sdmemory.Within(n.requestMemory, answerBudgetBytes))
	n.keyPartitions = &sdkeyed.Partitions{
		Owner:   n.owner,
		Address: n.settings.PeerAddress,
		Members: n.Members,
		OwnerAt: n.forwarderByAddress(sdkeyed.KindOwnerCall),
		Bodies:  n.bodies,
	}
	n.router = &sdkeyed.Router{
		Self:             n.self,
		Members:          n.Members,
		Owner:            n.owner,
		Partitions:       n.keyPartitions,
		Unkeyed:          unkeyed,
		PartitionsAt:     n.forwarderByAddress(sdlink.KindKeyed),
		OwnerAt:          n.forwarderByAddress(sdkeyed.KindOwnerCall),
		OnUnknownOutcome: func(savorydeal.Call, savorydeal.Refusal) {},
	}
	partitionCalls := &sdforward.Server{Forwarder: n.keyPartitions, Clock: n.clock, Attempts: attempts, Memory: n.peerCalls, Log: n.log.Named("keyed")}
	ownerCalls := &sdforward.Server{Forwarder: n.owner, Clock: n.clock, Attempts: attempts, Memory: n.peerCalls, Log: n.log.Named("held")}
	n.links.Handle(sdlink.KindKeyed, n.stop.countPeerCalls(partitionCalls.Serve))
	n.links.Handle(sdkeyed.KindOwnerCall, n.stop.countPeerCalls(ownerCalls.Serve))
	n.links.Handle(kindHandover, n.serveHandover)
}

func (n *Node) forwarderByAddress(kind sdlink.Kind) func(address string) savorydeal.Forwarder {
	return func(address string) savorydeal.Forwarder {
		return &sdforward.Client{Links: n.links, Address: address, Kind: kind, NewAttemptID: n.ids.next}
	}
}

// setKeyPlatform sets the platform of keyed calls. It is called before the node
// serves.
func (n *Node) setKeyPlatform(platform savorydeal.Platform) {
	n.keyPartitions.Platform = platform
	n.router.Platform = platform
}

// runRenewals renews this node's key leases until ctx ends.
func (n *Node) runRenewals(ctx context.Context) error {
	for {
		select {
		case <-n.clock.After(keyRenewInterval):
		case <-ctx.Done():
			return nil
		}
		if err := n.keyPartitions.Renew(ctx); err != nil && ctx.Err() == nil {
			n.log.Warn("key leases not renewed", "error", err)
		}
	}
}
