package savorydeal

import "time"

// NodeID names a node: its peer address as it was set.
type NodeID string

// MemberState is what is known of a node.
type MemberState string

// States of a member.
const (
	MemberAlive   MemberState = "alive"
	MemberSuspect MemberState = "suspect"
	MemberDead    MemberState = "dead"
	MemberLeft    MemberState = "left"
)

// TargetState is what a target's node knows of its target.
type TargetState string

const (
	// TargetAbsent means that no target has announced itself.
	TargetAbsent TargetState = "absent"
	// TargetReady means that the target takes calls.
	TargetReady TargetState = "ready"
	// TargetLeaving means that the target finishes what it has and takes no
	// new call.
	TargetLeaving TargetState = "leaving"
	// TargetSilent means that the announcement has expired.
	TargetSilent TargetState = "silent"
)

// Member is one node as others see it.
type Member struct {
	Node NodeID
	// Incarnation is drawn at each start of the node and grows when the node
	// refutes a suspicion. See sdroster.
	Incarnation uint64
	// Generation is the start time of the process in nanoseconds; a reborn VM
	// with the same address has a later one.
	Generation  uint64
	DataCentre  string
	Region      string
	PeerAddress string
	State       MemberState
	Service     string
	TargetState TargetState
	// ReadySince is how long ago the target became ready, as of the word's
	// arrival; placement ramps cold targets with it.
	ReadySince time.Time
	Slots      int
}

// Routable reports whether new calls may be sent to the member's target.
func (m Member) Routable() bool {
	return m.State == MemberAlive && m.TargetState == TargetReady
}

// Announcement is a target's word to the node on its VM.
type Announcement struct {
	Service     string
	Address     string
	Slots       int
	Connections int
	State       TargetState
	Running     int
	Queued      int
}
