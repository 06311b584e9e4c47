// Package sdroster keeps a node's view of the other nodes. Every node raises
// its own incarnation at each tick and sends its view to a few others; a member
// whose incarnation stands still is dead. It does no I/O.
package sdroster

import (
	"slices"
	"strings"
	"time"

	"github.com/savorydeal/savorydeal"
)

const (
	// TickInterval is the time between two ticks.
	TickInterval = 500 * time.Millisecond
	// fanOut is the number of members a view is sent to at each tick.
	fanOut = 2
	// deadAfter is how long a member may stand still.
	deadAfter = 4 * time.Second
	// forgetAfter is how long a dead member is remembered, so that an old
	// view cannot bring it back.
	forgetAfter = time.Minute
)

// Send asks the node to send this roster's view to an address.
type Send struct {
	Address string
}

type entry struct {
	member savorydeal.Member
	heard  time.Time
}

// Roster is one node's view. One goroutine owns it.
type Roster struct {
	self          savorydeal.Member
	meetingPoints []string
	random        savorydeal.Random
	others        map[savorydeal.NodeID]*entry
}

// New returns a view that holds only the node itself. meetingPoints are peer
// addresses to try while others are few.
func New(self savorydeal.Member, meetingPoints []string, random savorydeal.Random) *Roster {
	self.State = savorydeal.MemberAlive
	return &Roster{
		self:          self,
		meetingPoints: meetingPoints,
		random:        random,
		others:        make(map[savorydeal.NodeID]*entry),
	}
}

// SetTarget sets what this node says of its target.
func (r *Roster) SetTarget(service string, state savorydeal.TargetState, slots int, readySince time.Time) {
	r.self.Service = service
	r.self.TargetState = state
	r.self.Slots = slots
	r.self.ReadySince = readySince
	r.self.Incarnation++
}

// Leave marks this node as left.
func (r *Roster) Leave() {
	r.self.State = savorydeal.MemberLeft
	r.self.Incarnation++
}

// Tick ages the view and returns whom to send it to.
func (r *Roster) Tick(now time.Time) []Send {
	if r.self.State == savorydeal.MemberAlive {
		r.self.Incarnation++
	}
	for node, other := range r.others {
		silent := now.Sub(other.heard)
		if other.member.State == savorydeal.MemberAlive && silent > deadAfter {
			other.member.State = savorydeal.MemberDead
		}
		if silent > forgetAfter {
			delete(r.others, node)
		}
	}
	return r.sends()
}

func (r *Roster) sends() []Send {
	addresses := make([]string, 0, len(r.others))
	for _, other := range r.others {
		if other.member.State == savorydeal.MemberAlive {
			addresses = append(addresses, other.member.PeerAddress)
		}
	}
	slices.Sort(addresses)
	var sends []Send
	for range min(fanOut, len(addresses)) {
		i := r.random.IntN(len(addresses))
		sends = append(sends, Send{Address: addresses[i]})
		addresses = slices.Delete(addresses, i, i+1)
	}
	if point, ok := r.meetingPoint(); ok {
		sends = append(sends, Send{Address: point})
	}
	return sends
}

// meetingPoint picks one of the meeting points at every tick, so that two
// halves of a cut fleet find each other again.
func (r *Roster) meetingPoint() (string, bool) {
	if len(r.meetingPoints) == 0 {
		return "", false
	}
	point := r.meetingPoints[r.random.IntN(len(r.meetingPoints))]
	return point, point != r.self.PeerAddress
}

// Merge takes another node's view. It reports whether the state of a member
// changed.
func (r *Roster) Merge(now time.Time, members []savorydeal.Member) bool {
	changed := false
	for _, member := range members {
		if r.mergeOne(now, member) {
			changed = true
		}
	}
	return changed
}

func (r *Roster) mergeOne(now time.Time, member savorydeal.Member) bool {
	if member.Node == r.self.Node || member.Node == "" {
		return false
	}
	known := r.others[member.Node]
	if known == nil {
		if member.State == savorydeal.MemberDead {
			return false
		}
		r.others[member.Node] = &entry{member: member, heard: now}
		return true
	}
	if !newer(member, known.member) {
		return false
	}
	changed := routing(member) != routing(known.member)
	known.member = member
	known.heard = now
	return changed
}

// newer compares generations first: a reborn VM with the same address starts
// its incarnations anew.
func newer(a, b savorydeal.Member) bool {
	if a.Generation != b.Generation {
		return a.Generation > b.Generation
	}
	return a.Incarnation > b.Incarnation && a.State != savorydeal.MemberDead
}

type routingView struct {
	generation uint64
	state      savorydeal.MemberState
	target     savorydeal.TargetState
	service    string
	slots      int
}

func routing(member savorydeal.Member) routingView {
	return routingView{
		generation: member.Generation,
		state:      member.State,
		target:     member.TargetState,
		service:    member.Service,
		slots:      member.Slots,
	}
}

// Self returns this node's own entry.
func (r *Roster) Self() savorydeal.Member {
	return r.self
}

// Members returns the view, this node first, the others sorted by name.
func (r *Roster) Members() []savorydeal.Member {
	members := make([]savorydeal.Member, 0, len(r.others)+1)
	for _, other := range r.others {
		members = append(members, other.member)
	}
	slices.SortFunc(members, func(a, b savorydeal.Member) int {
		return strings.Compare(string(a.Node), string(b.Node))
	})
	return append([]savorydeal.Member{r.self}, members...)
}
