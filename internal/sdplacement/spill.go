package sdplacement

import (
	"slices"
	"strings"
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

// spill returns a neighbour's target for a call that the own data centre has
// no room for, if the neighbour is known to have room.
func (c *Chooser) spill(now time.Time, chosen savorydeal.Member, remote []savorydeal.Member) (savorydeal.Member, bool) {
	if c.options.NoSpill || len(remote) == 0 || c.score(now, chosen) < fullScore {
		return savorydeal.Member{}, false
	}
	other := c.better(now, remote)
	state := c.state(other.Node)
	if state.signal.Limit == 0 || now.Sub(state.signalAt) > freshSignal {
		return other, c.random.Float64() < blindSpill
	}
	room := state.signal.DropLevel == 0 && state.signal.Queued == 0 && c.score(now, other) <= roomScore
	return other, room
}

// subset keeps the members with the highest hashes for this node: the same
// ones as long as they are there, and different ones for each node.
func subset(self savorydeal.NodeID, members []savorydeal.Member) []savorydeal.Member {
	if len(members) <= subsetSize {
		return members
	}
	score := func(member savorydeal.Member) uint64 {
		return xxhash.Sum64String(string(self) + "\x00" + string(member.Node))
	}
	slices.SortFunc(members, func(a, b savorydeal.Member) int {
		sa, sb := score(a), score(b)
		switch {
		case sa > sb:
			return -1
		case sa < sb:
			return 1
		}
		return strings.Compare(string(a.Node), string(b.Node))
	})
	return members[:subsetSize]
}
