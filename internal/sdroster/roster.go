// Package sdroster keeps a node's view of the other nodes of the cluster. It
// detects failures by direct and indirect pings as in SWIM, lets suspected
// members refute the suspicion, piggybacks changes on other messages, and grants
// leases: without one, a node sends no new calls to a target. It does no I/O.
package sdroster

import (
	"slices"
	"time"

	"github.com/savorydeal/savorydeal"
	"github.com/savorydeal/savorydeal/internal/sddigest"
)

const (
	// TickInterval is the time between two calls of Roster.Tick.
	TickInterval = 250 * time.Millisecond
	// tombstoneTTL is how long a dead or left member is kept, so that a delayed
	// message with an old entry cannot bring it back.
	tombstoneTTL    = 10 * time.Minute
	cleanupInterval = time.Minute
	// pauseThreshold is the gap between two ticks above which this node assumes
	// that its own process was paused.
	pauseThreshold = time.Second
	// isolationThreshold is the time without any received message after which this
	// node attributes missing acknowledgements to itself and not to other nodes.
	isolationThreshold = 2 * time.Second
	// isolatedSuspectAfter is the time without any received message after which an
	// isolated node declares other members suspect and dead, in its own view only.
	isolatedSuspectAfter = 10 * time.Second

	// retransmitFactor times the decimal logarithm of the number of live nodes,
	// rounded up, is how often one node sends each update.
	retransmitFactor = 4
	// gossipFanOut is the number of nodes that receive pending updates at each
	// tick.
	gossipFanOut = 2
	// maxPiggyback bounds the updates in one message, so that it fits a datagram.
	maxPiggyback = 8
	// maxPendingUpdates bounds the queue of updates to send.
	maxPendingUpdates = 512
)

// entry is one member of the view.
type entry struct {
	member savorydeal.Member
	// stateChangedAt is when the member's state last changed in this view.
	stateChangedAt time.Time
	// liveIndex is the index in Roster.live, -1 if the member is not live.
	liveIndex int
	// inTree reports whether the digest is included in Roster.tree.
	inTree bool
	digest uint64
}

// Roster is one node's view of the cluster. It is not safe for concurrent use.
type Roster struct {
	self          savorydeal.Member
	meetingPoints []string
	random        savorydeal.Random
	// entries holds all known nodes, this node's own included.
	entries map[savorydeal.NodeID]*entry
	// order holds the keys of entries, sorted, so that Members needs no sort.
	order []savorydeal.NodeID
	// live holds the members that are alive or suspect.
	live []savorydeal.NodeID
	// dead holds the members that are dead, without those that left.
	dead []savorydeal.NodeID
	// tree holds the digests of the live members.
	tree sddigest.Tree
	// pendingUpdates counts how often each changed member has been sent.
	pendingUpdates map[savorydeal.NodeID]int
	// mergingSnapshot is set during MergeSnapshot, so that its changes are not
	// queued.
	mergingSnapshot bool
	changed         bool
	// candidateVersion counts the changes of members whose services this node
	// calls.
	candidateVersion uint64

	sequence     uint64
	lastTick     time.Time
	lastReceived time.Time
	nextCleanup  time.Time
	// localHealth is 0 for a node that receives acknowledgements in time and grows
	// up to maxLocalHealth with signs that the node itself is slow or cut off. It
	// lengthens timeouts (scaleTimeout).
	localHealth int

	// probes and relays hold the unacknowledged pings by sequence.
	probes   map[uint64]*probe
	relays   map[uint64]relay
	suspects map[savorydeal.NodeID]struct{}
	// isolatedSuspects holds the members that this node suspected while it was
	// isolated.
	isolatedSuspects map[savorydeal.NodeID]struct{}
	// probeRound holds the members still to be probed in the current round.
	probeRound []savorydeal.NodeID
	nextProbe  time.Time
	nextHeal   time.Time
	nextSync   time.Time

	leases leaseTable
	// leaseHolders holds when each peer address last requested a lease.
	leaseHolders map[string]time.Time
	stats        Stats
}

// Stats counts events since the start of the node.
type Stats struct {
	// Suspicions and Deaths count members that became suspect or dead in this
	// view.
	Suspicions uint64
	Deaths     uint64
	// Refutations counts the reports of this node as suspect, dead or left that it
	// refuted.
	Refutations uint64
	// Pauses counts the pauses of this node's own process.
	Pauses uint64
}

// New returns a view that holds only the node itself. meetingPoints are peer
// addresses through which the node joins, and through which the sides of a
// network partition reconnect after it has healed.
func New(self savorydeal.Member, meetingPoints []string, random savorydeal.Random) *Roster {
	self.State = savorydeal.MemberAlive
	r := &Roster{
		self:             self,
		meetingPoints:    meetingPoints,
		random:           random,
		entries:          make(map[savorydeal.NodeID]*entry),
		pendingUpdates:   make(map[savorydeal.NodeID]int),
		probes:           make(map[uint64]*probe),
		relays:           make(map[uint64]relay),
		suspects:         make(map[savorydeal.NodeID]struct{}),
		isolatedSuspects: make(map[savorydeal.NodeID]struct{}),
		leases:           newLeaseTable(),
		leaseHolders:     make(map[string]time.Time),
		changed:          true,
	}
	r.updateSelfEntry()
	return r
}

