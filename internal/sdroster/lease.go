package sdroster

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/savorydeal/savorydeal"
)

const (
	// LeaseDuration is how long new calls may be sent to a target, counted from
	// the sending of the lease request that its node answered.
	LeaseDuration = 4 * time.Second
	// renewAfter is the age of the last renewal from which a lease is requested
	// again.
	renewAfter = 1500 * time.Millisecond
	// renewRetryInterval is the time between two unanswered requests for a lease,
	// and expiredRetryInterval the same once the lease has expired.
	renewRetryInterval   = 500 * time.Millisecond
	expiredRetryInterval = 2 * time.Second
	// serviceUseTimeout is how long after its last call a service counts as used
	// by this node.
	serviceUseTimeout = time.Minute
	// maxLeases bounds the leases of one node, whatever the cluster's size. It is
	// divided evenly among the used services, but each of them gets at least
	// minLeasesPerService, even if the sum then exceeds maxLeases.
	maxLeases           = 16
	minLeasesPerService = 4
	// remoteLeaseDivisor reserves one lease in this many for targets in other data
	// centres.
	remoteLeaseDivisor = 4
	// maxLeaseHolders bounds the nodes to which a change of this node's own entry
	// is sent directly.
	maxLeaseHolders = 256
)

// lease is this node's permission to send new calls to one target.
type lease struct {
	member  savorydeal.Member
	expires time.Time
	// renewedAt is the sending time of the latest request or call that confirmed
	// the target, zero before the first.
	renewedAt time.Time
	// requestedAt is when the lease was last requested, zero for never.
	requestedAt time.Time
	// unselected marks a lease to be dropped at the end of selectLeases.
	unselected bool
}

// leaseTable holds the leases of one node and its unanswered lease requests.
type leaseTable struct {
	// lastUsed holds the time of the last call to each service that this node
	// uses.
	lastUsed map[string]time.Time
	leases   map[savorydeal.NodeID]*lease
	// pending holds the unanswered lease requests by sequence.
	pending       map[uint64]leaseRequest
	nextSelection time.Time
	// selectedVersion is the candidateVersion at the last selection of leases.
	selectedVersion uint64
}

// leaseRequest is a lease request that is not answered yet.
type leaseRequest struct {
	node   savorydeal.NodeID
	sentAt time.Time
}

func newLeaseTable() leaseTable {
	return leaseTable{
		lastUsed: make(map[string]time.Time),
		leases:   make(map[savorydeal.NodeID]*lease),
		pending:  make(map[uint64]leaseRequest),
	}
}

// Leases is a snapshot of the targets to which this node may send new calls,
// with the expiry of each. It is immutable.
type Leases struct {
	self     savorydeal.NodeID
	expires  map[savorydeal.NodeID]time.Time
	services map[string]bool
}

// HasService reports whether leases are kept for a service, because this node
// calls it.
func (l *Leases) HasService(service string) bool {
	return l.services[service]
}

// Routable reports whether a new call may be sent to the member's target.
func (l *Leases) Routable(now time.Time, member savorydeal.Member) bool {
	if !hasReadyTarget(member) {
		return false
	}
	if member.Node == l.self {
		return true
	}
	return now.Before(l.expires[member.Node])
}

// hasReadyTarget ignores suspicion: that is the view of other nodes, while a
// lease is granted by the target's own node.
func hasReadyTarget(member savorydeal.Member) bool {
	return isLive(member.State) && member.TargetState == savorydeal.TargetReady
}

// RoutableSummary lists the used services and the nodes with an unexpired
// lease as one string. Two summaries are equal if the lists are.
func (l *Leases) RoutableSummary(now time.Time) string {
	var summary strings.Builder
	for _, service := range sortedKeys(l.services) {
		summary.WriteString(service + ";")
	}
	for _, node := range sortedKeys(l.expires) {
		if now.Before(l.expires[node]) {
			summary.WriteString(string(node) + ";")
		}
	}
	return summary.String()
}

// RemainingLease is the time until the lease of a node's target expires,
// negative if it has expired.
type RemainingLease struct {
	Node      savorydeal.NodeID
	Remaining time.Duration
}

// List returns the remaining time of each lease, sorted by node.
func (l *Leases) List(now time.Time) []RemainingLease {
	list := make([]RemainingLease, 0, len(l.expires))
	for _, node := range sortedKeys(l.expires) {
		list = append(list, RemainingLease{Node: node, Remaining: l.expires[node].Sub(now)})
	}
	return list
}

