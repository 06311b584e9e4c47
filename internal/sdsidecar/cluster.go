package sdsidecar

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/savorydeal/savorydeal"
	"github.com/savorydeal/savorydeal/internal/sdjoin"
	"github.com/savorydeal/savorydeal/internal/sdpeerpb"
	"github.com/savorydeal/savorydeal/internal/sdwatch"
	"github.com/savorydeal/savorydeal/internal/sdwire"
	"github.com/savorydeal/savorydeal/platform"
)

const (
	// kindMeetingPoint is the kind of the store objects that hold the peer address
	// of a node to join through.
	kindMeetingPoint = "meeting-points"
	// defaultConfigApply is the time within which a new configuration has to be in force if
	// the settings don't state it.
	defaultConfigApply = 2500 * time.Millisecond
	// firstConfigWait is how long a node that is no watcher waits for a configuration when the
	// whole platform starts for the first time.
	firstConfigWait = 2500 * time.Millisecond
	// joinPollInterval is the time between two checks of what the node has to do to
	// find other nodes.
	joinPollInterval = 100 * time.Millisecond
	// maxFetchWait is how long a node that starts again, and has no configuration yet,
	// waits for one from the nodes that it has joined before it reads the store itself.
	maxFetchWait = 500 * time.Millisecond
	// joinFanOut is the number of meeting points contacted in one join attempt.
	joinFanOut      = 3
	exchangeTimeout = time.Second
	// minStoreBackoff and maxStoreBackoff bound the backoff after failed calls to
	// the store.
	minStoreBackoff = 200 * time.Millisecond
	maxStoreBackoff = 1500 * time.Millisecond
	// watchPollInterval is the longest time after which a node that does not watch the
	// store checks again whether it has to.
	watchPollInterval = 300 * time.Millisecond
)

// backoff is a randomised exponential backoff.
type backoff struct {
	node *Node
	last time.Duration
}

func (b *backoff) next() time.Duration {
	b.last = min(maxStoreBackoff, max(minStoreBackoff, 2*b.last))
	return b.last/2 + time.Duration(b.node.randomFraction()*float64(b.last)/2)
}

func (n *Node) sleep(ctx context.Context, d time.Duration) {
	select {
	case <-n.clock.After(d):
	case <-ctx.Done():
	}
}

// runConfigWatch keeps the configuration up to date from the store while this node
// is a watcher. Any other node watches the store as well if the last confirmation by
// another one is too old, since the watchers may be cut off from the store, and until there
// is one again.
func (n *Node) runConfigWatch(ctx context.Context) error {
	storeBackoff := backoff{node: n}
	var revision int64
	// era is the store's era in which revision was read.
	var era uint64
	reachable := true
	for ctx.Err() == nil {
		if delay := n.watchDelay(ctx); delay > 0 {
			revision = 0
			n.sleep(ctx, min(delay, watchPollInterval))
			continue
		}
		if current := n.era.current(); current != era {
			era, revision = current, 0
		}
		next, err := n.watchOnce(ctx, era, revision)
		if errors.Is(err, errEarlierEra) {
			continue
		}
		n.metrics.countStoreCall(err)
		if (err == nil) != reachable && ctx.Err() == nil {
			reachable = err == nil
			n.log.Info("store availability", "reachable", reachable, "error", err, "revision", revision)
		}
		switch {
		case errors.Is(err, platform.ErrHistoryGone):
			revision = 0
		case err != nil:
			n.sleep(ctx, storeBackoff.next())
		default:
			storeBackoff.last = 0
			revision = next
		}
	}
	return nil
}

// watchDelay returns how long this node waits before it reads or watches the store, 0 if
// it has to do so now.
func (n *Node) watchDelay(ctx context.Context) time.Duration {
	if !n.joinAttempted.Load() {
		// The rank is not known yet. A node that starts again reads the configuration
		// at once, because callers wait for it.
		if n.routes.Load() == nil && !n.settings.FirstStart {
			return 0
		}
		return watchPollInterval
	}
	rank := int(n.watchRank.Load())
	if rank < sdjoin.WatchersPerDataCentre {
		return 0
	}
	delay := watchPollInterval
	_ = n.callControl(ctx, func(c *controlState) { delay = max(0, n.readDelay(c, rank)) })
	return delay
}

func (n *Node) watchWait() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return sdwatch.Wait(n.configApply(), n.random)
}

