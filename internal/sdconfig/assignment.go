package sdconfig

import (
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/savorydeal/savorydeal"
)

const (
	// WatchersPerDataCentre is the number of nodes of a data centre that watch
	// the platform for changes. With two, the death of one delays no change.
	WatchersPerDataCentre = 2
	// SlotsPerDataCentre is the number of slots that the nodes of a data centre
	// are divided into by hash. The nodes of a slot report their versions in
	// force to the slot's collector. Finding out which nodes have a version in
	// force thus needs at most one message per slot and data centre, however
	// many nodes there are.
	SlotsPerDataCentre = 32
)

// Watchers returns the nodes of a data centre that watch the platform: the
// alive members with the highest hashes, highest first, up to
// WatchersPerDataCentre. Nodes with different views may choose different
// watchers; additional watchers cost calls to the platform but do no harm.
func Watchers(members []savorydeal.Member, dataCentre string) []savorydeal.NodeID {
	return highestRanked(members, dataCentre, "watch", WatchersPerDataCentre)
}

// SlotOf returns the slot of a node, in [0, SlotsPerDataCentre).
func SlotOf(node savorydeal.NodeID) int {
	return int(xxhash.Sum64String(string(node)) % SlotsPerDataCentre)
}

// Collectors returns the collector of each slot of a data centre, chosen by
// rendezvous hashing among its alive members. All names are empty if the view
// holds no alive member of the data centre.
func Collectors(members []savorydeal.Member, dataCentre string) [SlotsPerDataCentre]savorydeal.NodeID {
	var collectors [SlotsPerDataCentre]savorydeal.NodeID
	var bestScores [SlotsPerDataCentre]uint64
	for _, member := range members {
		if !eligible(member, dataCentre) {
			continue
		}
		// The member is hashed once and the hash mixed with each slot's
		// number, since every change of the view scores a whole data centre
		// for all slots.
		base := xxhash.Sum64String(string(member.Node))
		for slot := range collectors {
			score := mixBits(base ^ uint64(slot+1)*0x9e3779b97f4a7c15)
			if collectors[slot] == "" || score > bestScores[slot] {
				collectors[slot] = member.Node
				bestScores[slot] = score
			}
		}
	}
	return collectors
}

// mixBits is the finalizer of the SplitMix64 generator: it spreads a change of
// any input bit over all output bits.
func mixBits(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// eligible reports whether a member may be a watcher or collector of the data
// centre.
func eligible(member savorydeal.Member, dataCentre string) bool {
	return member.DataCentre == dataCentre && member.State == savorydeal.MemberAlive
}

// highestRanked returns up to count eligible members with the highest hashes
// for a role, highest first.
func highestRanked(members []savorydeal.Member, dataCentre, role string, count int) []savorydeal.NodeID {
	type scored struct {
		node  savorydeal.NodeID
		score uint64
	}
	var candidates []scored
	for _, member := range members {
		if eligible(member, dataCentre) {
			candidates = append(candidates, scored{member.Node, xxhash.Sum64String(role + "\x00" + string(member.Node))})
		}
	}
	slices.SortFunc(candidates, func(a, b scored) int {
		if a.score != b.score {
			if a.score > b.score {
				return -1
			}
			return 1
		}
		return strings.Compare(string(a.node), string(b.node))
	})
	var nodes []savorydeal.NodeID
	for _, candidate := range candidates[:min(count, len(candidates))] {
		nodes = append(nodes, candidate.node)
	}
	return nodes
}

// KindMeetingPoint is the kind of the platform's objects that hold meeting
// points: peer addresses of nodes through which a new node joins. A data centre
// has one per watcher.
const KindMeetingPoint = "meeting_point"

// MeetingPointName returns the name of the object that the watcher of a rank
// writes, such as dc1.0 for the first watcher of dc1.
func MeetingPointName(dataCentre string, rank int) string {
	return dataCentre + "." + strconv.Itoa(rank)
}
