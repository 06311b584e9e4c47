package sdplacement

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/savorydeal/savorydeal"
)

const (
	// saturatedOccupancy is the occupancy from which a target in the node's own
	// data centre counts as saturated; maxSpillOccupancy is the highest
	// occupancy at which a target in another data centre accepts spillover. The
	// gap between them stays reserved for the other data centre's own calls.
	saturatedOccupancy = 2.0
	maxSpillOccupancy  = 0.75
	// maxSpillSignalAge is the maximum age of a load signal that lets a target
	// in another data centre receive spillover.
	maxSpillSignalAge = time.Second
	// spillProbeShare is the share of overflowing calls that are sent to a
	// target in another data centre without a recent load signal. Their answers
	// carry a load signal, which decides whether further calls may follow.
	spillProbeShare = 0.05
	// maxSubsetSize bounds the targets of one service that a node uses in its
	// own data centre, and again in all others together, so that 35,000 nodes
	// do not all hold connections to each other.
	maxSubsetSize = 24
)

// isSaturated reports whether a target in the node's own data centre is so
// loaded that a call may spill over to another data centre.
func (c *Chooser) isSaturated(now time.Time, member *savorydeal.Member) bool {
	return !c.options.NoSpill && c.occupancy(now, member) >= saturatedOccupancy
}

// spillTarget returns a target in another data centre for a call that overflows
// the node's own. It returns nil unless a recent load signal shows spare
// capacity there; a few calls are sent without one, as probes.
func (c *Chooser) spillTarget(now time.Time, p *pool, request savorydeal.PlacementRequest) *savorydeal.Member {
	c.usableRemote = c.appendUsable(c.usableRemote[:0], now, p, p.remote, request.Tried)
	if len(c.usableRemote) == 0 {
		return nil
	}
	candidate := c.lessLoaded(now, c.usableRemote)
	state := c.stateOf(candidate.Node)
	if state.signal.Limit == 0 || now.Sub(state.signalReceivedAt) > maxSpillSignalAge {
		if c.random.Float64() < spillProbeShare {
			return candidate
		}
		return nil
	}
	if state.signal.DropLevel > 0 || state.signal.Queued > 0 || c.occupancy(now, candidate) > maxSpillOccupancy {
		return nil
	}
	return candidate
}

// rendezvousSubset returns at most maxSubsetSize members, chosen by rendezvous
// hashing: those with the highest hashes for this node. They stay the same
// while they are in the view, and each node gets different ones.
func rendezvousSubset(self savorydeal.NodeID, members []*savorydeal.Member) []*savorydeal.Member {
	if len(members) <= maxSubsetSize {
		return members
	}
	hashes := make(map[savorydeal.NodeID]uint64, len(members))
	for _, member := range members {
		hashes[member.Node] = xxhash.Sum64String(string(self) + "\x00" + string(member.Node))
	}
	slices.SortFunc(members, func(a, b *savorydeal.Member) int {
		if order := cmp.Compare(hashes[b.Node], hashes[a.Node]); order != 0 {
			return order
		}
		return cmp.Compare(a.Node, b.Node)
	})
	return members[:maxSubsetSize]
}
