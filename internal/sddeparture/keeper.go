package sddeparture

import (
	"time"

	"github.com/savorydeal/savorydeal"
)

const (
	// notifiedPeers is the number of other nodes that are told of a departure, in as many
	// data centres as possible.
	notifiedPeers = 4
	// enoughPeers is the number of them that have to confirm it.
	enoughPeers = 2
	// minRetry and maxRetry bound the time until a failed call is repeated. For the store
	// it doubles with each failure; another node is asked again after minRetry.
	minRetry = 200 * time.Millisecond
	maxRetry = 5 * time.Second
)

// Level tells who besides this process knows of the VM's departures.
type Level string

// Levels.
const (
	LevelNone Level = "none"
	// LevelPart means that either the store holds them or at least one other node has
	// confirmed them.
	LevelPart Level = "part"
	// LevelFull means that the store holds them and enough other nodes have confirmed them.
	LevelFull Level = "full"
)

// Action is a call to make: to another node, or to the store if Peer has no address.
type Action struct {
	Peer savorydeal.Member
	// Version is the version of the set to send.
	Version int
	// round is the keeper's round in which the call began.
	round int
}

// ToStore reports whether the action is a call to the store.
func (a Action) ToStore() bool { return a.Peer.PeerAddress == "" }

// Keeper decides who is told of the departures of one VM. They are kept at two places: by
// other nodes, for a restart of this one while the store does not answer, and by the
// store, for a restart of all nodes. It is not safe for concurrent use.
type Keeper struct {
	random savorydeal.Random
	// version is the version of the set to keep, 0 if there is none.
	version int
	// stored is the version that the store holds.
	stored     int
	storing    bool
	nextStore  time.Time
	storeRetry time.Duration
	// round rises each time the store may have lost the set. The result of a call to the
	// store that began in an earlier round does not count.
	round int
	// peers holds the nodes that were told.
	peers map[savorydeal.NodeID]peerState
}

type peerState struct {
	confirmed int
	sending   bool
	next      time.Time
}

// NewKeeper returns a Keeper for a VM without departures.
func NewKeeper(random savorydeal.Random) *Keeper {
	return &Keeper{random: random, storeRetry: minRetry, peers: make(map[savorydeal.NodeID]peerState)}
}

// Require sets the version of the set to keep.
func (k *Keeper) Require(version int) {
	if version > k.version {
		k.version = version
		k.nextStore, k.storeRetry = time.Time{}, minRetry
	}
}

// Next returns the calls that are due. others are the other members.
func (k *Keeper) Next(now time.Time, others []savorydeal.Member) []Action {
	var actions []Action
	if k.stored < k.version && !k.storing && !now.Before(k.nextStore) {
		k.storing = true
		actions = append(actions, Action{Version: k.version, round: k.round})
	}
	return append(actions, k.notifications(now, others)...)
}

// notifications returns the calls that are due to other nodes.
func (k *Keeper) notifications(now time.Time, others []savorydeal.Member) []Action {
	needed := min(notifiedPeers, k.countAlive(others))
	perDataCentre := make(map[string]int)
	var candidates []savorydeal.Member
	for _, member := range others {
		state := k.peers[member.Node]
		switch {
		case member.State != savorydeal.MemberAlive:
		case state.sending, state.confirmed >= k.version:
			needed--
			perDataCentre[member.DataCentre]++
		case !now.Before(state.next):
			candidates = append(candidates, member)
		}
	}
	var actions []Action
	for ; needed > 0 && len(candidates) > 0; needed-- {
		index := k.choose(candidates, perDataCentre)
		peer := candidates[index]
		candidates[index] = candidates[len(candidates)-1]
		candidates = candidates[:len(candidates)-1]
		perDataCentre[peer.DataCentre]++
		state := k.peers[peer.Node]
		state.sending = true
		k.peers[peer.Node] = state
		actions = append(actions, Action{Peer: peer, Version: k.version})
	}
	return actions
}

// choose returns the index of a random candidate among those in the data centres with the
// fewest notified nodes.
func (k *Keeper) choose(candidates []savorydeal.Member, perDataCentre map[string]int) int {
	chosen, equal := 0, 0
	for i, candidate := range candidates {
		switch count, fewest := perDataCentre[candidate.DataCentre], perDataCentre[candidates[chosen].DataCentre]; {
		case i > 0 && count > fewest:
		case i == 0 || count < fewest:
			chosen, equal = i, 1
		default:
			equal++
			if k.random.IntN(equal) == 0 {
				chosen = i
			}
		}
	}
	return chosen
}

// Done records the end of a call.
func (k *Keeper) Done(now time.Time, action Action, err error) {
	if action.ToStore() {
		if action.round != k.round {
			return
		}
		k.storing = false
		if err == nil {
			k.stored, k.storeRetry = max(k.stored, action.Version), minRetry
			return
		}
		k.nextStore = now.Add(k.storeRetry)
		k.storeRetry = min(maxRetry, 2*k.storeRetry)
		return
	}
	state := k.peers[action.Peer.Node]
	state.sending = false
	if err == nil {
		state.confirmed = max(state.confirmed, action.Version)
	} else {
		state.next = now.Add(minRetry)
	}
	k.peers[action.Peer.Node] = state
}

// Stored records that the store was found to hold a version of the set.
func (k *Keeper) Stored(version int) {
	k.stored = max(k.stored, version)
}

// StoreLost records that the store may have lost the set, which is written again at the time.
func (k *Keeper) StoreLost(at time.Time) {
	k.round++
	k.stored, k.storing = 0, false
	k.nextStore, k.storeRetry = at, minRetry
}

// HasStored reports whether the store holds all departures.
func (k *Keeper) HasStored() bool { return k.stored >= k.version }

// Level returns who knows of the departures.
func (k *Keeper) Level(others []savorydeal.Member) Level {
	confirmed := k.confirmations()
	switch stored := k.HasStored(); {
	case stored && confirmed >= min(enoughPeers, k.countAlive(others)):
		return LevelFull
	case stored || confirmed > 0:
		return LevelPart
	}
	return LevelNone
}

func (k *Keeper) confirmations() int {
	confirmed := 0
	for _, state := range k.peers {
		if state.confirmed >= k.version {
			confirmed++
		}
	}
	return confirmed
}

func (k *Keeper) countAlive(others []savorydeal.Member) int {
	count := 0
	for _, member := range others {
		if member.State == savorydeal.MemberAlive {
			count++
		}
	}
	return count
}

// Pending reports whether the store or enough other nodes do not know of the departures
// yet.
func (k *Keeper) Pending(others []savorydeal.Member) bool {
	return k.version > 0 && k.Level(others) != LevelFull
}
