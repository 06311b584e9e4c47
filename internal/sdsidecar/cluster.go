package sdsidecar

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"github.com/savorydeal/savorydeal"
	"github.com/savorydeal/savorydeal/internal/sdhttp"
	"github.com/savorydeal/savorydeal/internal/sdpeerpb"
	"github.com/savorydeal/savorydeal/internal/sdwire"
	"github.com/savorydeal/savorydeal/platform"
)

const (
	// kindMeetingPoint is the kind of the store objects that hold the peer address
	// of a node to join through.
	kindMeetingPoint = "meeting-points"
	// meetingPointsPerDataCentre is the number of these objects in each data centre,
	// independent of the number of nodes.
	meetingPointsPerDataCentre = 4
	// watchersPerDataCentre is the number of nodes in each data centre that watch
	// the store.
	watchersPerDataCentre = 2
	// maxWatchWait is the longest time that one watch waits for a change. A store
	// that has dropped its history may keep a watch waiting that has missed a
	// change, so this has to be shorter than the time within which a new
	// configuration must be in force.
	maxWatchWait = 1500 * time.Millisecond
	// maxConfirmationAge is how long a watcher's confirmation of the configuration
	// stays valid, including the time that gossip takes to spread it.
	maxConfirmationAge = 2500 * time.Millisecond
	// fallbackReadDelay is added to maxConfirmationAge for each watch rank after the
	// watchers. A node that is not a watcher reads the store itself once the last
	// confirmation is older than that, so that not all nodes read at once.
	fallbackReadDelay = 300 * time.Millisecond
	// joinInterval is the mean time between two attempts to join other nodes.
	joinInterval = 400 * time.Millisecond
	// viewExchangeInterval is the time between two exchanges of full membership
	// views.
	viewExchangeInterval = 10 * time.Second
	// joinFanOut is the number of meeting points contacted in one join attempt.
	joinFanOut      = 3
	exchangeTimeout = time.Second
	// minStoreBackoff and maxStoreBackoff bound the backoff after failed calls to
	// the store.
	minStoreBackoff = 200 * time.Millisecond
	maxStoreBackoff = 1500 * time.Millisecond
	// watchRankPollInterval is the time after which a node that does not watch the
	// store checks again whether it has to.
	watchRankPollInterval = 300 * time.Millisecond
)

