// Package sdplacement picks the target for a call: the less loaded of two, in
// the own data centre while it has room, with outliers ejected and cold targets
// ramped. It does no I/O.
package sdplacement

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/savorydeal/savorydeal"
)

const (
	// signalTime is the time constant in which a target's word on its load
	// loses its weight.
	signalTime = time.Second
	// rampTime is how long a target that has become ready gets less than its
	// share, rampStart the part of its share that it begins with.
	rampTime  = 3 * time.Second
	rampStart = 0.1
)

// Options say where a chooser stands. The switches turn single rules off.
type Options struct {
	Self       savorydeal.NodeID
	DataCentre string
	// NoSpill keeps calls in the own data centre while it has a target.
	NoSpill bool
	// NoEjection goes on using targets that fail.
	NoEjection bool
	// NoRamp gives cold targets their whole share.
	NoRamp bool
}

// Chooser is the savorydeal.Placement of one node. It is safe for concurrent
// use.
type Chooser struct {
	options Options

	mu       sync.Mutex
	random   savorydeal.Random
	services map[string]*pool
	nodes    map[savorydeal.NodeID]*nodeState
}

// pool is the targets of one service that this node uses.
type pool struct {
	local  []savorydeal.Member
	remote []savorydeal.Member
}

func (p *pool) all() []savorydeal.Member {
	return append(slices.Clone(p.local), p.remote...)
}

type nodeState struct {
	// sent counts calls of this node that are still out.
	sent     int
	signal   savorydeal.LoadSignal
	signalAt time.Time
	health   health
}

var _ savorydeal.Placement = (*Chooser)(nil)

// New returns a chooser without members.
func New(options Options, random savorydeal.Random) *Chooser {
	return &Chooser{
		options:  options,
		random:   random,
		services: make(map[string]*pool),
		nodes:    make(map[savorydeal.NodeID]*nodeState),
	}
}

// Update replaces the view of members.
func (c *Chooser) Update(_ time.Time, members []savorydeal.Member) {
	services := make(map[string]*pool)
	known := make(map[savorydeal.NodeID]bool, len(members))
	for _, member := range members {
		known[member.Node] = true
		if !member.Routable() {
			continue
		}
		p := services[member.Service]
		if p == nil {
			p = &pool{}
			services[member.Service] = p
		}
		if member.DataCentre == c.options.DataCentre {
			p.local = append(p.local, member)
		} else {
			p.remote = append(p.remote, member)
		}
	}
	for _, p := range services {
		p.local = subset(c.options.Self, p.local)
		p.remote = subset(c.options.Self, p.remote)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.services = services
	for node := range c.nodes {
		if !known[node] {
			delete(c.nodes, node)
		}
	}
}

// Choose picks a member: one of the own data centre, one of another if the own
// has no room and the other does, and only then one that was tried before.
func (c *Chooser) Choose(now time.Time, request savorydeal.PlacementRequest) (savorydeal.Member, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.services[request.Service]
	if p == nil {
		return savorydeal.Member{}, false
	}
	chosen, ok := c.choose(now, p, request)
	if !ok {
		return savorydeal.Member{}, false
	}
	state := c.state(chosen.Node)
	state.sent++
	state.health.sent(now)
	return chosen, true
}

func (c *Chooser) choose(now time.Time, p *pool, request savorydeal.PlacementRequest) (savorydeal.Member, bool) {
	local := c.usable(now, p, p.local, request.Tried)
	remote := c.usable(now, p, p.remote, request.Tried)
	if len(local) > 0 {
		chosen := c.better(now, local)
		if other, ok := c.spill(now, chosen, remote); ok {
			return other, true
		}
		return chosen, true
	}
	if len(remote) > 0 {
		return c.better(now, remote), true
	}
	// Whatever is left has failed or been tried; a bad target beats none.
	all := p.all()
	untried := slices.DeleteFunc(slices.Clone(all), func(m savorydeal.Member) bool { return slices.Contains(request.Tried, m.Node) })
	if len(untried) > 0 {
		return c.better(now, untried), true
	}
	if len(all) > 0 {
		return c.better(now, all), true
	}
	return savorydeal.Member{}, false
}

// usable returns the members that were not tried and are not ejected.
func (c *Chooser) usable(now time.Time, p *pool, members []savorydeal.Member, tried []savorydeal.NodeID) []savorydeal.Member {
	usable := make([]savorydeal.Member, 0, len(members))
	for _, member := range members {
		if slices.Contains(tried, member.Node) || c.ejected(now, p, member.Node) {
			continue
		}
		usable = append(usable, member)
	}
	return usable
}

// better returns the less loaded of two random members.
func (c *Chooser) better(now time.Time, members []savorydeal.Member) savorydeal.Member {
	first := c.random.IntN(len(members))
	if len(members) == 1 {
		return members[first]
	}
	second := c.random.IntN(len(members) - 1)
	if second >= first {
		second++
	}
	if c.score(now, members[second]) < c.score(now, members[first]) {
		return members[second]
	}
	return members[first]
}

// score is the expected occupancy of the target: what this node has out, and
// what the target said last, as far as that is fresh.
func (c *Chooser) score(now time.Time, member savorydeal.Member) float64 {
	state := c.state(member.Node)
	limit := float64(state.signal.Limit)
	if state.signal.Limit == 0 {
		limit = float64(max(1, member.Slots))
	}
	fresh := math.Exp(-now.Sub(state.signalAt).Seconds() / signalTime.Seconds())
	said := fresh * float64(state.signal.Running+state.signal.Queued)
	return (1 + max(float64(state.sent), said)) / (limit * c.ramp(now, member))
}

// ramp is the part of its share that a target gets by the time it is ready.
func (c *Chooser) ramp(now time.Time, member savorydeal.Member) float64 {
	age := now.Sub(member.ReadySince)
	if c.options.NoRamp || member.ReadySince.IsZero() || age >= rampTime {
		return 1
	}
	return rampStart + (1-rampStart)*max(0, float64(age)/float64(rampTime))
}

func (c *Chooser) state(node savorydeal.NodeID) *nodeState {
	state := c.nodes[node]
	if state == nil {
		state = &nodeState{}
		c.nodes[node] = state
	}
	return state
}

// Observe ends a call counted by Choose and keeps what it showed.
func (c *Chooser) Observe(now time.Time, observation savorydeal.PlacementObservation) {
	c.mu.Lock()
	defer c.mu.Unlock()
	state := c.state(observation.Node)
	state.sent = max(0, state.sent-1)
	if observation.HasSignal && observation.Signal.Limit > 0 {
		state.signal = observation.Signal
		state.signalAt = now
	}
	c.judge(now, state, observation)
}
