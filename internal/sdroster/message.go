package sdroster

import "github.com/savorydeal/savorydeal"

// Kind is the purpose of a message.
type Kind string

const (
	// KindPing requests an acknowledgement (KindAck).
	KindPing Kind = "ping"
	// KindAck answers a ping and has its sequence.
	KindAck Kind = "ack"
	// KindIndirectPing requests that the receiver ping PingAddress and forward the
	// acknowledgement.
	KindIndirectPing Kind = "ping_for"
	// KindGossip carries entries only and is not answered.
	KindGossip Kind = "gossip"
	// KindLeaseRequest requests a lease from a target's node. ReceiverEntry is the
	// version of that node's entry which the sender holds.
	KindLeaseRequest Kind = "ask"
	// KindLeaseUnchanged answers a lease request: the requester's version of the
	// entry is current.
	KindLeaseUnchanged Kind = "same"
	// KindLeaseUpdate answers a lease request with a newer version of the entry in
	// Self.
	KindLeaseUpdate Kind = "word"
	// KindBranchDigests starts a comparison of two views (anti-entropy). It
	// carries the digests of all branches of the sender's digest tree.
	KindBranchDigests Kind = "branches"
	// KindLeafDigests answers KindBranchDigests, once per differing branch, with
	// the digests of the leaves below branch Index.
	KindLeafDigests Kind = "branch"
	// KindLeafMembers answers KindLeafDigests, once per differing leaf, with the
	// members that the sender holds in leaf Index.
	KindLeafMembers Kind = "leaf"
)

// Message is one datagram of the membership protocol.
type Message struct {
	Kind Kind
	// Sequence matches an answer to its ping, indirect ping or lease request; 0 in
	// other kinds.
	Sequence uint64
	// Self is the sender's own entry. It is empty in KindLeaseRequest and
	// KindLeaseUnchanged.
	Self savorydeal.Member
	// ReceiverEntry is the sender's entry for the receiver. It lets the receiver
	// refute a suspicion at once. Only node, generation, incarnation and state
	// are set.
	ReceiverEntry savorydeal.Member
	// PingAddress is the peer address to ping. Only KindIndirectPing sets it.
	PingAddress string
	// Members are entries, which may include the sender's own: recent changes in
	// pings, acknowledgements and gossip, and the content of one leaf in
	// KindLeafMembers. A KindGossip that replies to KindLeafMembers carries the
	// entries that the receiver lacks or holds in an older version.
	Members []savorydeal.Member
	// Index is the branch in KindLeafDigests and the leaf in KindLeafMembers.
	Index int
	// Digests are those of all branches in KindBranchDigests, and of the leaves
	// below a branch in KindLeafDigests.
	Digests []uint64
}

// Packet is a message to the peer address To.
type Packet struct {
	To      string
	Message Message
}
