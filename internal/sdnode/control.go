package sdnode

import (
	"context"
	"time"

	"github.com/savorydeal/savorydeal"
	"github.com/savorydeal/savorydeal/internal/sdannounce"
	"github.com/savorydeal/savorydeal/internal/sdconfig"
	"github.com/savorydeal/savorydeal/internal/sdpolicy"
	"github.com/savorydeal/savorydeal/internal/sdroster"
	"github.com/savorydeal/savorydeal/internal/sdserve"
)

// control is the state of membership, configuration and the target's lease. Only
// the control goroutine uses it. Traffic reads what that goroutine publishes and
// never waits for it.
type control struct {
	roster     *sdroster.Roster
	store      *sdconfig.Store
	replicator *sdconfig.Replicator
	reporter   sdconfig.Reporter
	collector  *sdconfig.Collector
	// receivedAt is when this node received the newest version of an object.
	receivedAt map[sdconfig.Key]time.Time
	// collectors are the collectors of this data centre, by slot.
	collectors [sdconfig.SlotsPerDataCentre]savorydeal.NodeID
	// pendingQueries holds where to deliver the answer to each query, by sequence
	// number.
	pendingQueries map[uint64]chan<- sdconfig.Answer
	// lastQuery is the sequence number of the last query sent.
	lastQuery   uint64
	targetLease *sdannounce.Lease
	stopping    bool
	// publishedAt is when the view of the members was last published.
	publishedAt time.Time
	// routableSummary is the Leases.RoutableSummary of placement's current view.
	// The view is replaced when the summary changes.
	routableSummary string
	// platformReachable is true if the platform answered the latest background
	// read, which is a watch or a read of the meeting points.
	platformReachable bool
}

// controlEvent is a function that the control goroutine runs on its state.
type controlEvent func(c *control)

// controlBacklog bounds the events that wait for the control goroutine.
const controlBacklog = 256

// do runs an event on the control goroutine and waits until it has run. If ctx
// ends first, do returns its error and the event may still run later.
func (n *Node) do(ctx context.Context, event controlEvent) error {
	done := make(chan struct{})
	notifying := func(c *control) {
		event(c)
		close(done)
	}
	select {
	case n.events <- notifying:
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// doResult is do for an event with a result. The result of an event that runs
// after ctx has ended is dropped.
func doResult[T any](ctx context.Context, n *Node, event func(c *control) T) (T, error) {
	result := make(chan T, 1)
	err := n.do(ctx, func(c *control) { result <- event(c) })
	if err != nil {
		var zero T
		return zero, err
	}
	return <-result, nil
}

// runControl is the control goroutine: it runs events and ticks until ctx ends.
func (n *Node) runControl(ctx context.Context) error {
	c := &n.control
	n.publishAll(c)
	tick := n.clock.After(sdroster.TickInterval)
	for {
		select {
		case event := <-n.events:
			event(c)
		case <-tick:
			n.tick(c)
			tick = n.clock.After(sdroster.TickInterval)
		case <-ctx.Done():
			return nil
		}
	}
}

// tick does the periodic work of the control goroutine.
func (n *Node) tick(c *control) {
	now := n.clock.Now()
	n.publishTarget(c)
	n.recordUsage(now, c)
	n.sendMembership(c, c.roster.Tick(now))
	n.sendConfig(c, c.replicator.Tick(now))
	n.publishMembers(c)
	c.collector.Expire(now)
	n.reportInForce(now, c)
}

func (n *Node) publishAll(c *control) {
	n.publishTarget(c)
	n.publishMembers(c)
	n.publishPolicies(c)
}

// publishTarget sets the target's state at the gate, and only then announces a
// change to other nodes.
func (n *Node) publishTarget(c *control) {
	now := n.clock.Now()
	state := c.targetLease.State(now)
	announcement := c.targetLease.Announcement()
	n.gate.Set(sdserve.GateState{
		Target:    state,
		Service:   announcement.Service,
		Address:   announcement.Address,
		ExpiresAt: c.targetLease.Expires(),
		Stopping:  c.stopping,
	})
	self := c.roster.Self()
	if self.Service != announcement.Service || self.TargetState != state || self.Slots != announcement.Slots {
		packets := c.roster.SetTarget(now, sdroster.Target{
			Service: announcement.Service, State: state, Slots: announcement.Slots, ReadySince: c.targetLease.ReadySince(),
		})
		n.sendMembership(c, packets)
	}
}

func (n *Node) publishPolicies(c *control) {
	n.policies.Store(sdpolicy.NewTable(c.store.InForce()))
	n.rejectedPolicies.Store(int64(c.store.RejectedCount()))
}

// Announce applies an announcement of this VM's target and returns the number of
// calls that run on it.
func (n *Node) Announce(ctx context.Context, announcement savorydeal.Announcement) (int, error) {
	err := n.do(ctx, func(c *control) {
		c.targetLease.Announce(n.clock.Now(), announcement)
		n.publishTarget(c)
		n.publishMembers(c)
	})
	if err != nil {
		return 0, err
	}
	n.admitter.Configure(announcement.Slots, announcement.Connections)
	return n.admitter.Running(), nil
}

// apply stores policy objects that the platform or another node sent, and
// announces those that are new to other nodes.
func (n *Node) apply(ctx context.Context, objects []savorydeal.Object) {
	_ = n.do(ctx, func(c *control) { n.applyObjects(c, objects) })
}

func (n *Node) applyObjects(c *control, objects []savorydeal.Object) {
	now := n.clock.Now()
	applied, packets := c.replicator.Apply(now, objects)
	if len(applied) == 0 {
		return
	}
	n.publishPolicies(c)
	for _, object := range applied {
		c.receivedAt[sdconfig.KeyOf(object)] = now
		n.log.Info("object applied", "kind", object.Kind, "name", object.Name, "version", object.Version, "deleted", object.Deleted)
	}
	n.sendConfig(c, packets)
	n.reportInForce(now, c)
}

// beginStop closes the gate and announces to other nodes that this one leaves.
func (n *Node) beginStop(ctx context.Context) {
	_ = n.do(ctx, func(c *control) {
		c.stopping = true
		n.publishTarget(c)
		n.sendMembership(c, c.roster.Leave(n.clock.Now()))
		n.publishMembers(c)
	})
}

func (n *Node) setPlatformReachable(ctx context.Context, reachable bool) {
	_ = n.do(ctx, func(c *control) {
		if c.platformReachable != reachable {
			n.log.Info("platform reachability changed", "reachable", reachable)
		}
		c.platformReachable = reachable
		n.reachable.Store(reachable)
	})
}
