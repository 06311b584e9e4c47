// Package sdplacement picks the target for a call: the less loaded of two, the
// own data centre first. It does no I/O.
package sdplacement

import (
	"slices"
	"sync"
	"time"

	"github.com/savorydeal/savorydeal"
)

// Chooser is the savorydeal.Placement of one node. It is safe for concurrent
// use.
type Chooser struct {
	dataCentre string

	mu       sync.Mutex
	random   savorydeal.Random
	services map[string][]savorydeal.Member
	load     map[savorydeal.NodeID]*nodeLoad
}

type nodeLoad struct {
	// sent counts calls of this node that are still out.
	sent   int
	signal savorydeal.LoadSignal
}

var _ savorydeal.Placement = (*Chooser)(nil)

// New returns a chooser for a node in the data centre.
func New(dataCentre string, random savorydeal.Random) *Chooser {
	return &Chooser{
		dataCentre: dataCentre,
		random:     random,
		services:   make(map[string][]savorydeal.Member),
		load:       make(map[savorydeal.NodeID]*nodeLoad),
	}
}

// Update replaces the view of members.
func (c *Chooser) Update(_ time.Time, members []savorydeal.Member) {
	services := make(map[string][]savorydeal.Member)
	known := make(map[savorydeal.NodeID]bool, len(members))
	for _, member := range members {
		known[member.Node] = true
		if member.Routable() {
			services[member.Service] = append(services[member.Service], member)
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.services = services
	for node := range c.load {
		if !known[node] {
			delete(c.load, node)
		}
	}
}

// Choose picks the less loaded of two random members, first among those of the
// own data centre that were not tried, then among those of the others, then
// among those tried before.
func (c *Chooser) Choose(_ time.Time, request savorydeal.PlacementRequest) (savorydeal.Member, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	members := c.preferred(request)
	if len(members) == 0 {
		return savorydeal.Member{}, false
	}
	chosen := members[c.random.IntN(len(members))]
	other := members[c.random.IntN(len(members))]
	if c.score(other) < c.score(chosen) {
		chosen = other
	}
	c.nodeLoad(chosen.Node).sent++
	return chosen, true
}

func (c *Chooser) preferred(request savorydeal.PlacementRequest) []savorydeal.Member {
	var local, remote, tried []savorydeal.Member
	for _, member := range c.services[request.Service] {
		switch {
		case slices.Contains(request.Tried, member.Node):
			tried = append(tried, member)
		case member.DataCentre == c.dataCentre:
			local = append(local, member)
		default:
			remote = append(remote, member)
		}
	}
	if len(local) > 0 {
		return local
	}
	if len(remote) > 0 {
		return remote
	}
	return tried
}

// score is the expected occupancy of the target: what it said last, and what
// this node has sent since.
func (c *Chooser) score(member savorydeal.Member) float64 {
	load := c.nodeLoad(member.Node)
	limit := load.signal.Limit
	if limit == 0 {
		limit = max(1, member.Slots)
	}
	return float64(load.sent+load.signal.Queued+load.signal.Running) / float64(limit)
}

func (c *Chooser) nodeLoad(node savorydeal.NodeID) *nodeLoad {
	load := c.load[node]
	if load == nil {
		load = &nodeLoad{}
		c.load[node] = load
	}
	return load
}

// Observe ends a call counted by Choose and keeps the target's signal.
func (c *Chooser) Observe(_ time.Time, observation savorydeal.PlacementObservation) {
	c.mu.Lock()
	defer c.mu.Unlock()
	load := c.nodeLoad(observation.Node)
	load.sent = max(0, load.sent-1)
	if observation.HasSignal {
		load.signal = observation.Signal
	}
}