// watchRank returns the rank of a member, from 0, among the live members of its data
// centre ordered by the hash of their IDs. The first watchersPerDataCentre of them
// watch the store, so that its load does not grow with the number of nodes.
func watchRank(members []savorydeal.Member, self savorydeal.Member) int {
	own := xxhash.Sum64String(string(self.Node))
	rank := 0
	for _, member := range members {
		if member.Node != self.Node && isLive(member) && member.DataCentre == self.DataCentre &&
			xxhash.Sum64String(string(member.Node)) < own {
			rank++
		}
	}
	return rank
}

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
// is a watcher. Any other node also reads the store if the last confirmation by a
// watcher is too old, since the store may be refusing the watchers' calls.
func (n *Node) runConfigWatch(ctx context.Context) error {
	storeBackoff := backoff{node: n}
	var revision int64
	reachable := true
	for ctx.Err() == nil {
		if !n.shouldWatch(ctx) {
			revision = 0
			n.sleep(ctx, watchRankPollInterval)
			continue
		}
		next, err := n.watchOnce(ctx, revision)
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

// shouldWatch reports whether this node has to read or watch the store now.
func (n *Node) shouldWatch(ctx context.Context) bool {
	rank := n.watchRank.Load()
	if rank < watchersPerDataCentre || n.routes.Load() == nil {
		return true
	}
	maxAge := maxConfirmationAge + time.Duration(rank-watchersPerDataCentre)*fallbackReadDelay
	expired := false
	_ = n.callControl(ctx, func(c *controlState) { expired = n.clock.Now().Sub(c.confirmedAt) > maxAge })
	return expired
}

// watchOnce reads the configuration if revision is 0 and otherwise waits for a change
// after the revision. It returns the revision for the next watch.
func (n *Node) watchOnce(ctx context.Context, revision int64) (int64, error) {
	var list savorydeal.ObjectList
	var err error
	if revision == 0 {
		list, err = n.store.List(ctx, platform.ConfigKind)
	} else {
		list, err = n.store.Watch(ctx, platform.ConfigKind, revision, maxWatchWait)
	}
	if err != nil {
		return revision, err
	}
	_ = n.callControl(ctx, func(c *controlState) {
		for _, object := range list.Objects {
			if object.Name == platform.ConfigName && !object.Deleted {
				n.applyConfig(c, object.Value, "store")
			}
		}
		n.setConfirmedAt(c, n.clock.Now())
	})
	// An outdated response must not move the start of the next watch back.
	return max(revision, list.Revision), nil
}

// runJoin finds other nodes through the store and the settings, and exchanges full
// membership views with them.
func (n *Node) runJoin(ctx context.Context) error {
	storeBackoff := backoff{node: n}
	pointWritten, reachable := false, true
	for ctx.Err() == nil {
		objects, err := n.store.List(ctx, kindMeetingPoint)
		n.metrics.countStoreCall(err)
		if (err == nil) != reachable && ctx.Err() == nil {
			reachable = err == nil
			n.log.Info("meeting point list availability", "read", reachable, "error", err)
		}
		points := n.meetingPoints(objects.Objects)
		_ = n.callControl(ctx, func(c *controlState) { c.roster.SetMeetingPoints(points) })
		joined := n.joinRandom(ctx, points)
		if err == nil && (!pointWritten || joined) {
			pointWritten = n.maintainMeetingPoint(ctx, objects.Objects) == nil
		}
		switch {
		case err != nil:
			n.sleep(ctx, storeBackoff.next())
		case !joined || !pointWritten:
			n.sleep(ctx, joinInterval/2+time.Duration(n.randomFraction()*float64(joinInterval)))
		default:
			n.waitForNextJoin(ctx)
		}
	}
	return nil
}

// waitForNextJoin waits until the next join attempt. It returns as soon as this node
// knows no other live node. Otherwise it exchanges views with one random node after
// viewExchangeInterval and, once startupPhase is over, waits for settledPause in
// addition.
func (n *Node) waitForNextJoin(ctx context.Context) {
	for end := n.clock.Now().Add(viewExchangeInterval); ctx.Err() == nil && n.clock.Now().Before(end); {
		n.sleep(ctx, time.Second)
		if _, live := n.randomPeers(ctx, 0); live <= 1 {
			return
		}
	}
	addresses, _ := n.randomPeers(ctx, 1)
	for _, address := range addresses {
		n.exchangeViews(ctx, address)
	}
	if n.clock.Now().Sub(n.started) > startupPhase {
		n.sleep(ctx, settledPause)
	}
}

const (
	// startupPhase is the time after the start in which views are exchanged without
	// an additional pause.
	startupPhase = 30 * time.Second
	// settledPause is added to the time between two reads of the meeting points
	// after startupPhase.
	settledPause = 20 * time.Second
)

func (n *Node) randomPeers(ctx context.Context, count int) (addresses []string, live int) {
	_ = n.callControl(ctx, func(c *controlState) {
		addresses = c.roster.RandomAddresses(count)
		for _, member := range c.roster.Members() {
			if isLive(member) {
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
	for _, object := range objects {
		address, err := strconv.Unquote(string(object.Value))
		if err != nil || address == n.settings.PeerAddress {
			continue
		}
		points = append(points, address)
	}
	return points
}

// joinRandom exchanges views with up to joinFanOut randomly chosen meeting points. It
// reports whether one exchange succeeded.
func (n *Node) joinRandom(ctx context.Context, points []string) bool {
	points = slices.Clone(points)
	n.mu.Lock()
	n.random.Shuffle(len(points), func(i, j int) { points[i], points[j] = points[j], points[i] })
	n.mu.Unlock()
	joined := false
	for _, address := range points[:min(joinFanOut, len(points))] {
		joined = n.exchangeViews(ctx, address) || joined
	}
	return joined
}

// maintainMeetingPoint writes this node's address into its meeting point object if the
// object is missing or holds no address of a live node.
func (n *Node) maintainMeetingPoint(ctx context.Context, objects []savorydeal.Object) error {
	slot := xxhash.Sum64String(string(n.self)) % meetingPointsPerDataCentre
	name := n.settings.DataCentre + "-" + strconv.FormatUint(slot, 10)
	var version int64
	for _, object := range objects {
		if object.Name != name {
			continue
		}
		version = object.Version
		address, err := strconv.Unquote(string(object.Value))
		if err == nil && n.isLiveAddress(ctx, address) {
			return nil
		}
	}
	_, err := n.store.Put(ctx, kindMeetingPoint, name, version, []byte(strconv.Quote(n.settings.PeerAddress)))
	n.metrics.countStoreCall(err)
	if errors.Is(err, savorydeal.ErrVersionConflict) {
		return nil
	}
	if err != nil {
		n.log.Info("meeting point not written", "name", name, "error", err)
	}
	return err
}

func (n *Node) isLiveAddress(ctx context.Context, address string) bool {
	live := address == n.settings.PeerAddress
	_ = n.callControl(ctx, func(c *controlState) {
		for _, member := range c.roster.Members() {
			live = live || member.PeerAddress == address && isLive(member)
		}
	})
	return live
}

// Paths of the control calls between nodes.
const (
	membersPath = "/members"
	configPath  = "/config"
)

// acceptAny accepts any response as the answer to the request.
func acceptAny(http.Header) bool { return true }

// exchangeViews sends this node's view to another node and merges the view that it
// returns.
func (n *Node) exchangeViews(ctx context.Context, address string) bool {
	var body []byte
	_ = n.callControl(ctx, func(c *controlState) { body = n.encodeView(c) })
	answer, err := n.callPeer(ctx, address, http.MethodPost, membersPath, body)
	if err != nil {
		n.log.Debug("membership views not exchanged", "peer", address, "error", err)
		return false
	}
	return n.mergeView(ctx, answer.Body, true) == nil
}

func (n *Node) callPeer(ctx context.Context, address, method, target string, body []byte) (*sdhttp.Response, error) {
	request := &sdhttp.Request{
		Method: method, Host: address, Target: target, Header: http.Header{}, Body: body, Bytes: n.controlBytes(address, target),
	}
	return n.peers.peer(address).pool.Do(ctx, request, time.Now().Add(exchangeTimeout), false, acceptAny)
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

// mergeView merges the encoded view of another node into the roster. asSnapshot is true
// if the view is the answer to this node's own exchange.
func (n *Node) mergeView(ctx context.Context, body []byte, asSnapshot bool) error {
	var view sdpeerpb.Members
	if err := proto.Unmarshal(body, &view); err != nil {
		n.log.Warn("membership view of another node not decoded", "error", err)
		return err
	}
	return n.callControl(ctx, func(c *controlState) {
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

// handleControlCall handles the control calls of other nodes: exchanges of membership
// views, configuration fetches, crash reports and probes.
func (n *Node) handleControlCall(ctx context.Context, request *sdhttp.Request) *sdhttp.Response {
	var body []byte
	switch request.Target {
	case membersPath:
		if err := n.mergeView(ctx, request.Body, false); err != nil {
			return &sdhttp.Response{Status: http.StatusBadRequest}
		}
		_ = n.callControl(ctx, func(c *controlState) { body = n.encodeView(c) })
	case configPath:
		_ = n.callControl(ctx, func(c *controlState) { body = c.encodedConfig })
		if body == nil {
			return &sdhttp.Response{Status: http.StatusNotFound}
		}
	case crashesPath:
		if err := n.handleCrashReport(request.Body); err != nil {
			return &sdhttp.Response{Status: http.StatusBadRequest}
		}
	case alivePath:
	default:
		return &sdhttp.Response{Status: http.StatusNotFound}
	}
	return &sdhttp.Response{Status: http.StatusOK, Body: body}
}
