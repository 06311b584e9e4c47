package sdplacement

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/savorydeal/savorydeal"
)

const (
	// fullScore is the occupancy from which a target of the own data centre
	// counts as full; roomScore that up to which a neighbour counts as having
	// room. What lies between is the neighbour's own reserve.
	fullScore = 2.0
	roomScore = 0.75
	// freshSignal is how old a neighbour's word may be for it to be trusted
	// with more.
	freshSignal = time.Second
	// blindSpill is the part of overflowing calls that asks a neighbour of
	// which nothing fresh is known: it brings the word for the others.
	blindSpill = 0.05
	// subsetSize bounds the targets of one service that a node uses in its
	// own data centre, and again in all others, so that 35,000 nodes do not
	// hold connections each to each.
	subsetSize = 24
)

// full reports whether a target of the own data centre counts as full.
func (c *Chooser) full(now time.Time, member *savorydeal.Member) bool {
	return !c.options.NoSpill && c.score(now, member) >= fullScore
}

// neighbour returns a target of another data centre for a call that the own
// has no room for, if that target is known to have room; else nil.
func (c *Chooser) neighbour(now time.Time, p *pool, request savorydeal.PlacementRequest) *savorydeal.Member {
	c.remote = c.usable(c.remote[:0], now, p, p.remote, request.Tried)
	if len(c.remote) == 0 {
		return nil
	}
	other := c.better(now, c.remote)
	state := c.state(other.Node)
	if state.signal.Limit == 0 || now.Sub(state.signalAt) > freshSignal {
		if c.random.Float64() < blindSpill {
			return other
		}
		return nil
	}
	if state.signal.DropLevel > 0 || state.signal.Queued > 0 || c.score(now, other) > roomScore {
		return nil
	}
	return other
}

// subset keeps the members with the highest hashes for this node: the same
// ones as long as they are there, and different ones for each node.
func subset(self savorydeal.NodeID, members []*savorydeal.Member) []*savorydeal.Member {
	if len(members) <= subsetSize {
		return members
	}
	scores := make(map[savorydeal.NodeID]uint64, len(members))
	for _, member := range members {
		scores[member.Node] = xxhash.Sum64String(string(self) + "\x00" + string(member.Node))
	}
	slices.SortFunc(members, func(a, b *savorydeal.Member) int {
		if order := cmp.Compare(scores[b.Node], scores[a.Node]); order != 0 {
			return order
		}
		return cmp.Compare(a.Node, b.Node)
	})
	return members[:subsetSize]
}
