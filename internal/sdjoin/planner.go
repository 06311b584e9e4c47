// Package sdjoin decides when a node looks for other nodes: when it reads the meeting
// points from the platform's store, when it exchanges views with a node that it knows,
// and which meeting points it writes. The number of calls to the store is about one
// for each start of a node, and otherwise independent of the number of nodes. The
// package does no I/O.
package sdjoin

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/savorydeal/savorydeal"
)

const (
	// WatchersPerDataCentre is the number of nodes in each data centre that read the
	// store regularly: those with a rank below it.
	WatchersPerDataCentre = 2
	// PointsPerDataCentre is the number of meeting points in each data centre.
	PointsPerDataCentre = 4
	// firstStartSpread is the time over which nodes spread their first read when the
	// whole platform starts for the first time. The first ones find no meeting point
	// and write one, and all later ones join through it.
	firstStartSpread = time.Second
	// exchangeInterval is the time between two exchanges of full views.
	exchangeInterval = 10 * time.Second
	// startupPhase is the time after the start in which a watcher reads the meeting
	// points every startupReadInterval, and after it every settledReadInterval.
	startupPhase        = 30 * time.Second
	startupReadInterval = 10 * time.Second
	settledReadInterval = 30 * time.Second
	// minRetry and maxRetry bound the mean time between two reads while the node
	// knows no other one or the store does not answer. The time doubles with each
	// read.
	minRetry = 400 * time.Millisecond
	maxRetry = 5 * time.Second
)

// Step is what the node does next.
type Step string

// Steps.
const (
	StepWait Step = "wait"
	// StepRead reads the meeting points from the store, exchanges views with some of
	// them, and writes those that are due (see DueWrites).
	StepRead Step = "read"
	// StepExchange exchanges views with a random live node.
	StepExchange Step = "exchange"
)

// Planner holds the schedule of one node. It is not safe for concurrent use.
type Planner struct {
	random       savorydeal.Random
	startedAt    time.Time
	nextRead     time.Time
	nextExchange time.Time
	// retry is the mean time to the next read while the node is alone.
	retry time.Duration
	// alone is true if the node knew no other one after its last read.
	alone bool
}

// New returns a Planner for a node that starts at now. firstStart is true if the whole
// platform starts for the first time, so that no caller waits for the node yet.
func New(now time.Time, firstStart bool, random savorydeal.Random) *Planner {
	p := &Planner{random: random, startedAt: now, nextRead: now, nextExchange: now.Add(exchangeInterval), retry: minRetry}
	if firstStart {
		p.nextRead = now.Add(p.fraction(firstStartSpread))
	}
	return p
}

// fraction returns a random duration in [0, d).
func (p *Planner) fraction(d time.Duration) time.Duration {
	return time.Duration(p.random.Float64() * float64(d))
}

// Next returns the step that is due now for a node that knows a number of other live
// nodes and has a rank among the live nodes of its data centre.
func (p *Planner) Next(now time.Time, otherNodes, rank int) Step {
	lostOthers := otherNodes == 0 && !p.alone
	gainedOthers := otherNodes > 0 && p.alone
	switch {
	case lostOthers && now.Sub(p.startedAt) > firstStartSpread:
		p.alone = true
		p.retry = minRetry
		return StepRead
	case gainedOthers:
		// Another node has found this one: there is no need to read again.
		p.alone = false
		p.nextRead = now.Add(p.readInterval(now))
	}
	switch {
	case !now.Before(p.nextRead) && (otherNodes == 0 || rank < WatchersPerDataCentre):
		return StepRead
	case otherNodes > 0 && !now.Before(p.nextExchange):
		p.nextExchange = now.Add(exchangeInterval)
		return StepExchange
	}
	return StepWait
}

func (p *Planner) readInterval(now time.Time) time.Duration {
	if now.Sub(p.startedAt) < startupPhase {
		return startupReadInterval
	}
	return settledReadInterval
}

// ReadDone records a read of the meeting points at now: whether the store answered,
// and how many other live nodes are known afterwards.
func (p *Planner) ReadDone(now time.Time, answered bool, otherNodes int) {
	p.alone = otherNodes == 0
	if answered && !p.alone {
		p.retry = minRetry
		p.nextRead = now.Add(p.readInterval(now))
		return
	}
	p.nextRead = now.Add(p.retry/2 + p.fraction(p.retry))
	p.retry = min(maxRetry, 2*p.retry)
}

// compareRank orders nodes by the hash of their IDs.
func compareRank(a, b savorydeal.Member) int {
	return cmp.Compare(xxhash.Sum64String(string(a.Node)), xxhash.Sum64String(string(b.Node)))
}

// Rank returns the rank of a node, from 0, among the live members of its data centre
// ordered by the hash of their IDs.
func Rank(members []savorydeal.Member, self savorydeal.Member) int {
	rank := 0
	for _, member := range members {
		if member.Node != self.Node && member.Live() && member.DataCentre == self.DataCentre && compareRank(member, self) < 0 {
			rank++
		}
	}
	return rank
}

// Write is a meeting point to write to the store.
type Write struct {
	Name    string
	Address string
	// Version is the version of the object to replace, 0 if there is none.
	Version int64
}

// Point is a meeting point in the store: the peer address of a node.
type Point struct {
	Name    string
	Address string
	Version int64
}

// DueWrites returns the meeting points of its data centre that a node has to write:
// the watchers replace those that are missing or hold no address of a live node, each
// another part of them, by the addresses of the nodes with the lowest ranks.
func DueWrites(members []savorydeal.Member, self savorydeal.Member, points []Point) []Write {
	rank := Rank(members, self)
	if rank >= WatchersPerDataCentre {
		return nil
	}
	byRank := []savorydeal.Member{self}
	for _, member := range members {
		if member.Node != self.Node && member.Live() && member.DataCentre == self.DataCentre {
			byRank = append(byRank, member)
		}
	}
	slices.SortFunc(byRank, compareRank)
	var writes []Write
	for slot := rank; slot < min(PointsPerDataCentre, len(byRank)); slot += WatchersPerDataCentre {
		name := self.DataCentre + "-" + strconv.Itoa(slot)
		index := slices.IndexFunc(points, func(p Point) bool { return p.Name == name })
		write := Write{Name: name, Address: byRank[slot].PeerAddress}
		if index >= 0 {
			if holdsLive(members, self, points[index].Address) {
				continue
			}
			write.Version = points[index].Version
		}
		writes = append(writes, write)
	}
	return writes
}

func holdsLive(members []savorydeal.Member, self savorydeal.Member, address string) bool {
	return address == self.PeerAddress || slices.ContainsFunc(members, func(m savorydeal.Member) bool {
		return m.PeerAddress == address && m.Live()
	})
}