// SetMeetingPoints replaces the meeting points.
func (r *Roster) SetMeetingPoints(points []string) {
	r.meetingPoints = points
}

// MeetingPoint returns a random meeting point other than this node, or false
// if there is none.
func (r *Roster) MeetingPoint() (string, bool) {
	points := make([]string, 0, len(r.meetingPoints))
	for _, point := range r.meetingPoints {
		if point != r.self.PeerAddress {
			points = append(points, point)
		}
	}
	if len(points) == 0 {
		return "", false
	}
	return points[r.random.IntN(len(points))], true
}

// HasAddress reports whether the view holds the node at a peer address, in any
// state.
func (r *Roster) HasAddress(address string) bool {
	return r.entries[savorydeal.NodeID(address)] != nil
}

// MissingMeetingPoint returns a random meeting point, and true if the view does
// not hold it as live.
func (r *Roster) MissingMeetingPoint() (string, bool) {
	point, ok := r.MeetingPoint()
	return point, ok && !r.hasLiveMember(point)
}

// Joined reports whether the view holds another live node.
func (r *Roster) Joined() bool {
	return len(r.live) > 0
}

// Target is the target's part of a node's own entry; see savorydeal.Member.
type Target struct {
	Service    string
	State      savorydeal.TargetState
	Slots      int
	ReadySince time.Time
	Start      savorydeal.TargetStart
	Departed   bool
}

// SetTarget updates the target's part of this node's own entry and returns the
// updates for the nodes that have requested a lease within LeaseDuration.
func (r *Roster) SetTarget(now time.Time, target Target) []Packet {
	r.self.Service = target.Service
	r.self.TargetState = target.State
	r.self.Slots = target.Slots
	r.self.ReadySince = target.ReadySince
	r.self.TargetStart = target.Start
	r.self.TargetDeparted = target.Departed
	return r.publishSelf(now)
}

// Leave marks this node as left and returns the updates for other nodes.
func (r *Roster) Leave(now time.Time) []Packet {
	r.self.State = savorydeal.MemberLeft
	packets := r.publishSelf(now)
	for _, node := range r.randomNodes(leaveFanOut, "") {
		packets = append(packets, r.gossipTo(r.entries[node].member.PeerAddress))
	}
	return packets
}

// leaveFanOut is the number of random nodes that Leave notifies directly,
// besides lease holders.
const leaveFanOut = 8

// publishSelf raises the incarnation after a change of this node's entry and
// returns the updates for lease holders.
func (r *Roster) publishSelf(now time.Time) []Packet {
	r.self.Incarnation++
	r.updateSelfEntry()
	r.queueUpdate(r.self.Node)
	r.changed = true
	return r.notifyLeaseHolders(now)
}

func (r *Roster) addEntry(node savorydeal.NodeID) *entry {
	added := &entry{liveIndex: -1}
	r.entries[node] = added
	index, _ := slices.BinarySearch(r.order, node)
	r.order = slices.Insert(r.order, index, node)
	return added
}

// updateSelfEntry copies this node's entry into the view. Its digest tree must
// include the entry, because the trees of the other nodes do.
func (r *Roster) updateSelfEntry() {
	own := r.entries[r.self.Node]
	if own == nil {
		own = r.addEntry(r.self.Node)
	}
	own.member = r.self
	r.updateDigest(own)
}

// MergeSnapshot merges a full view received when this node joins. Other nodes
// have these entries already, so they are not queued as updates.
func (r *Roster) MergeSnapshot(now time.Time, members []savorydeal.Member) {
	r.mergingSnapshot = true
	defer func() { r.mergingSnapshot = false }()
	r.Merge(now, members)
}

// Merge merges entries from another node. Those that change the view are queued
// as updates for other nodes.
func (r *Roster) Merge(now time.Time, members []savorydeal.Member) {
	for _, member := range members {
		r.mergeMember(now, member)
	}
}

func (r *Roster) mergeMember(now time.Time, member savorydeal.Member) {
	if member.Node == "" {
		return
	}
	if member.Node == r.self.Node {
		r.mergeSelf(member)
		return
	}
	e := r.entries[member.Node]
	if e == nil {
		if !isLive(member.State) {
			return
		}
		e = r.addEntry(member.Node)
	} else if !supersedes(member, e.member) {
		return
	}
	r.applyMember(now, e, member)
}

// mergeSelf refutes reports of this node as suspect, dead or left by raising
// its incarnation. Entries of an earlier generation, from before a restart at
// this address, are answered by spreading the current one.
func (r *Roster) mergeSelf(member savorydeal.Member) {
	switch {
	case member.Generation < r.self.Generation:
		r.queueUpdate(r.self.Node)
	case member.Generation > r.self.Generation || r.self.State != savorydeal.MemberAlive:
		// A later process has replaced this one at the address, or this node has
		// left: there is nothing to refute.
	case member.State != savorydeal.MemberAlive && member.Incarnation >= r.self.Incarnation:
		r.self.Incarnation = member.Incarnation + 1
		r.stats.Refutations++
		r.adjustHealth(1)
		r.updateSelfEntry()
		r.queueUpdate(r.self.Node)
		r.changed = true
	}
}

