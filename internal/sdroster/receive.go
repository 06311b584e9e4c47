package sdroster

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/savorydeal/savorydeal"
	"github.com/savorydeal/savorydeal/internal/sddigest"
)

const (
	// maxBranchReplies and maxLeafReplies bound the replies to one message of a
	// comparison. Differences that remain are found by later comparisons, which
	// begin at a random index.
	maxBranchReplies = 4
	maxLeafReplies   = 8
	// maxLeafMembers bounds the members in one message, so that it fits a
	// datagram.
	maxLeafMembers = 12
	// deathSyncWindow is the time after a member died or left in which it is still
	// included in comparisons of views.
	deathSyncWindow = 20 * time.Second
)

// Receive handles a message from a peer address and returns the messages to
// send.
func (r *Roster) Receive(now time.Time, from string, message Message) []Packet {
	r.endIsolation(now)
	r.lastReceived = now
	if message.Self.Node != "" {
		r.mergeMember(now, message.Self)
	}
	r.Merge(now, message.Members)
	if message.ReceiverEntry.Node == r.self.Node {
		r.mergeSelf(message.ReceiverEntry)
	}
	switch message.Kind {
	case KindPing:
		return []Packet{r.ack(from, message)}
	case KindAck:
		return r.receiveAck(message)
	case KindIndirectPing:
		return r.relayPing(now, from, message)
	case KindLeaseRequest:
		return []Packet{r.answerLeaseRequest(now, from, message)}
	case KindLeaseUnchanged, KindLeaseUpdate:
		r.leases.renew(message.Sequence)
	case KindBranchDigests:
		return r.receiveBranchDigests(from, message)
	case KindLeafDigests:
		return r.receiveLeafDigests(now, from, message)
	case KindLeafMembers:
		return r.receiveLeafMembers(now, from, message)
	}
	return nil
}

// ack answers a ping. The ping carried its sender's entry, which is merged by
// now, even if the sender was unknown or held as dead.
func (r *Roster) ack(to string, message Message) Packet {
	ack := Message{Kind: KindAck, Sequence: message.Sequence, Self: r.self, Members: r.piggyback()}
	if e := r.entries[message.Self.Node]; e != nil {
		ack.ReceiverEntry = receiverEntry(e.member)
	}
	return Packet{To: to, Message: ack}
}

// receiveAck ends the probe that the acknowledgement answers, or forwards it
// to the requester of an indirect ping.
func (r *Roster) receiveAck(message Message) []Packet {
	if relay, ok := r.relays[message.Sequence]; ok {
		delete(r.relays, message.Sequence)
		forwarded := message
		forwarded.Sequence = relay.sequence
		forwarded.Members = nil
		forwarded.ReceiverEntry = savorydeal.Member{}
		return []Packet{{To: relay.requester, Message: forwarded}}
	}
	if probe := r.probes[message.Sequence]; probe != nil && probe.node == message.Self.Node {
		delete(r.probes, message.Sequence)
		r.adjustHealth(-1)
	}
	return nil
}

// relayPing pings a member on behalf of another node, under a sequence of this
// node's own.
func (r *Roster) relayPing(now time.Time, from string, message Message) []Packet {
	r.sequence++
	r.relays[r.sequence] = relay{requester: from, sequence: message.Sequence, startedAt: now}
	member := savorydeal.Member{PeerAddress: message.PingAddress}
	if e := r.entries[savorydeal.NodeID(message.PingAddress)]; e != nil {
		member = e.member
	}
	return []Packet{r.ping(member, r.sequence)}
}

// startSync starts a comparison of views with a random member (anti-entropy).
func (r *Roster) startSync() []Packet {
	var packets []Packet
	for _, node := range r.randomNodes(1, "") {
		packets = append(packets, Packet{To: r.entries[node].member.PeerAddress, Message: Message{
			Kind: KindBranchDigests, Self: r.self, Digests: r.tree.BranchDigests(),
		}})
	}
	return packets
}

func (r *Roster) receiveBranchDigests(from string, message Message) []Packet {
	var packets []Packet
	for _, branch := range r.sample(r.tree.DifferingBranches(message.Digests), maxBranchReplies) {
		packets = append(packets, Packet{To: from, Message: Message{
			Kind: KindLeafDigests, Self: r.self, Index: branch, Digests: r.tree.LeafDigests(branch),
		}})
	}
	return packets
}

func (r *Roster) receiveLeafDigests(now time.Time, from string, message Message) []Packet {
	var packets []Packet
	leaves := r.sample(r.tree.DifferingLeaves(message.Index, message.Digests), maxLeafReplies)
	for leaf, members := range r.membersByLeaf(now, leaves) {
		packets = append(packets, Packet{To: from, Message: Message{
			Kind: KindLeafMembers, Self: r.self, Index: leaf, Members: members,
		}})
	}
	slices.SortFunc(packets, func(a, b Packet) int { return a.Message.Index - b.Message.Index })
	return packets
}

// receiveLeafMembers sends back the members of the leaf that the other side
// lacks or holds in an older version. The members of the message have already
// been merged.
func (r *Roster) receiveLeafMembers(now time.Time, from string, message Message) []Packet {
	remote := make(map[savorydeal.NodeID]savorydeal.Member, len(message.Members))
	for _, member := range message.Members {
		remote[member.Node] = member
	}
	var missing []savorydeal.Member
	for _, member := range r.membersByLeaf(now, []int{message.Index})[message.Index] {
		if other, ok := remote[member.Node]; !ok && isLive(member.State) || ok && supersedes(member, other) {
			missing = append(missing, member)
		}
	}
	if len(missing) == 0 {
		return nil
	}
	return []Packet{{To: from, Message: Message{Kind: KindGossip, Self: r.self, Members: missing}}}
}

// membersByLeaf returns the members in each of the leaves, at most
// maxLeafMembers of each. Members that died or left longer than
// deathSyncWindow ago are omitted: after a network partition each side holds
// the other as dead, and only a member itself can refute its death. Each side
// pings its dead members for that (healPartition).
func (r *Roster) membersByLeaf(now time.Time, leaves []int) map[int][]savorydeal.Member {
	byLeaf := make(map[int][]savorydeal.Member, len(leaves))
	for _, leaf := range leaves {
		byLeaf[leaf] = nil
	}
	for _, node := range r.order {
		e := r.entries[node]
		if !isLive(e.member.State) && now.Sub(e.stateChangedAt) > deathSyncWindow {
			continue
		}
		leaf := sddigest.LeafOf(string(node))
		if members, ok := byLeaf[leaf]; ok && len(members) < maxLeafMembers {
			byLeaf[leaf] = append(members, e.member)
		}
	}
	return byLeaf
}

// sample returns up to count of the indexes: consecutive ones from a random
// start, wrapping around at the end.
func (r *Roster) sample(indexes []int, count int) []int {
	if len(indexes) <= count {
		return indexes
	}
	start := r.random.IntN(len(indexes))
	return append(slices.Clone(indexes[start:]), indexes[:start]...)[:count]
}

// memberDigest covers the version of an entry but not its state: a suspicion
// of the same version is temporary.
func memberDigest(member savorydeal.Member) uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(string(member.Node))
	var bits [16]byte
	putUint64(bits[:8], member.Generation)
	putUint64(bits[8:], member.Incarnation)
	_, _ = digest.Write(bits[:])
	return digest.Sum64()
}

// putUint64 writes the value in little-endian order.
func putUint64(buf []byte, value uint64) {
	for i := range buf {
		buf[i] = byte(value >> (8 * i))
	}
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}
