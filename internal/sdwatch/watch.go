// Package sdwatch decides when a node reads the configuration from the platform's store.
// The watchers of a data centre always watch it. Any other node relies on confirmations:
// statements of some node that it has read the store and found nothing newer. If these
// stop, for instance because the watchers are cut off from the store, other nodes take over
// before a new configuration could be late. The package does no I/O.
package sdwatch

import (
	"time"

	"github.com/savorydeal/savorydeal"
	"github.com/savorydeal/savorydeal/internal/sdjoin"
)

const (
	// waitShare is the share of the apply time that one watch waits for a change at most. A
	// store that has dropped its history may keep a watch waiting that has missed a change.
	waitShare = 0.5
	// waitSpread is the share of a wait that is random, so that the watchers of a data centre
	// do not confirm at the same times.
	waitSpread = 0.2
	// firstReadShare is the share of the apply time after which the first node after the
	// watchers reads the store. It is above waitShare, so that the confirmations of the
	// watchers arrive first. The first staggeredReaders follow each other by readShareStep.
	firstReadShare   = 0.65
	readShareStep    = 0.05
	staggeredReaders = 3
	// lastReadShare leaves time for the read itself, and for passing on what it returns.
	lastReadShare = 0.8
	// groupSize is the number of nodes that read after lastReadShare. Further groups of as
	// many follow groupDelay later each: a store that is down gets few calls, however many
	// nodes there are.
	groupSize  = 8
	groupDelay = 300 * time.Millisecond
	// spreadShare is the share of the apply time by which a confirmation has to be later
	// than the one known before for a node to pass it on at once.
	spreadShare = 0.125
	// echoTolerance is above the error of a node's own confirmation that returns to it
	// through other nodes.
	echoTolerance = 100 * time.Millisecond
)

// Confirmations are what a node knows of the times at which the configuration in force there
// was the newest.
type Confirmations struct {
	// At is the latest of all, ReportedAt the latest that another node has reported.
	At, ReportedAt time.Time
	// StandsIn is true if this node has read the store, and no other node has confirmed the
	// configuration meanwhile. One that is no watcher by its rank has to continue then.
	StandsIn bool
}

// Read records this node's own read of the store, from startedAt on, that has confirmed the
// configuration at confirmedAt.
func (c *Confirmations) Read(startedAt, confirmedAt time.Time) {
	c.StandsIn = c.ReportedAt.Sub(startedAt) < echoTolerance
	c.confirm(confirmedAt)
}

// Report records a confirmation by another node.
func (c *Confirmations) Report(confirmedAt time.Time) {
	if confirmedAt.After(c.ReportedAt) {
		c.ReportedAt = confirmedAt
	}
	c.confirm(confirmedAt)
}

func (c *Confirmations) confirm(confirmedAt time.Time) {
	if confirmedAt.After(c.At) {
		c.At = confirmedAt
	}
}

// Wait returns how long one watch waits for a change if a new configuration has to be in
// force within apply.
func Wait(apply time.Duration, random savorydeal.Random) time.Duration {
	return share(apply, waitShare*(1-waitSpread*random.Float64()))
}

// MaxAge returns the age of the last confirmation at which a node with a rank in its data
// centre reads the store itself; 0 for the watchers.
func MaxAge(apply time.Duration, rank int) time.Duration {
	follower := rank - sdjoin.WatchersPerDataCentre
	switch {
	case follower < 0:
		return 0
	case follower < staggeredReaders:
		return share(apply, firstReadShare+float64(follower)*readShareStep)
	}
	group := (follower - staggeredReaders) / groupSize
	return share(apply, lastReadShare) + time.Duration(group)*groupDelay
}

// MustSpread reports whether a confirmation is so much later than the last one that a node
// passed on that it has to pass it on at once, not with its next regular messages.
func MustSpread(confirmedAt, spreadAt time.Time, apply time.Duration) bool {
	return confirmedAt.Sub(spreadAt) >= share(apply, spreadShare)
}

func share(d time.Duration, of float64) time.Duration { return time.Duration(of * float64(d)) }
