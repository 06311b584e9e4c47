package sdconfig

import (
	"slices"
	"time"

	"github.com/savorydeal/savorydeal"
	"github.com/savorydeal/savorydeal/internal/sddigest"
)

const (
	// announceFanOut is the number of nodes that one announcement is sent to,
	// announceRounds the number of times that a node announces a change.
	announceFanOut = 4
	announceRounds = 2
	// requestInterval is the time between two requests for one object,
	// maxRequestAttempts the number of requests before the object is given up.
	requestInterval    = 300 * time.Millisecond
	maxRequestAttempts = 6
	// minComparisonInterval is the minimum time between two comparisons that
	// this node starts. settleTime is the time after a change in which
	// differing digests start none, since announcements are still under way.
	minComparisonInterval = 400 * time.Millisecond
	settleTime            = 400 * time.Millisecond
	// MaxInlineBytes is the size of the largest object value sent in a
	// datagram; larger ones are fetched over a link.
	MaxInlineBytes = 1000
	// maxItemsPerMessage, maxBranches and maxLeaves bound the items of one
	// message and the branches and leaves compared in reply to one message.
	maxItemsPerMessage = 16
	maxBranches        = 4
	maxLeaves          = 8
)

// Kind is the kind of a message.
type Kind string

// Kinds of messages.
const (
	// KindAnnounce lists versions that the sender holds.
	KindAnnounce Kind = "announce"
	// KindRequest requests the objects listed.
	KindRequest Kind = "want"
	// KindValue carries objects.
	KindValue Kind = "value"
	// KindTooLarge lists requested versions whose values are too large for a
	// datagram.
	KindTooLarge Kind = "large"
	// KindBranches carries the branch digests of the sender's digest tree and
	// starts a comparison.
	KindBranches Kind = "branches"
	// KindBranch carries the leaf digests below branch Index.
	KindBranch Kind = "branch"
	// KindLeaf lists the versions that the sender holds in leaf Index.
	KindLeaf Kind = "leaf"
)

// Item names one version of an object.
type Item struct {
	Key     Key
	Version int64
}

// Message is a datagram about configuration. Its kind determines which of the
// other fields are set.
type Message struct {
	Kind    Kind
	Items   []Item
	Objects []savorydeal.Object
	// Index is the branch or leaf that Digests or Items belong to.
	Index   int
	Digests []uint64
}

// Packet is a message and the peer address that it is sent to.
type Packet struct {
	To      string
	Message Message
}

// Actions are what the caller must do after Receive: send packets, apply
// objects and fetch objects.
type Actions struct {
	Packets []Packet
	// Apply holds objects to pass to Replicator.Apply.
	Apply []savorydeal.Object
	// Fetch lists objects to fetch over a link from the peer address From.
	Fetch []Item
	From  string
}

// PeerSampler returns up to count peer addresses of other nodes, drawn at
// random.
type PeerSampler func(count int) []string

// pendingRequest is a request for an object whose value has not been received.
type pendingRequest struct {
	version int64
	// holders are the peer addresses that announced the version; repeated
	// requests go to each in turn.
	holders     []string
	requestedAt time.Time
	attempts    int
}

// Replicator announces new versions of objects to other nodes and requests the
// versions that this node is missing (gossip with anti-entropy). One goroutine
// owns it together with its store.
type Replicator struct {
	store  *Store
	random savorydeal.Random
	peers  PeerSampler
	// announceRoundsLeft holds, for each object still to be announced, the
	// number of rounds left.
	announceRoundsLeft map[Key]int
	// pending holds the requests for objects that have not been received.
	pending        map[Key]*pendingRequest
	lastAppliedAt  time.Time
	lastComparedAt time.Time
}

// NewReplicator returns a replicator of a store.
func NewReplicator(store *Store, random savorydeal.Random, peers PeerSampler) *Replicator {
	return &Replicator{
		store:              store,
		random:             random,
		peers:              peers,
		announceRoundsLeft: make(map[Key]int),
		pending:            make(map[Key]*pendingRequest),
	}
}

// Apply applies objects to the store. It returns those that were newer than the
// stored ones, and the packets that announce them.
func (r *Replicator) Apply(now time.Time, objects []savorydeal.Object) ([]savorydeal.Object, []Packet) {
	applied := r.store.Apply(objects)
	for _, object := range objects {
		if request := r.pending[KeyOf(object)]; request != nil && object.Version >= request.version {
			delete(r.pending, KeyOf(object))
		}
	}
	if len(applied) == 0 {
		return nil, nil
	}
	r.lastAppliedAt = now
	for _, object := range applied {
		r.announceRoundsLeft[KeyOf(object)] = announceRounds
	}
	return applied, r.announce()
}