// applyMember replaces an entry by a newer version.
func (r *Roster) applyMember(now time.Time, e *entry, member savorydeal.Member) {
	if member.Generation != e.member.Generation {
		r.leases.remove(member.Node)
	}
	if member.State != e.member.State {
		e.stateChangedAt = now
		switch member.State {
		case savorydeal.MemberSuspect:
			r.stats.Suspicions++
			r.suspects[member.Node] = struct{}{}
		case savorydeal.MemberDead:
			r.stats.Deaths++
		}
	}
	if member.State != savorydeal.MemberSuspect {
		delete(r.suspects, member.Node)
	}
	r.noteCandidateChange(e.member)
	r.noteCandidateChange(member)
	e.member = member
	r.updateLists(e)
	r.updateDigest(e)
	r.queueUpdate(member.Node)
	r.changed = true
}

// updateLists moves a member between the lists of live and dead members
// according to its state.
func (r *Roster) updateLists(e *entry) {
	node := e.member.Node
	switch live := isLive(e.member.State); {
	case live && e.liveIndex < 0:
		e.liveIndex = len(r.live)
		r.live = append(r.live, node)
		r.dead = slices.DeleteFunc(r.dead, func(dead savorydeal.NodeID) bool { return dead == node })
	case !live && e.liveIndex >= 0:
		last := r.live[len(r.live)-1]
		r.live[e.liveIndex] = last
		r.entries[last].liveIndex = e.liveIndex
		r.live = r.live[:len(r.live)-1]
		e.liveIndex = -1
		if e.member.State == savorydeal.MemberDead {
			r.dead = append(r.dead, node)
		}
	}
}

// updateDigest includes the member in the digest tree if it is live. Suspicion
// does not change the digest, because it is temporary.
func (r *Roster) updateDigest(e *entry) {
	key := string(e.member.Node)
	if e.inTree {
		r.tree.Toggle(key, e.digest)
		e.inTree = false
	}
	if isLive(e.member.State) {
		e.digest = memberDigest(e.member)
		e.inTree = true
		r.tree.Toggle(key, e.digest)
	}
}

func isLive(state savorydeal.MemberState) bool {
	return state == savorydeal.MemberAlive || state == savorydeal.MemberSuspect
}

// supersedes orders two versions of a node's entry. A later generation wins,
// then a higher incarnation, which only the node itself raises; among equals
// the worse state wins, and the node refutes it by raising its incarnation.
func supersedes(a, b savorydeal.Member) bool {
	if a.Generation != b.Generation {
		return a.Generation > b.Generation
	}
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return statePrecedence(a.State) > statePrecedence(b.State)
}

// statePrecedence ranks the states from best to worst; the worse one supersedes.
func statePrecedence(state savorydeal.MemberState) int {
	return slices.Index([]savorydeal.MemberState{
		savorydeal.MemberAlive, savorydeal.MemberSuspect, savorydeal.MemberDead, savorydeal.MemberLeft,
	}, state)
}

// randomNodes returns up to count distinct live members other than except. It
// draws at most 4*count times, so it may return fewer than there are.
func (r *Roster) randomNodes(count int, except savorydeal.NodeID) []savorydeal.NodeID {
	var picked []savorydeal.NodeID
	for attempts := 0; len(picked) < count && attempts < 4*count && len(r.live) > 0; attempts++ {
		node := r.live[r.random.IntN(len(r.live))]
		if node != except && !slices.Contains(picked, node) {
			picked = append(picked, node)
		}
	}
	return picked
}

// RandomAddresses returns the peer addresses of up to count random live
// members.
func (r *Roster) RandomAddresses(count int) []string {
	var addresses []string
	for _, node := range r.randomNodes(count, "") {
		addresses = append(addresses, r.entries[node].member.PeerAddress)
	}
	return addresses
}

// TakeChanged reports whether the view has changed since the previous call.
func (r *Roster) TakeChanged() bool {
	changed := r.changed
	r.changed = false
	return changed
}

// Self returns this node's own entry.
func (r *Roster) Self() savorydeal.Member {
	return r.self
}

// Stats returns the counters.
func (r *Roster) Stats() Stats {
	return r.stats
}

// Digest is the root digest of the live members. It is equal on two nodes
// whose views agree.
func (r *Roster) Digest() uint64 {
	return r.tree.Root()
}

// Members returns a copy of the view: this node first, the others sorted by
// name.
func (r *Roster) Members() []savorydeal.Member {
	members := make([]savorydeal.Member, 0, len(r.order))
	members = append(members, r.self)
	for _, node := range r.order {
		if node != r.self.Node {
			members = append(members, r.entries[node].member)
		}
	}
	return members
}
