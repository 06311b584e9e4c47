package sdnode

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/savorydeal/savorydeal"
	"github.com/savorydeal/savorydeal/internal/sdconfig"
)

const (
	// watchInterval is the longest time that one watch waits for changes.
	watchInterval = 20 * time.Second
	// assignmentPoll is how often a node that is not a watcher checks whether it
	// has become one.
	assignmentPoll = 500 * time.Millisecond
	// settleDelay is the shortest time that a new node waits for other members
	// before it acts as a watcher. Otherwise each of many nodes that start at the
	// same time would act as one.
	settleDelay = 3 * time.Second
	// joinInterval is the mean time between attempts to join.
	joinInterval = 500 * time.Millisecond
	// extraJoins is the number of exchanges of full views after the first one.
	extraJoins        = 2
	extraJoinInterval = 2 * time.Second
	// healProbability is the probability, after the extra joins and once in each
	// extraJoinInterval, that a secured node tries to join through a meeting point
	// that is missing from its view.
	healProbability = 1.0 / 16
	// platformJoinDelay is the shortest time that a node tries the meeting points
	// of its settings before it reads others from the platform.
	platformJoinDelay = 2 * time.Second
	// meetingPointInterval is the mean time between two checks of this node's
	// meeting point on the platform.
	meetingPointInterval = 30 * time.Second
	// minBackoff and maxBackoff are the first and the highest bound of the wait
	// after a failed call.
	minBackoff = time.Second
	maxBackoff = 30 * time.Second
)

// backoff computes the waits between repetitions of a failed call. Each wait is
// drawn between half of the bound and the bound, which doubles with each failure
// from minBackoff to maxBackoff.
type backoff struct {
	random savorydeal.Random
	bound  time.Duration
}

func (b *backoff) next() time.Duration {
	b.bound = min(maxBackoff, max(minBackoff, 2*b.bound))
	return b.bound/2 + time.Duration(b.random.Float64()*float64(b.bound/2))
}

func (b *backoff) reset() {
	b.bound = 0
}

func (n *Node) sleep(ctx context.Context, d time.Duration) {
	select {
	case <-n.clock.After(d):
	case <-ctx.Done():
	}
}

// settle waits for a random time of settleDelay to twice settleDelay, in which
// other members become known. It returns at once if the node expects none.
func (n *Node) settle(ctx context.Context, random savorydeal.Random) {
	if !n.expectsOthers() {
		return
	}
	n.sleep(ctx, settleDelay+time.Duration(random.Float64()*float64(settleDelay)))
}

// expectsOthers reports whether the node may have to join others. It returns
// false only if the settings name this node as the only meeting point.
func (n *Node) expectsOthers() bool {
	if len(n.settings.MeetingPoints) == 0 {
		return true
	}
	for _, point := range n.settings.MeetingPoints {
		if point != n.settings.PeerAddress {
			return true
		}
	}
	return false
}

// runWatch watches the platform for objects of a kind, and applies changes, while
// this node is one of the watchers of its data centre.
func (n *Node) runWatch(ctx context.Context, platform savorydeal.Platform, kind string) error {
	retry := &backoff{random: n.newRandom()}
	n.settle(ctx, retry.random)
	var revision int64
	for ctx.Err() == nil {
		if n.cluster.watcherRank.Load() < 0 {
			n.sleep(ctx, assignmentPoll)
			continue
		}
		n.cluster.platformCalls.Add(1)
		list, err := platform.Watch(ctx, kind, revision, watchInterval)
		n.setPlatformReachable(ctx, err == nil)
		if err != nil {
			n.sleep(ctx, retry.next())
			continue
		}
		retry.reset()
		n.apply(ctx, list.Objects)
		// An answer from a replica that lags must not move the next watch back.
		revision = max(revision, list.Revision)
	}
	return nil
}

