package sdsidecar

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/savorydeal/savorydeal"
	"github.com/savorydeal/savorydeal/internal/sddeparture"
	"github.com/savorydeal/savorydeal/internal/sdera"
	"github.com/savorydeal/savorydeal/internal/sdgossip"
	"github.com/savorydeal/savorydeal/internal/sdinstance"
	"github.com/savorydeal/savorydeal/internal/sdjoin"
	"github.com/savorydeal/savorydeal/internal/sdroster"
	"github.com/savorydeal/savorydeal/internal/sdwatch"
	"github.com/savorydeal/savorydeal/platform"
)

const (
	// controlQueueSize is the number of events that may wait for the control
	// goroutine.
	controlQueueSize = 1024
	// configFanOut is the number of nodes to which a node sends the version of a
	// new configuration as soon as it has applied it.
	configFanOut = 4
)

// controlState is the state that only the control goroutine reads and writes.
type controlState struct {
	roster  *sdroster.Roster
	tracker *sdinstance.Tracker
	// config is the configuration in force, encodedConfig the same as received.
	config        savorydeal.RouteConfig
	encodedConfig []byte
	// stopping is true once a graceful stop has advertised the target as leaving.
	stopping bool
	// fetchingVersion is the version that is being fetched from another node, 0 if
	// none is.
	fetchingVersion uint64
	// members is the member list as last published to the balancer.
	members []savorydeal.Member
	// keeper decides who is told of the departures of this VM, restorer when this process
	// knows those that earlier ones have acknowledged. departures are those of other VMs.
	keeper          *sddeparture.Keeper
	restorer        *sddeparture.Restorer
	departures      *sddeparture.Table
	departureRecord departureRecord
	// departuresKept is closed, and replaced, when the keeper has learnt something.
	departuresKept chan struct{}
	// confirmed holds when some node last read the store and found nothing newer than the
	// configuration in force here.
	confirmed sdwatch.Confirmations
	// confirmationSpreadAt is the last confirmation that this node passed on at once.
	confirmationSpreadAt time.Time
	// firstConfig decides whether the store's configuration may be the first one in force.
	firstConfig sdera.FirstConfig
}

// controlEvent is a function that runs on the control goroutine.
type controlEvent func(c *controlState)

func (n *Node) newControl() controlState {
	return controlState{
		roster:  sdroster.New(n.member(), nil, n.newRandom()),
		tracker: sdinstance.New(n.settings.Service, n.settings.TargetAddress),

		keeper:         sddeparture.NewKeeper(n.newRandom()),
		restorer:       sddeparture.NewRestorer(n.started, n.settings.FirstStart),
		departures:     sddeparture.NewTable(),
		departuresKept: make(chan struct{}),
		// A platform that starts for the first time holds no departures.
		departureRecord: departureRecord{read: n.settings.FirstStart},
	}
}

// callControl runs an event on the control goroutine and waits for its end. If ctx
// ends before the event has started, the event never runs, so that the caller may
// reuse the variables that it would write.
func (n *Node) callControl(ctx context.Context, event controlEvent) error {
	done := make(chan struct{})
	// claimed is set either by the control goroutine when it starts the event or
	// by the caller when it stops waiting, whichever comes first.
	var claimed atomic.Bool
	wrapped := func(c *controlState) {
		if claimed.Swap(true) {
			return
		}
		event(c)
		close(done)
	}
	select {
	case n.events <- wrapped:
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
	}
	if claimed.Swap(true) {
		<-done
		return nil
	}
	return ctx.Err()
}

// postControl queues an event for the control goroutine without waiting. If the
// queue is full, the event is dropped and counted.
func (n *Node) postControl(event controlEvent) {
	select {
	case n.events <- event:
	default:
		n.metrics.eventsDropped.Inc()
	}
}