// announce returns the packets of one round of announcements.
func (r *Replicator) announce() []Packet {
	items := make([]Item, 0, len(r.announceRoundsLeft))
	for key := range r.announceRoundsLeft {
		entry := r.store.entries[key]
		items = append(items, Item{Key: key, Version: entry.Newest.Version})
	}
	slices.SortFunc(items, func(a, b Item) int { return compareKeys(a.Key, b.Key) })
	items = items[:min(len(items), maxItemsPerMessage)]
	if len(items) == 0 {
		return nil
	}
	peers := r.peers(announceFanOut)
	if len(peers) == 0 {
		return nil
	}
	for _, item := range items {
		r.announceRoundsLeft[item.Key]--
		if r.announceRoundsLeft[item.Key] <= 0 {
			delete(r.announceRoundsLeft, item.Key)
		}
	}
	packets := make([]Packet, 0, len(peers))
	for _, peer := range peers {
		packets = append(packets, Packet{To: peer, Message: Message{Kind: KindAnnounce, Items: items}})
	}
	return packets
}

// Tick returns the packets that are due: remaining rounds of announcements and
// repeated requests.
func (r *Replicator) Tick(now time.Time) []Packet {
	packets := r.announce()
	requests := make(map[string][]Item)
	for key, request := range r.pending {
		if now.Sub(request.requestedAt) < requestInterval {
			continue
		}
		if request.attempts >= maxRequestAttempts {
			delete(r.pending, key)
			continue
		}
		holder := request.holders[request.attempts%len(request.holders)]
		request.attempts++
		request.requestedAt = now
		if len(requests[holder]) < maxItemsPerMessage {
			requests[holder] = append(requests[holder], Item{Key: key, Version: request.version})
		}
	}
	for holder, items := range requests {
		slices.SortFunc(items, func(a, b Item) int { return compareKeys(a.Key, b.Key) })
		packets = append(packets, Packet{To: holder, Message: Message{Kind: KindRequest, Items: items}})
	}
	slices.SortStableFunc(packets, func(a, b Packet) int { return compareKeys(Key{Name: a.To}, Key{Name: b.To}) })
	return packets
}

// ReceiveDigest processes the Store.Digest that comes with every message from
// another node. If it differs from this node's and no change is under way, it
// returns a packet that starts a comparison.
func (r *Replicator) ReceiveDigest(now time.Time, from string, digest uint64) []Packet {
	if digest == r.store.Digest() || now.Sub(r.lastAppliedAt) < settleTime || now.Sub(r.lastComparedAt) < minComparisonInterval {
		return nil
	}
	r.lastComparedAt = now
	return []Packet{{To: from, Message: Message{Kind: KindBranches, Digests: r.store.newestDigest.BranchDigests()}}}
}

// Receive processes a message from the peer address from.
func (r *Replicator) Receive(now time.Time, from string, message Message) Actions {
	switch message.Kind {
	case KindAnnounce:
		return Actions{Packets: r.requestNewer(now, from, message.Items)}
	case KindRequest:
		return Actions{Packets: r.objectPackets(from, message.Items)}
	case KindValue:
		return Actions{Apply: message.Objects}
	case KindTooLarge:
		return r.fetchLarge(now, from, message.Items)
	case KindBranches:
		return Actions{Packets: r.branchPackets(from, message)}
	case KindBranch:
		return Actions{Packets: r.leafPackets(from, message)}
	case KindLeaf:
		return Actions{Packets: r.reconcileLeaf(now, from, message)}
	}
	return Actions{}
}

// heldVersion returns the newest version held of an object, 0 if none is.
func (r *Replicator) heldVersion(key Key) int64 {
	return r.store.entries[key].Newest.Version
}

// requestNewer requests from the sender the items that are newer than this
// node's versions. If a version is already requested from another node, the
// sender is only recorded as a further holder, for when that request is
// repeated.
func (r *Replicator) requestNewer(now time.Time, from string, items []Item) []Packet {
	var requested []Item
	for _, item := range items {
		if item.Version <= r.heldVersion(item.Key) {
			continue
		}
		request := r.pending[item.Key]
		if request == nil || request.version < item.Version {
			r.pending[item.Key] = &pendingRequest{version: item.Version, holders: []string{from}, requestedAt: now, attempts: 1}
			requested = append(requested, item)
		} else if request.version == item.Version && !slices.Contains(request.holders, from) && len(request.holders) < maxRequestAttempts {
			request.holders = append(request.holders, from)
		}
	}
	if len(requested) == 0 {
		return nil
	}
	return []Packet{{To: from, Message: Message{Kind: KindRequest, Items: requested}}}
}

