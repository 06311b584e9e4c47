// Package sdplacement picks the target for a call: the less loaded of two random
// targets (power of two choices). Calls stay in the node's own data centre while
// its targets have spare capacity, failing outliers are ejected, and targets that
// have just become ready start with a small share of calls. Package sdnode uses
// it; package sdsidecar uses sdbalance. It does no I/O.
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
	// signalDecayTime is the time constant of the exponential decay by which a
	// target's load signal loses its weight.
	signalDecayTime = time.Second
	// rampDuration is how long a target that has become ready gets less than
	// its full share of calls; rampStartShare is the fraction of the share that
	// it starts with.
	rampDuration   = 3 * time.Second
	rampStartShare = 0.1
	// idleStateTTL is how long a target's state is kept after its last call.
	idleStateTTL = time.Minute
	// maxCachedPools bounds the services whose pools are cached.
	maxCachedPools = 4096
)

// Options configure a chooser. The No fields turn single rules off.
type Options struct {
	// Self is the node that chooses. It selects the node's subset of targets.
	Self savorydeal.NodeID
	// DataCentre is the data centre of the node.
	DataCentre string
	// NoSpill keeps calls in the node's own data centre while it has a usable
	// target, however loaded.
	NoSpill bool
	// NoEjection keeps using targets that fail.
	NoEjection bool
	// NoRamp gives targets their full share as soon as they are ready.
	NoRamp bool
}

// Chooser is the savorydeal.Placement of one node. It is safe for concurrent
// use.
type Chooser struct {
	options Options

	mu     sync.Mutex
	random savorydeal.Random
	// members is the current view; viewHash detects whether an update changes
	// it.
	members  []savorydeal.Member
	viewHash uint64
	// pools caches the pools built since the view last changed, by service.
	pools map[string]*pool
	nodes map[savorydeal.NodeID]*nodeState
	// usableLocal and usableRemote are scratch space of one choice, kept to
	// avoid allocations.
	usableLocal  []*savorydeal.Member
	usableRemote []*savorydeal.Member
}

// pool holds the targets of one service that this node uses.
type pool struct {
	// local are targets in the node's own data centre, remote those in others.
	local  []*savorydeal.Member
	remote []*savorydeal.Member
	// all is local followed by remote.
	all []*savorydeal.Member
}

// nodeState is what this node has observed of the target at another node.
type nodeState struct {
	// inFlight counts the calls that this node has sent there and that have not
	// ended.
	inFlight         int
	signal           savorydeal.LoadSignal
	signalReceivedAt time.Time
	lastUsedAt       time.Time
	health           health
}

var _ savorydeal.Placement = (*Chooser)(nil)

// New returns a chooser without members.
func New(options Options, random savorydeal.Random) *Chooser {
	return &Chooser{
		options: options,
		random:  random,
		pools:   make(map[string]*pool),
		nodes:   make(map[savorydeal.NodeID]*nodeState),
	}
}

// Update replaces the view of members; the caller must not change the slice
// afterwards. A view equal to the last one is cheap to pass in, which matters
// since a full-size view has 35,000 members and is passed twice a second.
func (c *Chooser) Update(now time.Time, members []savorydeal.Member) {
	hash := hashMembers(members)
	c.mu.Lock()
	defer c.mu.Unlock()
	if hash == c.viewHash && len(members) == len(c.members) {
		return
	}
	c.viewHash = hash
	c.members = members
	clear(c.pools)
	for node, state := range c.nodes {
		if state.inFlight == 0 && now.Sub(state.lastUsedAt) > idleStateTTL {
			delete(c.nodes, node)
		}
	}
}

// hashMembers hashes the fields by which Update detects that a view has
// changed. The first letters of the states are enough to tell them apart: no two
// member states and no two target states share one.
func hashMembers(members []savorydeal.Member) uint64 {
	const prime = 0x9E3779B185EBCA87
	hash := uint64(len(members))
	for i := range members {
		member := &members[i]
		states := uint64(0)
		if len(member.State) > 0 && len(member.TargetState) > 0 {
			states = uint64(member.State[0])<<8 | uint64(member.TargetState[0])
		}
		for _, value := range [...]uint64{
			member.Generation, member.Incarnation, states, uint64(member.Slots), xxhash.Sum64String(member.Service),
		} {
			hash = bits.RotateLeft64(hash^value, 23) * prime
		}
	}
	return hash
}