func (n *Node) runControl(ctx context.Context) error {
	c := &n.control
	n.publishMembers(c)
	tick := time.NewTicker(sdroster.TickInterval)
	defer tick.Stop()
	for {
		select {
		case event := <-n.events:
			event(c)
		case <-tick.C:
			n.send(c, c.roster.Tick(n.clock.Now()))
			n.publishMembers(c)
		case <-ctx.Done():
			return nil
		}
	}
}

func (n *Node) runGossip(ctx context.Context) error {
	return n.socket.Serve(ctx, n.clock.Now, func(from string, datagram sdgossip.Datagram) {
		if datagram.Tokens != nil {
			// Requests wait for tokens, and the control goroutine may have fallen behind.
			n.quotas.receive(savorydeal.NodeID(from), datagram.Tokens)
			return
		}
		n.postControl(func(c *controlState) { n.handleDatagram(ctx, c, from, datagram) })
	})
}

// handleDatagram merges the membership message of a datagram and compares the sender's
// configuration with the one in force here: a newer version is fetched, an older one is
// answered with this node's version, and for the same version the later confirmation
// applies.
func (n *Node) handleDatagram(ctx context.Context, c *controlState, from string, datagram sdgossip.Datagram) {
	if datagram.Membership != nil {
		n.send(c, c.roster.Receive(n.clock.Now(), from, *datagram.Membership))
		n.publishMembers(c)
	}
	n.learnEra(from, datagram.StoreEra)
	report := decodeConfigReport(datagram.ConfigDigest)
	c.firstConfig.PeerVersion(report.version)
	switch {
	case report.version > c.config.Version && report.version > c.fetchingVersion:
		c.fetchingVersion = report.version
		if c.config.Version == 0 {
			go n.joinThrough(ctx, from)
		} else {
			go n.fetchConfig(ctx, from)
		}
	case report.version < c.config.Version:
		n.sendVersion(c, from)
	case report.version == c.config.Version:
		n.recordReport(c, n.clock.Now().Add(-report.age))
	}
}

// sendVersion sends a node the configuration version in force here. The node fetches
// the configuration if its own is older.
func (n *Node) sendVersion(c *controlState, to string) {
	n.send(c, []sdroster.Packet{{To: to, Message: sdroster.Message{Kind: sdroster.KindGossip, Self: c.roster.Self()}}})
}

// send sends membership messages. Each datagram also carries the version of the
// configuration in force, the age of its confirmation, and the store's era.
func (n *Node) send(c *controlState, packets []sdroster.Packet) {
	for _, packet := range packets {
		now := n.clock.Now()
		report := configReport{version: c.config.Version, age: now.Sub(c.confirmed.At)}
		datagram := sdgossip.Datagram{ConfigDigest: report.encode(), Membership: &packet.Message, StoreEra: n.era.current()}
		n.sendDatagram(packet.To, datagram, now)
	}
}

// sendDatagram sends a datagram and counts it if it goes to another data centre.
func (n *Node) sendDatagram(to string, datagram sdgossip.Datagram, now time.Time) {
	size, err := n.socket.SendSized(to, datagram, now)
	if err != nil {
		n.log.Debug("datagram not sent", "peer", to, "error", err)
	}
	if counts := n.controlBytes(to, causeGossip); counts != nil {
		counts.RequestBodies.Add(size)
	}
}

// publishMembers passes a changed member list to the balancer, the retry budget and
// the metrics.
func (n *Node) publishMembers(c *controlState) {
	if !c.roster.TakeChanged() {
		return
	}
	members := c.roster.Members()
	changes := memberChanges(c.members, members)
	c.members = members
	n.crossBytes.setMembers(members)
	n.quotas.setMembers(members, c.roster.Stats().Refutations)
	live, targets := 0, 0
	for _, member := range members {
		if member.Live() {
			live++
			if member.TargetState == savorydeal.TargetReady {
				targets++
			}
		}
	}
	n.mu.Lock()
	n.balancer.Update(members)
	n.feedback.Retain(members)
	n.budget.SetNodes(live)
	n.mu.Unlock()
	n.logMemberChanges(changes)
	n.learnDepartures(c, members)
	n.notifyOfLeaving(changes)
	n.notifyOfDepartures(c, changes)
	n.metrics.members.Set(float64(live))
	n.metrics.targets.Set(float64(targets))
	n.watchRank.Store(int64(sdjoin.Rank(members, n.member())))
}

