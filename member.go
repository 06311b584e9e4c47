package savorydeal

import "time"

// NodeID identifies a node by its peer address, as written in the settings.
type NodeID string

// MemberState is the state of a node in the membership.
type MemberState string

// States of a member.
const (
	MemberAlive   MemberState = "alive"
	MemberSuspect MemberState = "suspect"
	MemberDead    MemberState = "dead"
	MemberLeft    MemberState = "left"
)

// TargetState is the state of a target as its node knows it.
type TargetState string

const (
	// TargetAbsent means that no target has announced itself to the node.
	TargetAbsent TargetState = "absent"
	// TargetReady means that the target accepts calls.
	TargetReady TargetState = "ready"
	// TargetLeaving means that the target finishes its running calls and
	// accepts no new ones.
	TargetLeaving TargetState = "leaving"
	// TargetSilent means that the target's last announcement has expired.
	TargetSilent TargetState = "silent"
)

// Member is a node of the membership, with the state of its target.
type Member struct {
	Node NodeID
	// Incarnation is chosen at each start of the node and grows when the node
	// refutes a suspicion. See sdroster.
	Incarnation uint64
	// Generation is the start time of the process in nanoseconds. A replaced VM
	// with the same address has a later one.
	Generation  uint64
	DataCentre  string
	Region      string
	PeerAddress string
	State       MemberState
	Service     string
	TargetState TargetState
	// ReadySince is when the target became ready, on this node's clock: the
	// age in the member's update is subtracted from its time of arrival.
	// Placement uses it to ramp up calls to new targets.
	ReadySince time.Time
	// TargetStart identifies the start of the target, on platforms that identify
	// targets.
	TargetStart TargetStart
	// TargetDeparted is true if that start is leaving by its own word; a node that stops
	// advertises its target as leaving too.
	TargetDeparted bool
	// Slots is the maximum number of calls that the target runs at once.
	Slots int
}

// Live reports whether the node is alive or suspect.
func (m Member) Live() bool {
	return m.State == MemberAlive || m.State == MemberSuspect
}

// Routable reports whether new calls may be sent to the member's target.
func (m Member) Routable() bool {
	return m.State == MemberAlive && m.TargetState == TargetReady
}

// Announcement is the message by which a target registers with the node on its
// VM and renews its lease.
type Announcement struct {
	Service string
	Address string
	// Slots is the maximum number of calls that the target runs at once.
	Slots int
	// Connections is the maximum number of connections that the target accepts.
	Connections int
	State       TargetState
	// Running and Queued are the numbers of calls that the target reports as
	// running and as queued.
	Running int
	Queued  int
}
