package sddeparture

import (
	"maps"
	"slices"
	"time"

	"github.com/savorydeal/savorydeal"
)

// Table holds the departures of the targets of other VMs that a node has learnt of. It is
// not safe for concurrent use.
type Table struct {
	sets map[savorydeal.NodeID]*Set
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{sets: make(map[savorydeal.NodeID]*Set)}
}

// Add adds a departure of the target beside a node and reports whether it is new.
func (t *Table) Add(node savorydeal.NodeID, departure savorydeal.Departure) bool {
	set := t.sets[node]
	if set == nil {
		set = &Set{}
	}
	if !set.Add(departure) {
		return false
	}
	t.sets[node] = set
	return true
}

// Of returns the departures of the targets beside a node.
func (t *Table) Of(node savorydeal.NodeID) []savorydeal.Departure {
	if set := t.sets[node]; set != nil {
		return set.All()
	}
	return nil
}

// Nodes returns the nodes of the VMs whose departures the table holds, in order.
func (t *Table) Nodes() []savorydeal.NodeID {
	return slices.Sorted(maps.Keys(t.sets))
}

// Binds reports whether a start of the target beside a node is leaving.
func (t *Table) Binds(node savorydeal.NodeID, start savorydeal.TargetStart) bool {
	set := t.sets[node]
	return set != nil && set.Binds(start)
}

// Expire removes the departures that are older than TTL, and those of nodes that are not
// members.
func (t *Table) Expire(now time.Time, members []savorydeal.Member) {
	isMember := make(map[savorydeal.NodeID]bool, len(members))
	for _, member := range members {
		isMember[member.Node] = true
	}
	for node, set := range t.sets {
		set.Expire(now)
		if len(set.departures) == 0 || !isMember[node] {
			delete(t.sets, node)
		}
	}
}