// Leases returns a snapshot of the current leases.
func (r *Roster) Leases() *Leases {
	leases := &Leases{
		self:     r.self.Node,
		expires:  make(map[savorydeal.NodeID]time.Time, len(r.leases.leases)),
		services: make(map[string]bool, len(r.leases.lastUsed)),
	}
	for node, lease := range r.leases.leases {
		leases.expires[node] = lease.expires
	}
	for service := range r.leases.lastUsed {
		leases.services[service] = true
	}
	return leases
}

// TrackService records that this node calls a service. For a service that was
// not tracked it returns lease requests: new calls may be sent to none of its
// targets on other VMs before these are answered.
func (r *Roster) TrackService(now time.Time, service string) []Packet {
	_, known := r.leases.lastUsed[service]
	r.leases.lastUsed[service] = now
	if known {
		return nil
	}
	r.selectLeases()
	return r.requestLeases(now)
}

// RenewLease renews the lease of a node's target as of the time at which a
// call was sent that the target then ran: it must have been ready after that
// time.
func (r *Roster) RenewLease(node savorydeal.NodeID, sentAt time.Time) {
	if lease := r.leases.leases[node]; lease != nil {
		lease.renew(sentAt)
	}
}

// renew extends the lease to LeaseDuration after sentAt. It never shortens it.
func (l *lease) renew(sentAt time.Time) {
	if sentAt.After(l.renewedAt) {
		l.renewedAt = sentAt
	}
	if expires := sentAt.Add(LeaseDuration); expires.After(l.expires) {
		l.expires = expires
	}
}

// renew renews the lease of an answered request. The lease counts from the
// sending of the request and not from the arrival of the answer, because the
// state that the answer reports is at least as recent as the request, however
// long the answer took.
func (t *leaseTable) renew(sequence uint64) {
	request, ok := t.pending[sequence]
	if !ok {
		return
	}
	delete(t.pending, sequence)
	if lease := t.leases[request.node]; lease != nil {
		lease.renew(request.sentAt)
	}
}

func (t *leaseTable) remove(node savorydeal.NodeID) {
	delete(t.leases, node)
}

// tickLeases selects the targets to hold leases of, once a second if the
// candidates have changed, and requests the leases that are due for renewal.
func (r *Roster) tickLeases(now time.Time) []Packet {
	t := &r.leases
	if len(t.lastUsed) == 0 {
		return nil
	}
	if !now.Before(t.nextSelection) {
		t.nextSelection = now.Add(time.Second)
		r.expireUsedServices(now)
		if t.selectedVersion != r.candidateVersion {
			t.selectedVersion = r.candidateVersion
			r.selectLeases()
		}
	}
	for sequence, request := range t.pending {
		if now.Sub(request.sentAt) > LeaseDuration {
			delete(t.pending, sequence)
		}
	}
	return r.requestLeases(now)
}

// requestLeases requests the leases that are due for renewal.
func (r *Roster) requestLeases(now time.Time) []Packet {
	var packets []Packet
	for _, node := range sortedKeys(r.leases.leases) {
		if packet, ok := r.requestLease(now, r.leases.leases[node]); ok {
			packets = append(packets, packet)
		}
	}
	return packets
}

// requestLease returns a request for a lease, unless the last renewal or the
// last request is too recent.
func (r *Roster) requestLease(now time.Time, lease *lease) (Packet, bool) {
	retryInterval := renewRetryInterval
	if !now.Before(lease.expires) {
		retryInterval = expiredRetryInterval
	}
	if now.Sub(lease.renewedAt) < renewAfter || !lease.requestedAt.IsZero() && now.Sub(lease.requestedAt) < retryInterval {
		return Packet{}, false
	}
	r.sequence++
	lease.requestedAt = now
	r.leases.pending[r.sequence] = leaseRequest{node: lease.member.Node, sentAt: now}
	receiver := r.entries[lease.member.Node].member
	return Packet{To: receiver.PeerAddress, Message: Message{
		Kind: KindLeaseRequest, Sequence: r.sequence, ReceiverEntry: receiverEntry(receiver),
	}}, true
}

