package sdjoin_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorydeal/savorydeal"
	"github.com/savorydeal/savorydeal/internal/sdjoin"
)

var start = time.Unix(1000, 0)

// Every data centre has exactly WatchersPerDataCentre watchers.
func TestWatchersPerDataCentre(t *testing.T) {
	is := is.New(t)
	var members []savorydeal.Member
	for i := range 40 {
		members = append(members, savorydeal.Member{
			Node: savorydeal.NodeID(rune('a' + i)), State: savorydeal.MemberAlive, DataCentre: string(rune('x' + i%2)),
		})
	}
	watchers := make(map[string]int)
	for _, member := range members {
		if sdjoin.Rank(members, member) < sdjoin.WatchersPerDataCentre {
			watchers[member.DataCentre]++
		}
	}
	is.Equal(watchers, map[string]int{"x": sdjoin.WatchersPerDataCentre, "y": sdjoin.WatchersPerDataCentre})
}

// platform simulates nodes that find each other through a store. A node that reads the
// address of a started node joins it, and all nodes that joined each other know each
// other at once.
type platform struct {
	now    time.Time
	nodes  []*node
	points map[string]sdjoin.Point
	reads  int
	writes int
	// readsOfOthers counts the reads of nodes that are not watchers.
	readsOfOthers int
	views         map[int][]savorydeal.Member
	ranks         map[savorydeal.NodeID]int
}

type node struct {
	member  savorydeal.Member
	planner *sdjoin.Planner
	started bool
	// group is the set of nodes that know each other.
	group int
	// readAt is when the pending read ends, zero if there is none.
	readAt time.Time
	seen   []sdjoin.Point
}

const (
	storeDelay  = 4 * time.Millisecond
	dataCentres = 5
)

func newPlatform(count int, firstStart bool) *platform {
	p := &platform{now: start, points: make(map[string]sdjoin.Point)}
	for i := range count {
		p.add(i, firstStart)
	}
	return p
}

func (p *platform) add(i int, firstStart bool) {
	address := fmt.Sprintf("10.%d.%d.%d:7", i%dataCentres, i/250, i%250)
	n := &node{
		member: savorydeal.Member{
			Node: savorydeal.NodeID(address), PeerAddress: address, State: savorydeal.MemberAlive, DataCentre: fmt.Sprint("dc", i%dataCentres),
		},
		planner: sdjoin.New(p.now, firstStart, rand.New(rand.NewPCG(uint64(i), 9))),
		started: true, group: len(p.nodes),
	}
	p.nodes = append(p.nodes, n)
	p.changed()
}

// members returns the view of a node. It is computed once for each change of a group.
func (p *platform) members(n *node) []savorydeal.Member {
	if p.views == nil {
		p.views, p.ranks = make(map[int][]savorydeal.Member), make(map[savorydeal.NodeID]int)
		for _, other := range p.nodes {
			if other.started {
				p.views[other.group] = append(p.views[other.group], other.member)
			}
		}
	}
	return p.views[n.group]
}

// rank returns the rank of a node in its view.
func (p *platform) rank(n *node) int {
	members := p.members(n)
	rank, ok := p.ranks[n.member.Node]
	if !ok {
		rank = sdjoin.Rank(members, n.member)
		p.ranks[n.member.Node] = rank
	}
	return rank
}

// changed drops the computed views after a change of the groups.
func (p *platform) changed() {
	p.views, p.ranks = nil, nil
}

// join merges the groups of a node and of the node at an address.
func (p *platform) join(n *node, address string) {
	for _, other := range p.nodes {
		if other.member.PeerAddress != address || !other.started || other.group == n.group {
			continue
		}
		from, to := n.group, other.group
		for _, member := range p.nodes {
			if member.group == from {
				member.group = to
			}
		}
		p.changed()
	}
}

func (p *platform) step(n *node) {
	if !n.readAt.IsZero() {
		if p.now.Before(n.readAt) {
			return
		}
		n.readAt = time.Time{}
		for _, point := range n.seen {
			p.join(n, point.Address)
		}
		members := p.members(n)
		for _, write := range sdjoin.DueWrites(members, n.member, n.seen) {
			p.writes++
			if current := p.points[write.Name]; current.Version == write.Version {
				p.points[write.Name] = sdjoin.Point{Name: write.Name, Address: write.Address, Version: current.Version + 1}
			}
		}
		n.planner.ReadDone(p.now, true, len(members)-1)
		return
	}
	members := p.members(n)
	rank := p.rank(n)
	if n.planner.Next(p.now, len(members)-1, rank) != sdjoin.StepRead {
		return
	}
	p.reads++
	if rank >= sdjoin.WatchersPerDataCentre {
		p.readsOfOthers++
	}
	n.seen, n.readAt = nil, p.now.Add(storeDelay)
	for _, point := range p.points {
		n.seen = append(n.seen, point)
	}
}