// memberChanges returns the members whose state, generation or target's state has changed.
func memberChanges(before, after []savorydeal.Member) []savorydeal.Member {
	previous := make(map[savorydeal.NodeID]savorydeal.Member, len(before))
	for _, member := range before {
		previous[member.Node] = member
	}
	var changes []savorydeal.Member
	for _, member := range after {
		old := previous[member.Node]
		if old.State != member.State || old.TargetState != member.TargetState || old.Generation != member.Generation {
			changes = append(changes, member)
		}
	}
	return changes
}

func (n *Node) logMemberChanges(changes []savorydeal.Member) {
	for _, member := range changes {
		n.log.Info("member changed", "member", member.Node, "state", member.State, "target", member.TargetState,
			"service", member.Service, "generation", member.Generation)
	}
}

// applyConfig puts a configuration in force if it is newer than the one in force, and
// sends its version to configFanOut other nodes.
func (n *Node) applyConfig(c *controlState, raw []byte, source string) {
	config, err := platform.DecodeConfig(raw)
	if err != nil {
		n.log.Warn("configuration rejected", "source", source, "error", err, "version_in_force", c.config.Version)
		return
	}
	if config.Version <= c.config.Version && n.routes.Load() != nil {
		return
	}
	if n.routes.Load() != nil {
		checkVersion(n.routes.Load().Config().Version, config.Version)
	}
	c.config, c.encodedConfig = config, raw
	n.quotas.setAccounts(config.Accounts)
	n.routes.Store(newConfigInForce(config))
	n.setPriorities(config)
	n.metrics.configVersion.Set(float64(config.Version))
	n.log.Info("configuration in force", "version", config.Version, "routes", len(config.Routes), "accounts", len(config.Accounts), "source", source)
	for _, address := range c.roster.RandomAddresses(configFanOut) {
		n.sendVersion(c, address)
	}
}

// publishTarget applies the target's state to this node's calls first and advertises
// it to other nodes afterwards.
func (n *Node) publishTarget(c *controlState) {
	now := n.clock.Now()
	if start, leaving := n.target.statedLeaving(); leaving {
		c.tracker.StatedLeaving(now, start)
	}
	state := c.tracker.State()
	n.target.setState(state)
	n.requireDepartures(c)
	advertised := state.Target
	if c.stopping && advertised == savorydeal.TargetReady {
		advertised = savorydeal.TargetLeaving
	}
	self := c.roster.Self()
	start, departed := state.Heartbeat.Start(), state.Target == savorydeal.TargetLeaving
	if self.TargetState == advertised && self.Slots == state.Heartbeat.Slots && self.ReadySince.Equal(state.ReadySince) && self.TargetStart == start && self.TargetDeparted == departed {
		return
	}
	n.log.Info("target changed", "state", advertised, "identity", state.Heartbeat.Identity, "slots", state.Heartbeat.Slots,
		"started", state.Heartbeat.Started, "sequence", state.Heartbeat.Sequence)
	n.send(c, c.roster.SetTarget(now, sdroster.Target{
		Service: n.settings.Service, State: advertised, Slots: state.Heartbeat.Slots, ReadySince: state.ReadySince, Start: start, Departed: departed,
	}))
	for _, address := range c.roster.RandomAddresses(targetFanOut) {
		n.sendVersion(c, address)
	}
	n.publishMembers(c)
}

// targetFanOut is the number of nodes to which a change of the target's state is sent
// immediately; gossip spreads it to the others.
const targetFanOut = 16
