package sdnode

import (
	"context"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/savorydeal/savorydeal"
	"github.com/savorydeal/savorydeal/internal/sdannounce"
	"github.com/savorydeal/savorydeal/internal/sdconfig"
	"github.com/savorydeal/savorydeal/internal/sdgossip"
	"github.com/savorydeal/savorydeal/internal/sdrecord"
	"github.com/savorydeal/savorydeal/internal/sdroster"
)

// publishGap is the shortest time between two publications of a changed view after
// datagrams. It limits the copies of the view during a burst of changes.
const publishGap = 50 * time.Millisecond

// clusterState is the state of membership and configuration that traffic and
// metrics read outside the control goroutine.
type clusterState struct {
	socket *sdgossip.Socket
	// dropDatagram reports whether to drop a datagram to an address. Only tests
	// set it.
	dropDatagram atomic.Pointer[func(to string) bool]
	leases       atomic.Pointer[sdroster.Leases]
	usage        usage
	stats        atomic.Pointer[sdroster.Stats]
	// watcherRank is the rank of this node among the watchers of its data centre,
	// from 0, or -1 if it is not a watcher.
	watcherRank atomic.Int64
	// joined is true once another node is known.
	joined atomic.Bool
	// linkBytes counts the bytes of control messages over links, both ways.
	linkBytes atomic.Int64
	// overrun counts received datagrams dropped because the control goroutine's
	// backlog was full.
	overrun atomic.Int64
	// unknownSenders counts the datagrams dropped because links are secured and
	// the sender is not a member.
	unknownSenders atomic.Int64
	// platformCalls counts the calls of runWatch, runJoin and runMeetingPoints.
	platformCalls atomic.Int64
}

// newControl returns the control state of a node that has not started.
func (n *Node) newControl() control {
	c := control{
		roster:         sdroster.New(n.member(), n.settings.MeetingPoints, n.newRandom()),
		store:          sdconfig.NewStore(decodeObject),
		collector:      sdconfig.NewCollector(),
		targetLease:    sdannounce.NewLease(),
		receivedAt:     make(map[sdconfig.Key]time.Time),
		pendingQueries: make(map[uint64]chan<- sdconfig.Answer),
	}
	roster := c.roster
	c.replicator = sdconfig.NewReplicator(c.store, n.newRandom(), roster.RandomAddresses)
	n.cluster.leases.Store(roster.Leases())
	n.cluster.stats.Store(&sdroster.Stats{})
	n.cluster.watcherRank.Store(-1)
	return c
}

// decodeObject decodes policies. Objects of other kinds are decoded where they are
// used.
func decodeObject(object savorydeal.Object) (savorydeal.PolicyRecord, error) {
	if object.Kind != sdrecord.KindPolicy {
		return savorydeal.PolicyRecord{}, nil
	}
	return sdrecord.DecodeValue(object)
}

// runGossip receives datagrams until ctx ends. If the control goroutine falls
// behind, datagrams are dropped, as a network would drop them.
func (n *Node) runGossip(ctx context.Context) error {
	return n.cluster.socket.Serve(ctx, n.clock.Now, func(from string, datagram sdgossip.Datagram) {
		event := func(c *control) { n.handleDatagram(ctx, c, from, datagram) }
		select {
		case n.events <- event:
		default:
			n.cluster.overrun.Add(1)
		}
	})
}

