package sdroster

import (
	"slices"
	"time"

	"github.com/savorydeal/savorydeal"
)

const (
	probeInterval = time.Second
	// directPingTimeout is how long a ping may go unacknowledged before indirect
	// pings are requested from helpers.
	directPingTimeout = 500 * time.Millisecond
	// probeTimeout is the longest time of a probe, indirect pings included.
	probeTimeout = 1500 * time.Millisecond
	// suspicionTimeout is the time that a suspect has to refute the suspicion
	// before it is declared dead.
	suspicionTimeout = 4 * time.Second
	// helperCount is the number of nodes that ping a member on behalf of this one.
	helperCount = 3
	// maxLocalHealth bounds Roster.localHealth, which lengthens timeouts up to
	// 1+maxLocalHealth times.
	maxLocalHealth = 3
	// healInterval is the time between two pings of a dead member or a meeting
	// point, through which the two sides of a healed network partition merge their
	// views.
	healInterval = 2 * time.Second
	// syncInterval is the time between two comparisons of views.
	syncInterval = 5 * time.Second
)

// probe is one check of a member by pings.
type probe struct {
	node      savorydeal.NodeID
	startedAt time.Time
	// indirect is set once indirect pings have been requested.
	indirect bool
}

// relay is a ping sent on behalf of another node.
type relay struct {
	// requester is the peer address of that node.
	requester string
	// sequence is that of the requester's probe.
	sequence  uint64
	startedAt time.Time
}

// Tick runs the periodic work that is due and returns the messages to send. It
// is to be called every TickInterval.
func (r *Roster) Tick(now time.Time) []Packet {
	if r.lastTick.IsZero() {
		r.scheduleFirst(now)
	}
	if gap := now.Sub(r.lastTick); gap > pauseThreshold {
		r.handlePause(now, gap)
	}
	r.lastTick = now
	packets := r.checkProbes(now)
	r.checkSuspects(now)
	if !now.Before(r.nextProbe) {
		r.nextProbe = now.Add(probeInterval)
		packets = append(packets, r.startProbe(now)...)
	}
	if !now.Before(r.nextHeal) {
		r.nextHeal = now.Add(healInterval)
		packets = append(packets, r.healPartition()...)
	}
	if !now.Before(r.nextSync) {
		r.nextSync = now.Add(syncInterval)
		packets = append(packets, r.startSync()...)
	}
	packets = append(packets, r.tickLeases(now)...)
	if len(r.pendingUpdates) > 0 {
		for _, node := range r.randomNodes(gossipFanOut, "") {
			packets = append(packets, r.gossipTo(r.entries[node].member.PeerAddress))
		}
	}
	r.removeTombstones(now)
	return packets
}

// scheduleFirst schedules the first periodic work at random offsets, so that
// nodes which start together do not send at the same time.
func (r *Roster) scheduleFirst(now time.Time) {
	r.lastTick = now
	r.lastReceived = now
	r.nextProbe = now.Add(r.randomFraction(probeInterval))
	r.nextHeal = now.Add(r.randomFraction(healInterval))
	r.nextSync = now.Add(r.randomFraction(syncInterval))
	r.nextCleanup = now.Add(cleanupInterval)
}

// randomFraction returns a random duration in [0, d).
func (r *Roster) randomFraction(d time.Duration) time.Duration {
	return time.Duration(r.random.Float64() * float64(d))
}

// handlePause accounts for a pause of this node's own process: messages missed
// during it are no evidence about the other nodes. It drops the probes under
// way, extends the time that suspects have by the length of the pause, and
// raises localHealth to its maximum. The node then counts as isolated until it
// receives a message.
func (r *Roster) handlePause(now time.Time, gap time.Duration) {
	r.stats.Pauses++
	clear(r.probes)
	for node := range r.suspects {
		r.entries[node].stateChangedAt = r.entries[node].stateChangedAt.Add(gap)
	}
	r.lastReceived = now.Add(-isolationThreshold)
	r.adjustHealth(maxLocalHealth)
}

