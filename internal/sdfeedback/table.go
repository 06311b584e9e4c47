package sdfeedback

import (
	"time"

	"github.com/savorydeal/savorydeal"
)

// Table is what a node knows of the targets of other nodes. It holds only targets that
// have stated something. It is not safe for concurrent use.
type Table struct {
	records map[savorydeal.NodeID]*Record
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{records: make(map[savorydeal.NodeID]*Record)}
}

// Observe handles what the node of a target reports with a reply. A report without
// feedback has the zero Start: nothing holds of the present target.
func (t *Table) Observe(node savorydeal.NodeID, answer Answer) {
	record := t.records[node]
	if record == nil {
		if answer.Start.Identity == "" {
			return
		}
		record = &Record{}
		t.records[node] = record
	}
	switch {
	case answer.Start.Identity == "":
		answer.Start = record.start
	case answer.Start.Started == 0 || answer.Start.Started >= record.start.Started:
		record.SetStart(answer.Start)
	}
	record.Observe(answer)
	if record.InForce() == (savorydeal.Feedback{}) {
		delete(t.records, node)
	}
}

// Known is what a node knows of the target of another node.
type Known struct {
	Start    savorydeal.TargetStart
	Feedback savorydeal.Feedback
	// LimitAt is when the limit was last stated; it has no meaning if there is none.
	LimitAt time.Time
}

// Lookup returns what is known of the node's target. It reports false if the target has
// stated nothing that holds.
func (t *Table) Lookup(node savorydeal.NodeID) (Known, bool) {
	record := t.records[node]
	if record == nil {
		return Known{}, false
	}
	return Known{Start: record.start, Feedback: record.InForce(), LimitAt: record.limitAt}, true
}

// All returns what is known of all targets that have stated something that holds.
func (t *Table) All() map[savorydeal.NodeID]Known {
	all := make(map[savorydeal.NodeID]Known, len(t.records))
	for node := range t.records {
		all[node], _ = t.Lookup(node)
	}
	return all
}

// Retain removes the targets of nodes that are not members.
func (t *Table) Retain(members []savorydeal.Member) {
	isMember := make(map[savorydeal.NodeID]bool, len(members))
	for _, member := range members {
		isMember[member.Node] = true
	}
	for node := range t.records {
		if !isMember[node] {
			delete(t.records, node)
		}
	}
}