func (p *platform) run(duration, tick time.Duration) {
	for end := p.now.Add(duration); p.now.Before(end); p.now = p.now.Add(tick) {
		for _, n := range p.nodes {
			if n.started {
				p.step(n)
			}
		}
	}
}

// groups returns the number of groups of started nodes.
func (p *platform) groups() int {
	groups := make(map[int]bool)
	for _, n := range p.nodes {
		if n.started {
			groups[n.group] = true
		}
	}
	return len(groups)
}

// The calls to the store for finding other nodes are about one a node when the whole
// platform starts; afterwards only the watchers read, however many nodes there are.
func TestCallsToTheStoreDoNotGrowWithTheNodes(t *testing.T) {
	for _, count := range []int{16, 85, 195} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			is := is.New(t)
			p := newPlatform(count, true)
			p.run(2*time.Second, time.Millisecond)
			is.Equal(p.groups(), 1)
			is.True(p.reads <= count+count/5+8)                           // reads at the start
			is.True(p.writes <= 3*dataCentres*sdjoin.PointsPerDataCentre) // writes at the start
			p.reads, p.writes, p.readsOfOthers = 0, 0, 0
			p.run(time.Minute, 100*time.Millisecond)
			is.Equal(p.readsOfOthers, 0)
			is.True(p.reads <= 5*dataCentres*sdjoin.WatchersPerDataCentre) // reads in a minute
			is.True(p.writes <= dataCentres*sdjoin.PointsPerDataCentre)
			is.Equal(len(p.points), min(count, dataCentres*sdjoin.PointsPerDataCentre))
		})
	}
}

// When all nodes have stopped and start again, they find each other through the points
// that they left, with one read each, and without a wait.
func TestAllNodesStartAgain(t *testing.T) {
	is := is.New(t)
	const count = 195
	p := newPlatform(count, true)
	p.run(10*time.Second, 10*time.Millisecond)
	points := p.points
	p = newPlatform(count, false)
	p.points = points
	p.run(100*time.Millisecond, time.Millisecond)
	is.Equal(p.groups(), 1)
	is.Equal(p.reads, count)
	is.Equal(p.writes, 0)
}

// When all nodes behind the meeting points are gone for good, the watchers of the rest
// replace the points, so that a node that starts later still joins.
func TestMeetingPointsOfLostNodesAreReplaced(t *testing.T) {
	is := is.New(t)
	p := newPlatform(60, true)
	p.run(15*time.Second, 10*time.Millisecond)
	lost := make(map[string]bool)
	for _, point := range p.points {
		lost[point.Address] = true
	}
	for _, n := range p.nodes {
		if lost[n.member.PeerAddress] {
			n.started = false
		}
	}
	p.changed()
	p.run(35*time.Second, 100*time.Millisecond)
	for _, point := range p.points {
		is.True(!lost[point.Address])
	}
	p.add(1000, false)
	p.run(time.Second, 10*time.Millisecond)
	is.Equal(p.groups(), 1)
}

// A node that loses all others reads the meeting points at once, and then less and less
// often.
func TestNodeThatLosesAllOthersReads(t *testing.T) {
	is := is.New(t)
	planner := sdjoin.New(start, false, rand.New(rand.NewPCG(1, 2)))
	is.Equal(planner.Next(start, 0, 0), sdjoin.StepRead)
	planner.ReadDone(start, true, 5)
	now := start.Add(20 * time.Second)
	is.Equal(planner.Next(now, 5, 9), sdjoin.StepExchange)
	is.Equal(planner.Next(now, 0, 0), sdjoin.StepRead)
	planner.ReadDone(now, false, 0)
	reads := 0
	for range 600 {
		now = now.Add(100 * time.Millisecond)
		if planner.Next(now, 0, 0) == sdjoin.StepRead {
			reads++
			planner.ReadDone(now, false, 0)
		}
	}
	is.True(reads >= 10 && reads <= 25) // reads in a minute
}