// runJoin joins through meeting points until another node is known. It then
// exchanges full views with random members extraJoins times, since nodes that
// started at the same time may have been missing from the first view.
func (n *Node) runJoin(ctx context.Context, platform savorydeal.Platform) error {
	retry := &backoff{random: n.newRandom()}
	joinsLeft := extraJoins
	started := n.clock.Now()
	nextPlatformRead := started.Add(platformJoinDelay + time.Duration(retry.random.Float64()*float64(platformJoinDelay)))
	for ctx.Err() == nil {
		if n.cluster.joined.Load() {
			n.sleep(ctx, extraJoinInterval/2+time.Duration(retry.random.Float64()*float64(extraJoinInterval)))
			if joinsLeft > 0 {
				joinsLeft--
				n.joinRandom(ctx)
			} else if n.settings.TLSCertificate != "" && retry.random.Float64() < healProbability {
				n.rejoinMissing(ctx)
			}
			continue
		}
		if now := n.clock.Now(); !now.Before(nextPlatformRead) {
			nextPlatformRead = now.Add(retry.next())
			if err := n.readMeetingPoints(ctx, platform); err != nil {
				n.log.Warn("cannot read meeting points from the platform", "error", err)
			}
		}
		point, err := doResult(ctx, n, func(c *control) string {
			point, _ := c.roster.MeetingPoint()
			return point
		})
		if err == nil && point != "" {
			n.join(ctx, point)
		}
		n.sleep(ctx, joinInterval/2+time.Duration(retry.random.Float64()*float64(joinInterval)))
	}
	return nil
}

// rejoinMissing joins, over a link, through a meeting point that is missing from
// the view. Datagrams cannot heal a long partition between secured nodes: they
// drop datagrams of nodes that they no longer have in their views.
func (n *Node) rejoinMissing(ctx context.Context) {
	point, err := doResult(ctx, n, func(c *control) string {
		if point, missing := c.roster.MissingMeetingPoint(); missing {
			return point
		}
		return ""
	})
	if err == nil && point != "" {
		n.join(ctx, point)
	}
}

// joinRandom exchanges full views with a random member.
func (n *Node) joinRandom(ctx context.Context) {
	addresses, _ := doResult(ctx, n, func(c *control) []string { return c.roster.RandomAddresses(1) })
	for _, address := range addresses {
		n.join(ctx, address)
	}
}

// readMeetingPoints uses the meeting points on the platform in addition to those
// of the settings.
func (n *Node) readMeetingPoints(ctx context.Context, platform savorydeal.Platform) error {
	n.cluster.platformCalls.Add(1)
	list, err := platform.List(ctx, sdconfig.KindMeetingPoint)
	n.setPlatformReachable(ctx, err == nil)
	if err != nil {
		return fmt.Errorf("list meeting points: %w", err)
	}
	points := append([]string(nil), n.settings.MeetingPoints...)
	for _, object := range list.Objects {
		if !object.Deleted {
			points = append(points, string(object.Value))
		}
	}
	return n.do(ctx, func(c *control) { c.roster.SetMeetingPoints(points) })
}

// runMeetingPoints keeps this node listed on the platform as a meeting point while
// it is one of the watchers of its data centre.
func (n *Node) runMeetingPoints(ctx context.Context, platform savorydeal.Platform) error {
	retry := &backoff{random: n.newRandom()}
	n.settle(ctx, retry.random)
	for ctx.Err() == nil {
		rank := n.cluster.watcherRank.Load()
		if rank < 0 {
			n.sleep(ctx, assignmentPoll)
			continue
		}
		err := n.writeMeetingPoint(ctx, platform, sdconfig.MeetingPointName(n.settings.DataCentre, int(rank)))
		if err == nil {
			err = n.readMeetingPoints(ctx, platform)
		}
		if err != nil {
			n.sleep(ctx, retry.next())
			continue
		}
		retry.reset()
		n.sleep(ctx, meetingPointInterval/2+time.Duration(retry.random.Float64()*float64(meetingPointInterval)))
	}
	return nil
}

// writeMeetingPoint writes this node's address only if the object holds another
// one, so that the number of writes depends only on how often watchers change. If
// two nodes both believe that they have this rank, they overwrite each other
// without harm: a new node can join through either.
func (n *Node) writeMeetingPoint(ctx context.Context, platform savorydeal.Platform, name string) error {
	n.cluster.platformCalls.Add(1)
	object, err := platform.Get(ctx, sdconfig.KindMeetingPoint, name)
	if err != nil && !errors.Is(err, savorydeal.ErrObjectNotFound) {
		return fmt.Errorf("read meeting point %s: %w", name, err)
	}
	if err == nil && string(object.Value) == n.settings.PeerAddress {
		return nil
	}
	n.cluster.platformCalls.Add(1)
	_, err = platform.Put(ctx, sdconfig.KindMeetingPoint, name, object.Version, []byte(n.settings.PeerAddress))
	if err != nil && !errors.Is(err, savorydeal.ErrVersionConflict) {
		return fmt.Errorf("write meeting point %s: %w", name, err)
	}
	return nil
}