// objectPackets returns the packets that answer a request: each object in a
// datagram of its own, and a list of those too large for one. Objects not held
// in the requested version are skipped.
func (r *Replicator) objectPackets(to string, items []Item) []Packet {
	var packets []Packet
	var tooLarge []Item
	for _, item := range items[:min(len(items), maxItemsPerMessage)] {
		newest := r.store.entries[item.Key].Newest
		switch {
		case newest.Version < item.Version:
		case len(newest.Value) > MaxInlineBytes:
			tooLarge = append(tooLarge, Item{Key: item.Key, Version: newest.Version})
		default:
			packets = append(packets, Packet{To: to, Message: Message{Kind: KindValue, Objects: []savorydeal.Object{newest}}})
		}
	}
	if len(tooLarge) > 0 {
		packets = append(packets, Packet{To: to, Message: Message{Kind: KindTooLarge, Items: tooLarge}})
	}
	return packets
}

// fetchLarge returns the action that fetches those items that are newer than
// this node's versions.
func (r *Replicator) fetchLarge(now time.Time, from string, items []Item) Actions {
	actions := Actions{From: from}
	for _, item := range items {
		if item.Version <= r.heldVersion(item.Key) {
			continue
		}
		if request := r.pending[item.Key]; request != nil {
			request.requestedAt = now
		}
		actions.Fetch = append(actions.Fetch, item)
	}
	return actions
}

// branchPackets replies to branch digests with the leaf digests of some
// branches that differ.
func (r *Replicator) branchPackets(from string, message Message) []Packet {
	var packets []Packet
	for _, branch := range r.sampleIndexes(r.store.newestDigest.DifferingBranches(message.Digests), maxBranches) {
		packets = append(packets, Packet{To: from, Message: Message{
			Kind: KindBranch, Index: branch, Digests: r.store.newestDigest.LeafDigests(branch),
		}})
	}
	return packets
}

// leafPackets replies to the leaf digests of a branch with the versions in some
// leaves that differ.
func (r *Replicator) leafPackets(from string, message Message) []Packet {
	var packets []Packet
	for _, leaf := range r.sampleIndexes(r.store.newestDigest.DifferingLeaves(message.Index, message.Digests), maxLeaves) {
		packets = append(packets, Packet{To: from, Message: Message{Kind: KindLeaf, Index: leaf, Items: r.itemsInLeaf(leaf)}})
	}
	return packets
}

// reconcileLeaf compares the versions in a leaf: it requests those that are
// newer at the sender and announces to it those that are newer here.
func (r *Replicator) reconcileLeaf(now time.Time, from string, message Message) []Packet {
	packets := r.requestNewer(now, from, message.Items)
	senderVersions := make(map[Key]int64, len(message.Items))
	for _, item := range message.Items {
		senderVersions[item.Key] = item.Version
	}
	var newer []Item
	for _, item := range r.itemsInLeaf(message.Index) {
		if item.Version > senderVersions[item.Key] {
			newer = append(newer, item)
		}
	}
	if len(newer) > 0 {
		packets = append(packets, Packet{To: from, Message: Message{Kind: KindAnnounce, Items: newer}})
	}
	return packets
}

// itemsInLeaf returns the versions held in a leaf in the order of their keys. Of more
// than maxItemsPerMessage it returns as many, beginning at a random one, so that
// repeated comparisons cover all of them.
func (r *Replicator) itemsInLeaf(leaf int) []Item {
	var items []Item
	for key, entry := range r.store.entries {
		if sddigest.LeafOf(key.encode()) == leaf {
			items = append(items, Item{Key: key, Version: entry.Newest.Version})
		}
	}
	slices.SortFunc(items, func(a, b Item) int { return compareKeys(a.Key, b.Key) })
	if len(items) <= maxItemsPerMessage {
		return items
	}
	start := r.random.IntN(len(items))
	return append(slices.Clone(items[start:]), items[:start]...)[:maxItemsPerMessage]
}

// sampleIndexes returns up to count of the indexes, beginning at a random one,
// so that repeated comparisons cover all of them.
func (r *Replicator) sampleIndexes(indexes []int, count int) []int {
	if len(indexes) <= count {
		return indexes
	}
	start := r.random.IntN(len(indexes))
	return append(slices.Clone(indexes[start:]), indexes[:start]...)[:count]
}