// watchOnce reads the configuration if revision is 0 and otherwise waits for a change
// after the revision. It returns the revision for the next watch.
func (n *Node) watchOnce(ctx context.Context, era uint64, revision int64) (int64, error) {
	// The response states what was newest at some time until then. A node that was
	// suspended may read it much later.
	startedAt := n.clock.Now()
	confirmedBy := startedAt
	wait := n.watchWait()
	if revision != 0 {
		confirmedBy = confirmedBy.Add(wait)
	}
	list, err := n.readConfig(ctx, era, revision, wait)
	if err != nil {
		_ = n.callControl(ctx, func(c *controlState) { c.confirmed.StandsIn = false })
		return revision, err
	}
	readAt := n.clock.Now()
	for _, object := range list.Objects {
		if object.Name == platform.ConfigName && !object.Deleted {
			n.awaitFirstConfig(ctx, list.Era, object.Value)
		}
	}
	_ = n.callControl(ctx, func(c *controlState) {
		for _, object := range list.Objects {
			if object.Name == platform.ConfigName && !object.Deleted {
				n.applyConfig(c, object.Value, "store")
			}
		}
		if readAt.Before(confirmedBy) {
			confirmedBy = readAt
		}
		n.recordRead(c, startedAt, confirmedBy)
	})
	// An outdated response must not move the start of the next watch back.
	return max(revision, list.Revision), nil
}

// runJoin finds other nodes through the store and the settings, and exchanges full
// membership views with them; package sdjoin decides when.
func (n *Node) runJoin(ctx context.Context) error {
	planner := sdjoin.New(n.clock.Now(), n.settings.FirstStart, n.newRandom())
	reachable := true
	for ctx.Err() == nil {
		_, live := n.randomPeers(ctx, 0)
		switch planner.Next(n.clock.Now(), live-1, int(n.watchRank.Load())) {
		case sdjoin.StepRead:
			err := n.readMeetingPoints(ctx)
			if (err == nil) != reachable && ctx.Err() == nil {
				reachable = err == nil
				n.log.Info("meeting point list availability", "read", reachable, "error", err)
			}
			n.joinAttempted.Store(true)
			_, live = n.randomPeers(ctx, 0)
			planner.ReadDone(n.clock.Now(), err == nil, live-1)
		case sdjoin.StepExchange:
			addresses, _ := n.randomPeers(ctx, 1)
			for _, address := range addresses {
				n.exchangeViews(ctx, address)
			}
		case sdjoin.StepWait:
			if live > 1 {
				n.joinAttempted.Store(true)
			}
			n.sleep(ctx, joinPollInterval)
		}
	}
	return nil
}

// readMeetingPoints reads the meeting points from the store, exchanges views with some
// of them and writes those that are due.
func (n *Node) readMeetingPoints(ctx context.Context) error {
	era := n.era.current()
	objects, err := n.store.List(ctx, kindMeetingPoint)
	n.metrics.countStoreCall(err)
	points := n.meetingPoints(objects.Objects)
	_ = n.callControl(ctx, func(c *controlState) { c.roster.SetMeetingPoints(points) })
	n.joinRandom(ctx, points)
	if err != nil {
		return fmt.Errorf("read meeting points: %w", err)
	}
	_ = n.callControl(ctx, func(c *controlState) { c.restorer.Joined() })
	if err := n.writeMeetingPoints(ctx, max(era, objects.Era), objects.Objects); err != nil {
		n.log.Debug("meeting points not all written", "error", err)
	}
	return nil
}

// decodePoints returns the meeting points that the store's objects hold. One that
// cannot be decoded or is no IP address with a port has no address, so that it is replaced.
func decodePoints(objects []savorydeal.Object) []sdjoin.Point {
	points := make([]sdjoin.Point, 0, len(objects))
	for _, object := range objects {
		address, err := strconv.Unquote(string(object.Value))
		if _, addressErr := netip.ParseAddrPort(address); err != nil || addressErr != nil {
			address = ""
		}
		points = append(points, sdjoin.Point{Name: object.Name, Address: address, Version: object.Version})
	}
	return points
}

func (n *Node) randomPeers(ctx context.Context, count int) (addresses []string, live int) {
	_ = n.callControl(ctx, func(c *controlState) {
		addresses = c.roster.RandomAddresses(count)
		for _, member := range c.roster.Members() {
			if member.Live() {
				live++
			}
		}
	})
	return addresses, live
}

