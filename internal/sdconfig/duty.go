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
	// the platform. Two, so that a dead one costs no time.
	WatchersPerDataCentre = 2
	// SlotsPerDataCentre is the number of collectors that the nodes of a data
	// centre report to. It bounds the messages of one query for what is in
	// force: one a slot and data centre, however many nodes there are.
	SlotsPerDataCentre = 32
)

// Watchers returns the nodes of a data centre that watch the platform: those
// with the highest hashes. Nodes with different views may choose different
// ones; more watchers than two cost calls but do no harm.
func Watchers(members []savorydeal.Member, dataCentre string) []savorydeal.NodeID {
	return highest(members, dataCentre, "watch", WatchersPerDataCentre)
}

// SlotOf returns the slot a node reports to.
func SlotOf(node savorydeal.NodeID) int {
	return int(xxhash.Sum64String(string(node)) % SlotsPerDataCentre)
}

// Collectors returns the collector of each slot of a data centre; empty names
// if the view holds no node of it.
func Collectors(members []savorydeal.Member, dataCentre string) [SlotsPerDataCentre]savorydeal.NodeID {
	var collectors [SlotsPerDataCentre]savorydeal.NodeID
	var best [SlotsPerDataCentre]uint64
	for _, member := range members {
		if !eligible(member, dataCentre) {
			continue
		}
		// One hash a member, mixed with the slot's number: a whole data
		// centre is scored for 32 slots at each change of the view.
		base := xxhash.Sum64String(string(member.Node))
		for slot := range collectors {
			score := mix(base ^ uint64(slot+1)*0x9e3779b97f4a7c15)
			if collectors[slot] == "" || score > best[slot] {
				collectors[slot] = member.Node
				best[slot] = score
			}
		}
	}
	return collectors
}

func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

func eligible(member savorydeal.Member, dataCentre string) bool {
	return member.DataCentre == dataCentre && member.State == savorydeal.MemberAlive
}

func highest(members []savorydeal.Member, dataCentre, duty string, count int) []savorydeal.NodeID {
	type scored struct {
		node  savorydeal.NodeID
		score uint64
	}
	var all []scored
	for _, member := range members {
		if eligible(member, dataCentre) {
			all = append(all, scored{member.Node, xxhash.Sum64String(duty + "\x00" + string(member.Node))})
		}
	}
	slices.SortFunc(all, func(a, b scored) int {
		if a.score != b.score {
			if a.score > b.score {
				return -1
			}
			return 1
		}
		return strings.Compare(string(a.node), string(b.node))
	})
	var nodes []savorydeal.NodeID
	for _, one := range all[:min(count, len(all))] {
		nodes = append(nodes, one.node)
	}
	return nodes
}

// KindMeetingPoint is the kind of the platform's objects that hold the peer
// addresses of nodes to join through. There are as many as watchers.
const KindMeetingPoint = "meeting_point"

// MeetingPointName returns the name of the object that the watcher of a rank
// keeps, such as dc1.0.
func MeetingPointName(dataCentre string, rank int) string {
	return dataCentre + "." + strconv.Itoa(rank)
}