// answerLeaseRequest confirms the entry that the requester holds, or sends
// this node's current entry if that is out of date.
func (r *Roster) answerLeaseRequest(now time.Time, from string, message Message) Packet {
	if _, known := r.leaseHolders[from]; known || len(r.leaseHolders) < maxLeaseHolders {
		r.leaseHolders[from] = now
	}
	if message.ReceiverEntry.Generation == r.self.Generation && message.ReceiverEntry.Incarnation == r.self.Incarnation {
		return Packet{To: from, Message: Message{Kind: KindLeaseUnchanged, Sequence: message.Sequence}}
	}
	return Packet{To: from, Message: Message{Kind: KindLeaseUpdate, Sequence: message.Sequence, Self: r.self}}
}

// notifyLeaseHolders sends this node's own entry to the nodes that have
// requested a lease within LeaseDuration.
func (r *Roster) notifyLeaseHolders(now time.Time) []Packet {
	var packets []Packet
	for _, address := range sortedKeys(r.leaseHolders) {
		if now.Sub(r.leaseHolders[address]) > LeaseDuration {
			delete(r.leaseHolders, address)
			continue
		}
		packets = append(packets, Packet{To: address, Message: Message{Kind: KindGossip, Self: r.self}})
	}
	return packets
}

// noteCandidateChange causes a new selection of leases if the member's service
// is one that this node calls.
func (r *Roster) noteCandidateChange(member savorydeal.Member) {
	if _, used := r.leases.lastUsed[member.Service]; used {
		r.candidateVersion++
	}
}

// expireUsedServices drops the services not called for serviceUseTimeout.
func (r *Roster) expireUsedServices(now time.Time) {
	for service, last := range r.leases.lastUsed {
		if now.Sub(last) > serviceUseTimeout {
			delete(r.leases.lastUsed, service)
			r.candidateVersion++
		}
	}
}

// selectLeases selects the targets of each service that this node calls: those
// in its own data centre first, then by a hash that differs between nodes, so
// that the selections of all nodes spread over all targets.
func (r *Roster) selectLeases() {
	t := &r.leases
	for _, lease := range t.leases {
		lease.unselected = true
	}
	candidates := make(map[string][]savorydeal.Member)
	for _, node := range r.live {
		member := r.entries[node].member
		if _, used := t.lastUsed[member.Service]; used && hasReadyTarget(member) {
			candidates[member.Service] = append(candidates[member.Service], member)
		}
	}
	perService := maxLeases
	if len(t.lastUsed) > 0 {
		perService = max(minLeasesPerService, maxLeases/len(t.lastUsed))
	}
	for _, members := range candidates {
		for _, member := range r.selectPreferred(members, perService) {
			r.keepLease(member)
		}
	}
	for node, lease := range t.leases {
		if lease.unselected {
			delete(t.leases, node)
		}
	}
}

// selectPreferred selects at most count members. Those in this node's data
// centre come first, but one lease in remoteLeaseDivisor is reserved for other
// data centres if they have targets: these receive the calls for which this
// node's data centre has no capacity left.
func (r *Roster) selectPreferred(members []savorydeal.Member, count int) []savorydeal.Member {
	if len(members) <= count {
		return members
	}
	r.sortByPreference(members)
	local := 0
	for local < len(members) && members[local].DataCentre == r.self.DataCentre {
		local++
	}
	remote := min(count/remoteLeaseDivisor, len(members)-local)
	fromLocal := min(local, count-remote)
	return append(slices.Clone(members[:fromLocal]), members[local:local+count-fromLocal]...)
}

// keepLease keeps the lease of a selected member, or adds one that must still be
// requested.
func (r *Roster) keepLease(member savorydeal.Member) {
	existing := r.leases.leases[member.Node]
	if existing == nil {
		existing = &lease{member: member}
		r.leases.leases[member.Node] = existing
	}
	existing.unselected = false
}

func (r *Roster) sortByPreference(members []savorydeal.Member) {
	score := func(member savorydeal.Member) uint64 {
		return xxhash.Sum64String(string(r.self.Node) + "\x00" + string(member.Node))
	}
	slices.SortFunc(members, func(a, b savorydeal.Member) int {
		if difference := r.distance(a) - r.distance(b); difference != 0 {
			return difference
		}
		if a, b := score(a), score(b); a != b {
			if a < b {
				return -1
			}
			return 1
		}
		return strings.Compare(string(a.Node), string(b.Node))
	})
}

// distance is 0 within the data centre, 1 within the region and 2 beyond it.
func (r *Roster) distance(member savorydeal.Member) int {
	if member.DataCentre == r.self.DataCentre {
		return 0
	}
	if member.Region == r.self.Region {
		return 1
	}
	return 2
}
