// Package sdplacement picks the target for a call: the less loaded of two, in
// the own data centre while it has room, with outliers ejected and cold targets
// ramped. It does no I/O.
package sdplacement

import (
	"math"
	"math/bits"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

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
	// forgetTime is how long what is known of a target outlives its use.
	forgetTime = time.Minute
	// maxPools bounds the services kept ready to choose from.
	maxPools = 4096
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

	mu     sync.Mutex
	random savorydeal.Random
	// members is the present view; view tells it from others.
	members []savorydeal.Member
	view    uint64
	// services holds the pools that were asked for since the view changed.
	services map[string]*pool
	nodes    map[savorydeal.NodeID]*nodeState
	// local and remote are used within one choice.
	local  []*savorydeal.Member
	remote []*savorydeal.Member
}

// pool is the targets of one service that this node uses.
type pool struct {
	local  []*savorydeal.Member
	remote []*savorydeal.Member
	// all holds both.
	all []*savorydeal.Member
}

type nodeState struct {
	// sent counts calls of this node that are still out.
	sent     int
	signal   savorydeal.LoadSignal
	signalAt time.Time
	usedAt   time.Time
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

// Update replaces the view of members, which must not change afterwards. A view
// that says the same as the last costs little: at full size it has 35,000
// members, and comes twice a second.
func (c *Chooser) Update(now time.Time, members []savorydeal.Member) {
	view := fingerprint(members)
	c.mu.Lock()
	defer c.mu.Unlock()
	if view == c.view && len(members) == len(c.members) {
		return
	}
	c.view = view
	c.members = members
	clear(c.services)
	for node, state := range c.nodes {
		if state.sent == 0 && now.Sub(state.usedAt) > forgetTime {
			delete(c.nodes, node)
		}
	}
}

// fingerprint hashes what placement depends on. Strings of states differ in
// their first letters.
func fingerprint(members []savorydeal.Member) uint64 {
	const prime = 0x9E3779B185EBCA87
	hash := uint64(len(members))
	for i := range members {
		member := &members[i]
		states := uint64(0)
		if len(member.State) > 0 && len(member.TargetState) > 0 {
			states = uint64(member.State[0])<<8 | uint64(member.TargetState[0])
		}
		for _, part := range [...]uint64{
			member.Generation, member.Incarnation, states, uint64(member.Slots), xxhash.Sum64String(member.Service),
		} {
			hash = bits.RotateLeft64(hash^part, 23) * prime
		}
	}
	return hash
}

// pool returns the targets of a service.
func (c *Chooser) pool(service string) *pool {
	if p := c.services[service]; p != nil {
		return p
	}
	p := &pool{}
	for i := range c.members {
		member := &c.members[i]
		if member.Service != service || !member.Routable() {
			continue
		}
		if member.DataCentre == c.options.DataCentre {
			p.local = append(p.local, member)
		} else {
			p.remote = append(p.remote, member)
		}
	}
	p.local = subset(c.options.Self, p.local)
	p.remote = subset(c.options.Self, p.remote)
	p.all = append(slices.Clone(p.local), p.remote...)
	if len(c.services) < maxPools {
		c.services[service] = p
	}
	return p
}

// Choose picks a member: one of the own data centre, one of another if the own
// has no room and the other does, and only then one that was tried before.
func (c *Chooser) Choose(now time.Time, request savorydeal.PlacementRequest) (savorydeal.Member, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	chosen := c.choose(now, c.pool(request.Service), request)
	if chosen == nil {
		return savorydeal.Member{}, false
	}
	state := c.state(chosen.Node)
	state.sent++
	state.usedAt = now
	state.health.sent(now)
	return *chosen, true
}

// choose returns nil if the service has no target.
func (c *Chooser) choose(now time.Time, p *pool, request savorydeal.PlacementRequest) *savorydeal.Member {
	c.local = c.usable(c.local[:0], now, p, p.local, request.Tried)
	if len(c.local) > 0 {
		chosen := c.better(now, c.local)
		if c.full(now, chosen) {
			if other := c.neighbour(now, p, request); other != nil {
				return other
			}
		}
		return chosen
	}
	c.remote = c.usable(c.remote[:0], now, p, p.remote, request.Tried)
	if len(c.remote) > 0 {
		return c.better(now, c.remote)
	}
	// Whatever is left has failed or been tried; a bad target beats none.
	for _, member := range p.all {
		if !slices.Contains(request.Tried, member.Node) {
			c.remote = append(c.remote, member)
		}
	}
	if len(c.remote) > 0 {
		return c.better(now, c.remote)
	}
	if len(p.all) > 0 {
		return c.better(now, p.all)
	}
	return nil
}

// usable appends the members that were not tried and are not ejected.
func (c *Chooser) usable(usable []*savorydeal.Member, now time.Time, p *pool, members []*savorydeal.Member, tried []savorydeal.NodeID) []*savorydeal.Member {
	for _, member := range members {
		if !slices.Contains(tried, member.Node) && !c.ejected(now, p, member.Node) {
			usable = append(usable, member)
		}
	}
	return usable
}

// better returns the less loaded of two random members.
func (c *Chooser) better(now time.Time, members []*savorydeal.Member) *savorydeal.Member {
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
func (c *Chooser) score(now time.Time, member *savorydeal.Member) float64 {
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
func (c *Chooser) ramp(now time.Time, member *savorydeal.Member) float64 {
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
	state.usedAt = now
	state.sent = max(0, state.sent-1)
	if observation.HasSignal && observation.Signal.Limit > 0 {
		state.signal = observation.Signal
		state.signalAt = now
	}
	c.judge(now, state, observation)
}
