package sdquota

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/savorydeal/savorydeal"
)

// View is what a node knows of the members. It is not safe for concurrent use; the
// snapshots that it returns are immutable.
type View struct {
	self  savorydeal.NodeID
	known map[savorydeal.NodeID]*memberRecord
	// liveVersion counts the changes of the set of live members.
	liveVersion uint64
}

type memberRecord struct {
	hash  uint64
	state savorydeal.MemberState
	// lostAt is when the member was lost without a planned stop, returnedAt when it was
	// found alive again after that; each is zero if it has not happened.
	lostAt, returnedAt time.Time
	seen               bool
}

// Snapshot is the state of a View at one moment.
type Snapshot struct {
	self        savorydeal.NodeID
	live        []hashedNode
	liveVersion uint64
	left        map[savorydeal.NodeID]bool
	// alive counts the members for which an owner in this view may grant tokens, total
	// also those that may be in touch with another owner.
	alive, total int
	// newMembers is true if the snapshot has members that the View had never had before.
	newMembers bool
}

type hashedNode struct {
	node savorydeal.NodeID
	hash uint64
}

// Placement is a node's view of one account.
type Placement struct {
	Owner savorydeal.NodeID
	// Rank is the number of live members that go before this node in the choice of the owner.
	Rank int
	// Members is the number of members among which quotas are divided.
	Members int
}

// NewView returns a view that holds the node itself.
func NewView(self savorydeal.NodeID) *View {
	v := &View{self: self, known: make(map[savorydeal.NodeID]*memberRecord)}
	v.Update(time.Time{}, []savorydeal.Member{{Node: self, State: savorydeal.MemberAlive}})
	return v
}

// Update replaces the members and returns the new snapshot.
func (v *View) Update(now time.Time, members []savorydeal.Member) *Snapshot {
	newMembers := false
	for _, record := range v.known {
		record.seen = false
	}
	for _, member := range members {
		record := v.known[member.Node]
		if record == nil {
			if !member.Live() {
				continue
			}
			record = &memberRecord{hash: xxhash.Sum64String(string(member.Node))}
			v.known[member.Node] = record
			newMembers = true
		}
		record.seen = true
		v.setState(now, record, member.State)
	}
	for node, record := range v.known {
		switch {
		case record.seen || node == v.self:
		case record.state == savorydeal.MemberLeft:
			delete(v.known, node)
		default:
			v.setState(now, record, savorydeal.MemberDead)
		}
	}
	return v.snapshot(now, newMembers)
}

// Refresh returns a snapshot in which the losses that have become too old do not count.
func (v *View) Refresh(now time.Time) *Snapshot {
	return v.snapshot(now, false)
}

func (v *View) setState(now time.Time, record *memberRecord, state savorydeal.MemberState) {
	if record.live() != isLive(state) {
		v.liveVersion++
	}
	switch {
	case state == savorydeal.MemberDead && record.state != savorydeal.MemberDead:
		record.lostAt, record.returnedAt = now, time.Time{}
	case state == savorydeal.MemberLeft:
		record.lostAt, record.returnedAt = time.Time{}, time.Time{}
	case state != savorydeal.MemberDead && record.state == savorydeal.MemberDead:
		record.returnedAt = now
	}
	record.state = state
}

func (r *memberRecord) live() bool { return isLive(r.state) }

func isLive(state savorydeal.MemberState) bool {
	return state == savorydeal.MemberAlive || state == savorydeal.MemberSuspect
}

func (v *View) snapshot(now time.Time, newMembers bool) *Snapshot {
	s := &Snapshot{self: v.self, liveVersion: v.liveVersion, left: make(map[savorydeal.NodeID]bool), newMembers: newMembers}
	for node, record := range v.known {
		switch {
		case record.live():
			s.live = append(s.live, hashedNode{node, record.hash})
			s.total++
			// A suspect may already have another owner. The nodes that had another owner
			// have to learn that a member is back before this owner grants for it.
			returning := !record.returnedAt.IsZero() && now.Before(record.returnedAt.Add(TakeoverWait))
			if node == v.self || record.state == savorydeal.MemberAlive && !returning {
				s.alive++
			}
		case record.state == savorydeal.MemberLeft:
			s.left[node] = true
		case now.Before(record.lostAt.Add(lossMemory)):
			s.total++
		default:
			delete(v.known, node)
		}
	}
	return s
}

// Place returns the placement of an account.
func (s *Snapshot) Place(account string) Placement {
	accountHash, selfHash := xxhash.Sum64String(account), xxhash.Sum64String(string(s.self))
	best, bestScore, above := s.self, uint64(0), 0
	for i, member := range s.live {
		memberScore := score(accountHash, member.hash)
		if memberScore > score(accountHash, selfHash) {
			above++
		}
		if i == 0 || memberScore > bestScore {
			best, bestScore = member.node, memberScore
		}
	}
	return Placement{Owner: best, Rank: above, Members: s.total}
}

// Settled reports whether all members among which quotas are divided are alive, so that the
// passage of time alone changes nothing.
func (s *Snapshot) Settled() bool { return s.alive == s.total }

// SamePlacements reports whether every account has the same owner as in another snapshot of
// the same view.
func (s *Snapshot) SamePlacements(other *Snapshot) bool { return s.liveVersion == other.liveVersion }

// previousOwner returns the live member that would own the account without this node.
func (s *Snapshot) previousOwner(account string) (savorydeal.NodeID, bool) {
	accountHash := xxhash.Sum64String(account)
	var best savorydeal.NodeID
	bestScore := uint64(0)
	for _, member := range s.live {
		if member.node == s.self {
			continue
		}
		if memberScore := score(accountHash, member.hash); best == "" || memberScore > bestScore {
			best, bestScore = member.node, memberScore
		}
	}
	return best, best != ""
}

// outranks reports whether a node goes before another in the choice of an account's owner.
func outranks(account string, a, b savorydeal.NodeID) bool {
	accountHash := xxhash.Sum64String(account)
	return score(accountHash, xxhash.Sum64String(string(a))) > score(accountHash, xxhash.Sum64String(string(b)))
}

// score mixes the hashes of an account and a node (the finaliser of SplitMix64), so that a
// change of the members needs no hash of a string for each account and member.
func score(account, node uint64) uint64 {
	x := account ^ node
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
