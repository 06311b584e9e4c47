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

// control is the state that one goroutine owns. Traffic reads what it
// publishes and never waits for it.
type control struct {
	roster   *sdroster.Roster
	store    *sdconfig.Store
	lease    *sdannounce.Lease
	stopping bool
	// platformReachable is the result of the last call.
	platformReachable bool
}

// controlEvent changes control state; the control goroutine runs it.
type controlEvent func(c *control)

const controlBacklog = 256

// do runs an event on the control goroutine and waits for it.
func (n *Node) do(ctx context.Context, event controlEvent) error {
	done := make(chan struct{})
	wrapped := func(c *control) {
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
		return ctx.Err()
	}
}

// runControl owns the control state until ctx ends.
func (n *Node) runControl(ctx context.Context) error {
	c := &n.control
	n.publishAll(c)
	tick := n.clock.After(sdroster.TickInterval)
	for {
		select {
		case event := <-n.events:
			event(c)
		case <-tick:
			n.tick(ctx, c)
			tick = n.clock.After(sdroster.TickInterval)
		case <-ctx.Done():
			return nil
		}
	}
}

func (n *Node) tick(ctx context.Context, c *control) {
	n.publishTarget(c)
	sends := c.roster.Tick(n.clock.Now())
	n.publishMembers(c)
	message := n.exchangeMessage(c)
	for _, send := range sends {
		go n.exchange(ctx, send.Address, message)
	}
}

func (n *Node) publishAll(c *control) {
	n.publishTarget(c)
	n.publishMembers(c)
	n.publishPolicies(c)
}

// publishTarget puts the target's state in force at the gate first and then
// into what other nodes are told.
func (n *Node) publishTarget(c *control) {
	now := n.clock.Now()
	state := c.lease.State(now)
	announcement := c.lease.Announcement()
	n.gate.Set(sdserve.GateState{
		Target:   state,
		Service:  announcement.Service,
		Address:  announcement.Address,
		Expires:  c.lease.Expires(),
		Stopping: c.stopping,
	})
	self := c.roster.Self()
	if self.Service != announcement.Service || self.TargetState != state || self.Slots != announcement.Slots {
		c.roster.SetTarget(announcement.Service, state, announcement.Slots, c.lease.ReadySince())
	}
}

func (n *Node) publishMembers(c *control) {
	members := c.roster.Members()
	n.members.Store(&members)
	n.placement.Update(n.clock.Now(), members)
}

func (n *Node) publishPolicies(c *control) {
	n.policies.Store(sdpolicy.NewTable(c.store.InForce()))
	n.rejected.Store(int64(c.store.Rejected()))
}

// Announce takes a target's announcement.
func (n *Node) Announce(ctx context.Context, announcement savorydeal.Announcement) (int, error) {
	err := n.do(ctx, func(c *control) {
		c.lease.Announce(n.clock.Now(), announcement)
		n.publishTarget(c)
		n.publishMembers(c)
	})
	if err != nil {
		return 0, err
	}
	n.admitter.Configure(announcement.Slots, announcement.Connections)
	return n.admitter.Running(), nil
}

// apply takes policy objects from the platform or another node, and passes on
// those that are new.
func (n *Node) apply(ctx context.Context, objects []savorydeal.Object) {
	_ = n.do(ctx, func(c *control) {
		applied := c.store.Apply(objects)
		if len(applied) == 0 {
			return
		}
		n.publishPolicies(c)
		for _, object := range applied {
			n.log.Info("policy taken", "service", object.Name, "version", object.Version, "deleted", object.Deleted)
		}
		n.spread(ctx, c, applied)
	})
}

// beginStop closes the gate and tells the others.
func (n *Node) beginStop(ctx context.Context) {
	_ = n.do(ctx, func(c *control) {
		c.stopping = true
		n.publishTarget(c)
		c.roster.Leave()
		n.publishMembers(c)
		message := n.exchangeMessage(c)
		for _, member := range c.roster.Members() {
			if member.State == savorydeal.MemberAlive {
				go n.exchange(ctx, member.PeerAddress, message)
			}
		}
	})
}

// watchInterval is the longest wait of one watch.
const (
	watchInterval = 20 * time.Second
	watchBackoff  = time.Second
)

// runWatch keeps the policies up to date from the platform.
func (n *Node) runWatch(ctx context.Context, platform savorydeal.Platform, kind string) error {
	var revision int64
	for ctx.Err() == nil {
		list, err := platform.Watch(ctx, kind, revision, watchInterval)
		n.setPlatformReachable(ctx, err == nil)
		if err != nil {
			select {
			case <-n.clock.After(watchBackoff):
			case <-ctx.Done():
			}
			continue
		}
		n.apply(ctx, list.Objects)
		revision = max(revision, list.Revision)
	}
	return nil
}

func (n *Node) setPlatformReachable(ctx context.Context, reachable bool) {
	_ = n.do(ctx, func(c *control) {
		if c.platformReachable != reachable {
			n.log.Info("platform", "reachable", reachable)
		}
		c.platformReachable = reachable
		n.reachable.Store(reachable)
	})
}