// meetingPoints returns the meeting points from the settings and those from the store's
// objects except this node's own.
func (n *Node) meetingPoints(objects []savorydeal.Object) []string {
	points := slices.Clone(n.reloadable.Load().meetingPoints)
	for _, point := range decodePoints(objects) {
		if point.Address != "" && point.Address != n.settings.PeerAddress {
			points = append(points, point.Address)
		}
	}
	return points
}

// joinRandom exchanges views with up to joinFanOut randomly chosen meeting points.
func (n *Node) joinRandom(ctx context.Context, points []string) {
	points = slices.Clone(points)
	n.mu.Lock()
	n.random.Shuffle(len(points), func(i, j int) { points[i], points[j] = points[j], points[i] })
	n.mu.Unlock()
	for _, address := range points[:min(joinFanOut, len(points))] {
		n.exchangeViews(ctx, address)
	}
}

// joinThrough exchanges views with a node that has found this one, and fetches its
// configuration afterwards: a node that has the configuration is ready for callers and needs
// to know the targets by then.
func (n *Node) joinThrough(ctx context.Context, address string) {
	n.exchangeViews(ctx, address)
	n.fetchConfig(ctx, address)
}

// exchangeViews sends this node's view to another node and merges the view that it
// returns. It fetches the configuration from that node if the node has a newer one.
func (n *Node) exchangeViews(ctx context.Context, address string) {
	var body []byte
	_ = n.callControl(ctx, func(c *controlState) { body = n.encodeView(c) })
	answer, err := n.callPeer(ctx, address, http.MethodPost, membersPath, body)
	if err != nil {
		n.log.Debug("membership views not exchanged", "peer", address, "error", err)
		return
	}
	if answer.Status != http.StatusOK || answer.Remainder != nil {
		closeRemainder(answer)
		n.log.Debug("membership views not exchanged", "peer", address, "error", fmt.Errorf("answer with status %d is no view", answer.Status))
		return
	}
	version, err := n.mergeView(ctx, answer.Body, true)
	if err != nil {
		return
	}
	newer := false
	_ = n.callControl(ctx, func(c *controlState) {
		c.firstConfig.PeerVersion(version)
		newer = version > c.config.Version && version > c.fetchingVersion
		if newer {
			c.fetchingVersion = version
		}
	})
	if newer {
		n.fetchConfig(ctx, address)
	}
}

func (n *Node) encodeView(c *controlState) []byte {
	now := n.clock.Now()
	view := &sdpeerpb.Members{PolicyDigest: c.config.Version}
	for _, member := range c.roster.Members() {
		view.Members = append(view.Members, sdwire.EncodeMember(member, now))
	}
	encoded, err := proto.Marshal(view)
	if err != nil {
		n.log.Error("membership view not encoded", "error", err)
	}
	return encoded
}

// mergeView merges the encoded view of another node into the roster and returns the
// version of the configuration in force there. asSnapshot is true if the view is the
// answer to this node's own exchange.
func (n *Node) mergeView(ctx context.Context, body []byte, asSnapshot bool) (version uint64, err error) {
	var view sdpeerpb.Members
	if err := proto.Unmarshal(body, &view); err != nil {
		n.log.Warn("membership view of another node not decoded", "error", err)
		return 0, fmt.Errorf("decode membership view: %w", err)
	}
	err = n.callControl(ctx, func(c *controlState) {
		now := n.clock.Now()
		members := make([]savorydeal.Member, 0, len(view.GetMembers()))
		for _, member := range view.GetMembers() {
			members = append(members, sdwire.DecodeMember(member, now))
		}
		if asSnapshot {
			c.roster.MergeSnapshot(now, members)
		} else {
			c.roster.Merge(now, members)
		}
		n.publishMembers(c)
	})
	return view.GetPolicyDigest(), err
}

// fetchConfig fetches the configuration from another node and applies it.
func (n *Node) fetchConfig(ctx context.Context, address string) {
	answer, err := n.callPeer(ctx, address, http.MethodGet, configPath, nil)
	_ = n.callControl(ctx, func(c *controlState) {
		c.fetchingVersion = 0
		if err != nil {
			n.log.Info("configuration not fetched", "peer", address, "error", err)
			return
		}
		if answer.Status == http.StatusOK && answer.Remainder == nil {
			n.applyConfig(c, answer.Body, address)
		}
	})
}