// adjustHealth changes localHealth within its bounds [0, maxLocalHealth].
func (r *Roster) adjustHealth(delta int) {
	r.localHealth = max(0, min(maxLocalHealth, r.localHealth+delta))
}

// scaleTimeout lengthens a timeout by localHealth, so that a slow node
// suspects others later (as in the Lifeguard extension of SWIM).
func (r *Roster) scaleTimeout(timeout time.Duration) time.Duration {
	return timeout * time.Duration(1+r.localHealth)
}

// isolated reports whether this node has received nothing for
// isolationThreshold. A missing acknowledgement is then more likely due to this
// node's own connection than to the member.
func (r *Roster) isolated(now time.Time) bool {
	return now.Sub(r.lastReceived) >= isolationThreshold
}

// startProbe pings the next member of a shuffled round, so that each member is
// probed once per round.
func (r *Roster) startProbe(now time.Time) []Packet {
	for len(r.live) > 0 {
		if len(r.probeRound) == 0 {
			r.probeRound = append(r.probeRound, r.live...)
			for i := range r.probeRound {
				j := r.random.IntN(i + 1)
				r.probeRound[i], r.probeRound[j] = r.probeRound[j], r.probeRound[i]
			}
		}
		node := r.probeRound[len(r.probeRound)-1]
		r.probeRound = r.probeRound[:len(r.probeRound)-1]
		e := r.entries[node]
		if e == nil || !isLive(e.member.State) {
			continue
		}
		r.sequence++
		r.probes[r.sequence] = &probe{node: node, startedAt: now}
		return []Packet{r.ping(e.member, r.sequence)}
	}
	return nil
}

func (r *Roster) ping(member savorydeal.Member, sequence uint64) Packet {
	return Packet{To: member.PeerAddress, Message: Message{
		Kind: KindPing, Sequence: sequence, Self: r.self, ReceiverEntry: receiverEntry(member), Members: r.piggyback(),
	}}
}

// receiverEntry returns the fields of an entry that its own node needs to
// compare it with its current one.
func receiverEntry(member savorydeal.Member) savorydeal.Member {
	return savorydeal.Member{
		Node: member.Node, Generation: member.Generation, Incarnation: member.Incarnation, State: member.State,
	}
}

// checkProbes requests indirect pings for late acknowledgements and suspects
// members whose probe has timed out.
func (r *Roster) checkProbes(now time.Time) []Packet {
	var packets []Packet
	for sequence, relay := range r.relays {
		if now.Sub(relay.startedAt) > probeTimeout {
			delete(r.relays, sequence)
		}
	}
	for _, sequence := range sortedKeys(r.probes) {
		probe := r.probes[sequence]
		elapsed := now.Sub(probe.startedAt)
		switch {
		case elapsed >= r.scaleTimeout(probeTimeout):
			delete(r.probes, sequence)
			r.failProbe(now, probe)
		case elapsed >= r.scaleTimeout(directPingTimeout) && !probe.indirect:
			probe.indirect = true
			packets = append(packets, r.requestIndirectPings(probe, sequence)...)
		}
	}
	return packets
}

func (r *Roster) requestIndirectPings(probe *probe, sequence uint64) []Packet {
	var packets []Packet
	member := r.entries[probe.node].member
	for _, helper := range r.randomNodes(helperCount, probe.node) {
		packets = append(packets, Packet{To: r.entries[helper].member.PeerAddress, Message: Message{
			Kind: KindIndirectPing, Sequence: sequence, Self: r.self, PingAddress: member.PeerAddress,
		}})
	}
	return packets
}