func (n *Node) handleDatagram(ctx context.Context, c *control, from string, datagram sdgossip.Datagram) {
	now := n.clock.Now()
	if n.settings.TLSCertificate != "" && !c.roster.HasAddress(from) {
		// A datagram does not prove its sender's certificate, so a new node enters
		// the view of a secured node only by an exchange over a link.
		n.cluster.unknownSenders.Add(1)
		return
	}
	switch {
	case datagram.Membership != nil:
		n.sendMembership(c, c.roster.Receive(now, from, *datagram.Membership))
		leaseReply := datagram.Membership.Kind == sdroster.KindLeaseUnchanged || datagram.Membership.Kind == sdroster.KindLeaseUpdate
		if leaseReply || now.Sub(c.publishedAt) >= publishGap {
			n.publishMembers(c)
		}
	case datagram.Config != nil:
		n.performActions(ctx, c, c.replicator.Receive(now, from, *datagram.Config))
	case datagram.Report != nil:
		c.collector.Record(now, *datagram.Report)
	case datagram.Query != nil:
		answer := c.collector.Answer(now, *datagram.Query, c.store, n.Members(), n.settings.DataCentre)
		n.send(c, from, sdgossip.Datagram{Answer: &answer})
	case datagram.Answer != nil:
		n.deliverAnswer(c, *datagram.Answer)
	}
	n.sendConfig(c, c.replicator.ReceiveDigest(now, from, datagram.ConfigDigest))
}

func (n *Node) performActions(ctx context.Context, c *control, actions sdconfig.Actions) {
	n.sendConfig(c, actions.Packets)
	if len(actions.Apply) > 0 {
		n.applyObjects(c, actions.Apply)
	}
	if len(actions.Fetch) > 0 {
		go n.fetchObjects(ctx, actions.From, actions.Fetch)
	}
}

func (n *Node) sendMembership(c *control, packets []sdroster.Packet) {
	for _, packet := range packets {
		n.send(c, packet.To, sdgossip.Datagram{Membership: &packet.Message})
	}
}

func (n *Node) sendConfig(c *control, packets []sdconfig.Packet) {
	for _, packet := range packets {
		n.send(c, packet.To, sdgossip.Datagram{Config: &packet.Message})
	}
}

// send sends a datagram. Datagrams that are sent before the socket is open are
// dropped.
func (n *Node) send(c *control, to string, datagram sdgossip.Datagram) {
	if n.cluster.socket == nil || n.cluster.drops(to) {
		return
	}
	datagram.ConfigDigest = c.store.Digest()
	if err := n.cluster.socket.Send(to, datagram, n.clock.Now()); err != nil {
		n.log.Debug("datagram not sent", "peer", to, "error", err)
	}
}

// publishMembers publishes the leases and the view of the members. The view may be
// large and is copied only if it has changed.
func (n *Node) publishMembers(c *control) {
	now := n.clock.Now()
	leases := c.roster.Leases()
	n.cluster.leases.Store(leases)
	stats := c.roster.Stats()
	n.cluster.stats.Store(&stats)
	changed := c.roster.TakeChanged()
	routable := leases.RoutableSummary(now)
	if !changed && routable == c.routableSummary {
		return
	}
	if changed {
		c.publishedAt = now
		members := c.roster.Members()
		n.members.Store(&members)
		n.cluster.joined.Store(c.roster.Joined())
		n.publishAssignments(c, members)
	}
	c.routableSummary = routable
	n.placement.Update(now, placementView(now, leases, n.Members()))
}

// placementView returns the members as placement uses them: a ready target
// without a lease is marked as silent, and a suspect member with a lease as alive.
func placementView(now time.Time, leases *sdroster.Leases, members []savorydeal.Member) []savorydeal.Member {
	view := make([]savorydeal.Member, len(members))
	for i, member := range members {
		switch {
		case leases.Routable(now, member):
			member.State = savorydeal.MemberAlive
		case member.TargetState == savorydeal.TargetReady:
			member.TargetState = savorydeal.TargetSilent
		}
		view[i] = member
	}
	return view
}

func (n *Node) publishAssignments(c *control, members []savorydeal.Member) {
	c.collectors = sdconfig.Collectors(members, n.settings.DataCentre)
	rank := int64(-1)
	for i, node := range sdconfig.Watchers(members, n.settings.DataCentre) {
		if node == n.self {
			rank = int64(i)
		}
	}
	if rank != n.cluster.watcherRank.Swap(rank) {
		n.log.Info("platform watcher rank changed", "rank", rank)
	}
}