// poolOf returns the pool of a service, from the cache if it is there.
func (c *Chooser) poolOf(service string) *pool {
	if p := c.pools[service]; p != nil {
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
	p.local = rendezvousSubset(c.options.Self, p.local)
	p.remote = rendezvousSubset(c.options.Self, p.remote)
	p.all = append(slices.Clone(p.local), p.remote...)
	if len(c.pools) < maxCachedPools {
		c.pools[service] = p
	}
	return p
}

// Choose picks a member for a call and counts the call as in flight until
// Observe is called for it. It prefers the node's own data centre and spills over
// to another one only if the first is saturated and the other has spare capacity.
// A member in request.Tried is picked only if no other is left. Choose returns
// false if the service has no routable target.
func (c *Chooser) Choose(now time.Time, request savorydeal.PlacementRequest) (savorydeal.Member, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	chosen := c.choose(now, c.poolOf(request.Service), request)
	if chosen == nil {
		return savorydeal.Member{}, false
	}
	state := c.stateOf(chosen.Node)
	state.inFlight++
	state.lastUsedAt = now
	state.health.recordProbe(now)
	return *chosen, true
}

// choose returns nil if the service has no target.
func (c *Chooser) choose(now time.Time, p *pool, request savorydeal.PlacementRequest) *savorydeal.Member {
	c.usableLocal = c.appendUsable(c.usableLocal[:0], now, p, p.local, request.Tried)
	if len(c.usableLocal) > 0 {
		chosen := c.lessLoaded(now, c.usableLocal)
		if c.isSaturated(now, chosen) {
			if spilled := c.spillTarget(now, p, request); spilled != nil {
				return spilled
			}
		}
		return chosen
	}
	c.usableRemote = c.appendUsable(c.usableRemote[:0], now, p, p.remote, request.Tried)
	if len(c.usableRemote) > 0 {
		return c.lessLoaded(now, c.usableRemote)
	}
	// All remaining targets are ejected or were tried. One of them is still
	// better than none; those that were not tried are preferred.
	for _, member := range p.all {
		if !slices.Contains(request.Tried, member.Node) {
			c.usableRemote = append(c.usableRemote, member)
		}
	}
	if len(c.usableRemote) > 0 {
		return c.lessLoaded(now, c.usableRemote)
	}
	if len(p.all) > 0 {
		return c.lessLoaded(now, p.all)
	}
	return nil
}

// appendUsable appends to usable the members that were not tried and are not
// ejected.
func (c *Chooser) appendUsable(usable []*savorydeal.Member, now time.Time, p *pool, members []*savorydeal.Member, tried []savorydeal.NodeID) []*savorydeal.Member {
	for _, member := range members {
		if !slices.Contains(tried, member.Node) && !c.isEjected(now, p, member.Node) {
			usable = append(usable, member)
		}
	}
	return usable
}

// lessLoaded returns the less loaded of two members drawn at random. members
// must not be empty.
func (c *Chooser) lessLoaded(now time.Time, members []*savorydeal.Member) *savorydeal.Member {
	first := c.random.IntN(len(members))
	if len(members) == 1 {
		return members[first]
	}
	second := c.random.IntN(len(members) - 1)
	if second >= first {
		second++
	}
	if c.occupancy(now, members[second]) < c.occupancy(now, members[first]) {
		return members[second]
	}
	return members[first]
}

// occupancy estimates the calls at the target, the new one included, as a
// multiple of its concurrency limit. The calls are those in flight from this
// node or those in the target's last load signal, decayed by its age, whichever
// are more. While the target ramps up, only a fraction of its limit counts.
func (c *Chooser) occupancy(now time.Time, member *savorydeal.Member) float64 {
	state := c.stateOf(member.Node)
	limit := float64(state.signal.Limit)
	if state.signal.Limit == 0 {
		limit = float64(max(1, member.Slots))
	}
	weight := math.Exp(-now.Sub(state.signalReceivedAt).Seconds() / signalDecayTime.Seconds())
	reported := weight * float64(state.signal.Running+state.signal.Queued)
	return (1 + max(float64(state.inFlight), reported)) / (limit * c.rampShare(now, member))
}

// rampShare returns the fraction of its full share of calls that a target gets,
// from rampStartShare when it becomes ready to 1 after rampDuration.
func (c *Chooser) rampShare(now time.Time, member *savorydeal.Member) float64 {
	age := now.Sub(member.ReadySince)
	if c.options.NoRamp || member.ReadySince.IsZero() || age >= rampDuration {
		return 1
	}
	return rampStartShare + (1-rampStartShare)*max(0, float64(age)/float64(rampDuration))
}

// stateOf returns the state of a node's target and creates it if there is none.
func (c *Chooser) stateOf(node savorydeal.NodeID) *nodeState {
	state := c.nodes[node]
	if state == nil {
		state = &nodeState{}
		c.nodes[node] = state
	}
	return state
}

// Observe ends a call that Choose has counted, and updates the target's load
// signal and health from its outcome.
func (c *Chooser) Observe(now time.Time, observation savorydeal.PlacementObservation) {
	c.mu.Lock()
	defer c.mu.Unlock()
	state := c.stateOf(observation.Node)
	state.lastUsedAt = now
	state.inFlight = max(0, state.inFlight-1)
	if observation.HasSignal && observation.Signal.Limit > 0 {
		state.signal = observation.Signal
		state.signalReceivedAt = now
	}
	c.recordOutcome(now, state, observation)
}