// failProbe suspects the member of a failed probe. An isolated node raises its
// localHealth instead. It suspects others only after isolatedSuspectAfter, and
// records them in isolatedSuspects so that endIsolation can revert that.
func (r *Roster) failProbe(now time.Time, probe *probe) {
	e := r.entries[probe.node]
	if e == nil || e.member.State != savorydeal.MemberAlive {
		return
	}
	if r.isolated(now) {
		r.adjustHealth(1)
		if now.Sub(r.lastReceived) < isolatedSuspectAfter {
			return
		}
		r.isolatedSuspects[probe.node] = struct{}{}
	}
	suspect := e.member
	suspect.State = savorydeal.MemberSuspect
	r.applyMember(now, e, suspect)
}

// checkSuspects declares dead the suspects that have not refuted the suspicion
// in time. An isolated node does so only after isolatedSuspectAfter.
func (r *Roster) checkSuspects(now time.Time) {
	if r.isolated(now) && now.Sub(r.lastReceived) < isolatedSuspectAfter {
		return
	}
	for _, node := range sortedKeys(r.suspects) {
		e := r.entries[node]
		if now.Sub(e.stateChangedAt) < r.scaleTimeout(suspicionTimeout) {
			continue
		}
		dead := e.member
		dead.State = savorydeal.MemberDead
		r.applyMember(now, e, dead)
	}
}

// healPartition pings a dead member or a meeting point that is not live, chosen
// at random. If a network partition has healed, the answer starts the merging
// of both views.
func (r *Roster) healPartition() []Packet {
	if len(r.dead) > 0 && r.random.IntN(2) == 0 {
		node := r.dead[r.random.IntN(len(r.dead))]
		r.sequence++
		return []Packet{r.ping(r.entries[node].member, r.sequence)}
	}
	point, ok := r.MeetingPoint()
	if !ok || r.hasLiveMember(point) {
		return nil
	}
	r.sequence++
	return []Packet{r.ping(savorydeal.Member{PeerAddress: point}, r.sequence)}
}

// hasLiveMember reports whether the view holds the node at a peer address as
// alive or suspect.
func (r *Roster) hasLiveMember(address string) bool {
	e := r.entries[savorydeal.NodeID(address)]
	return e != nil && isLive(e.member.State)
}

// endIsolation reverts the suspicions and deaths that this node declared
// during its isolation, so that it spreads none of them. Its next probes and
// the entries it receives from others show which members are alive.
func (r *Roster) endIsolation(now time.Time) {
	if !r.isolated(now) || len(r.isolatedSuspects) == 0 {
		return
	}
	for _, node := range sortedKeys(r.isolatedSuspects) {
		e := r.entries[node]
		if e == nil || e.member.State == savorydeal.MemberLeft {
			continue
		}
		e.member.State = savorydeal.MemberAlive
		r.candidateVersion++
		e.stateChangedAt = now
		delete(r.suspects, node)
		delete(r.pendingUpdates, node)
		r.updateLists(e)
		r.updateDigest(e)
	}
	clear(r.isolatedSuspects)
	r.changed = true
}

func (r *Roster) gossipTo(address string) Packet {
	return Packet{To: address, Message: Message{Kind: KindGossip, Self: r.self, Members: r.piggyback()}}
}

// removeTombstones removes members that have been dead or left for
// tombstoneTTL.
func (r *Roster) removeTombstones(now time.Time) {
	if now.Before(r.nextCleanup) {
		return
	}
	r.nextCleanup = now.Add(cleanupInterval)
	for node, e := range r.entries {
		if node == r.self.Node || isLive(e.member.State) || now.Sub(e.stateChangedAt) < tombstoneTTL {
			continue
		}
		delete(r.entries, node)
		delete(r.pendingUpdates, node)
		r.changed = true
	}
	r.order = slices.DeleteFunc(r.order, func(node savorydeal.NodeID) bool { return r.entries[node] == nil })
	dead := r.dead[:0]
	for _, node := range r.dead {
		if r.entries[node] != nil {
			dead = append(dead, node)
		}
	}
	r.dead = dead
}