// reportInForce reports the versions in force at this node to its collector when a
// report is due.
func (n *Node) reportInForce(now time.Time, c *control) {
	report := sdconfig.Report{Node: n.self, Digest: c.store.InForceDigest()}
	collector := c.collectors[sdconfig.SlotOf(n.self)]
	if collector == "" || !c.reporter.Due(now, report, collector) {
		return
	}
	if collector == n.self {
		c.collector.Record(now, report)
		return
	}
	n.send(c, string(collector), sdgossip.Datagram{Report: &report})
}

// recordUsage passes to the roster which services traffic has called and which
// nodes have answered since the last time.
func (n *Node) recordUsage(now time.Time, c *control) {
	n.cluster.usage.services.Range(func(service, _ any) bool {
		n.cluster.usage.services.Delete(service)
		n.sendMembership(c, c.roster.TrackService(now, service.(string)))
		return true
	})
	n.cluster.usage.answered.Range(func(node, sent any) bool {
		n.cluster.usage.answered.Delete(node)
		c.roster.RenewLease(node.(savorydeal.NodeID), sent.(time.Time))
		return true
	})
}

// registerMembershipMetrics adds the metrics of membership and configuration.
func (n *Node) registerMembershipMetrics() {
	gauge := func(name, help string, read func() int64) {
		n.metrics.Gauge(name, help, func() float64 { return float64(read()) })
	}
	counts := func() sdgossip.Counts {
		if n.cluster.socket == nil {
			return sdgossip.Counts{}
		}
		return n.cluster.socket.Counts()
	}
	gauge("control_sent_bytes", "Bytes of datagrams sent, with headers.", func() int64 { return counts().SentBytes })
	gauge("control_received_bytes", "Bytes of datagrams received, with headers.", func() int64 { return counts().ReceivedBytes })
	gauge("control_link_bytes", "Bytes of control messages over links, both ways.", n.cluster.linkBytes.Load)
	gauge("control_datagrams_lost_on_purpose", "Received datagrams dropped because of --test-loss, a setting for tests.", func() int64 { return counts().Dropped })
	gauge("control_datagrams_overrun", "Received datagrams dropped because the control goroutine had fallen behind.", n.cluster.overrun.Load)
	gauge("control_datagrams_of_strangers", "Received datagrams dropped because links are secured and the sender is not a member.", n.cluster.unknownSenders.Load)
	gauge("platform_calls", "Calls to the platform to watch policies and to maintain meeting points.", n.cluster.platformCalls.Load)
	gauge("platform_duty_rank", "Rank of this node among the platform watchers of its data centre, from 0; -1 if it is not a watcher.", n.cluster.watcherRank.Load)
	gauge("members_suspected", "Times a member became suspect in this view.", func() int64 { return int64(n.cluster.stats.Load().Suspicions) })
	gauge("members_died", "Times a member became dead in this view.", func() int64 { return int64(n.cluster.stats.Load().Deaths) })
	gauge("members_refuted", "Suspicions of this node that it refuted.", func() int64 { return int64(n.cluster.stats.Load().Refutations) })
	gauge("control_pauses", "Times this node detected that its own process had been paused.", func() int64 { return int64(n.cluster.stats.Load().Pauses) })
}

// describeLeases returns a line for each lease with its remaining time, such as
// "10.0.0.1:7000 3.2s".
func describeLeases(now time.Time, leases *sdroster.Leases) []string {
	var lines []string
	for _, lease := range leases.List(now) {
		lines = append(lines, strings.Join([]string{string(lease.Node), strconv.FormatFloat(lease.Remaining.Seconds(), 'f', 1, 64) + "s"}, " "))
	}
	return lines
}

// PlatformRank returns this node's rank among the watchers of its data centre,
// from 0, or -1 if it is not a watcher.
func (n *Node) PlatformRank() int {
	return int(n.cluster.watcherRank.Load())
}
