package sdsidecar

import (
	"math"
	"time"

	"github.com/savorydeal/savorydeal"
	"github.com/savorydeal/savorydeal/internal/sdjoin"
	"github.com/savorydeal/savorydeal/internal/sdwatch"
)

// confirmationFanOut is the number of nodes of the same data centre to which a node passes
// on a confirmation at once. Each passes it on in turn, so that most nodes have it after a
// few hops; regular messages reach the others.
const confirmationFanOut = 3

// recordReport records when another node knew that the configuration in force is the newest.
func (n *Node) recordReport(c *controlState, confirmedAt time.Time) {
	c.confirmed.Report(confirmedAt)
	n.publishConfirmation(c)
}

// recordRead records this node's own read of the store, from startedAt on, that found
// nothing newer than the configuration in force at confirmedAt.
func (n *Node) recordRead(c *controlState, startedAt, confirmedAt time.Time) {
	standsIn := c.confirmed.StandsIn
	confirmedAgo := startedAt.Sub(c.confirmed.At)
	c.confirmed.Read(startedAt, confirmedAt)
	if rank := n.watchRank.Load(); rank >= sdjoin.WatchersPerDataCentre && c.confirmed.StandsIn != standsIn {
		n.log.Info("watch in place of the watchers", "active", !standsIn, "rank", rank, "confirmed_ago", confirmedAgo)
	}
	n.publishConfirmation(c)
}

func (n *Node) publishConfirmation(c *controlState) {
	confirmedAt := c.confirmed.At
	if known := n.confirmedAt.Load(); known != nil && known.Equal(confirmedAt) {
		return
	}
	n.confirmedAt.Store(&confirmedAt)
	if !sdwatch.MustSpread(confirmedAt, c.confirmationSpreadAt, n.configApply()) {
		return
	}
	c.confirmationSpreadAt = confirmedAt
	for _, address := range n.randomNeighbours(c, confirmationFanOut) {
		n.sendVersion(c, address)
	}
}

// confirmationAge returns the time since the configuration in force was last known to be
// the newest.
func (n *Node) confirmationAge() time.Duration {
	confirmedAt := n.confirmedAt.Load()
	if confirmedAt == nil {
		return math.MaxInt64
	}
	return n.clock.Now().Sub(*confirmedAt)
}

// configApply returns the time within which a new configuration has to be in force.
func (n *Node) configApply() time.Duration {
	if apply := n.reloadable.Load().bounds.ConfigApply; apply > 0 {
		return apply
	}
	return defaultConfigApply
}

// readDelay returns how long a node with a rank waits before it reads the store itself,
// unless a confirmation arrives until then.
func (n *Node) readDelay(c *controlState, rank int) time.Duration {
	if c.confirmed.StandsIn {
		return 0
	}
	since := c.confirmed.At
	if since.Before(n.started) {
		since = n.started
	}
	maxAge := sdwatch.MaxAge(n.configApply(), rank)
	if n.routes.Load() == nil {
		maxAge = maxFetchWait
		if n.settings.FirstStart {
			maxAge = firstConfigWait
		}
	}
	return maxAge - n.clock.Now().Sub(since)
}

// randomNeighbours returns the peer addresses of up to count random live nodes of this data
// centre.
func (n *Node) randomNeighbours(c *controlState, count int) []string {
	var neighbours []savorydeal.Member
	for _, member := range c.members {
		if member.Node != n.self && member.Live() && member.DataCentre == n.settings.DataCentre {
			neighbours = append(neighbours, member)
		}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	var addresses []string
	for i := range min(count, len(neighbours)) {
		j := i + n.random.IntN(len(neighbours)-i)
		neighbours[i], neighbours[j] = neighbours[j], neighbours[i]
		addresses = append(addresses, neighbours[i].PeerAddress)
	}
	return addresses
}
