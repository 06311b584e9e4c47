package sdroster

import (
	"math"
	"slices"
	"strings"

	"github.com/savorydeal/savorydeal"
)

// spread puts a member on the list of what is passed on. The list is bounded:
// what does not fit is left to comparisons of views.
func (r *Roster) spread(node savorydeal.NodeID) {
	if node != r.self.Node && (r.learning || len(r.spreading) >= maxSpreading) {
		return
	}
	r.spreading[node] = 0
}

// piggyback picks the changes that were passed on least.
func (r *Roster) piggyback() []savorydeal.Member {
	if len(r.spreading) == 0 {
		return nil
	}
	nodes := make([]savorydeal.NodeID, 0, len(r.spreading))
	for node := range r.spreading {
		nodes = append(nodes, node)
	}
	slices.SortFunc(nodes, func(a, b savorydeal.NodeID) int {
		if r.spreading[a] != r.spreading[b] {
			return r.spreading[a] - r.spreading[b]
		}
		return strings.Compare(string(a), string(b))
	})
	limit := spreadFactor * int(math.Ceil(math.Log10(float64(len(r.live)+2))))
	var members []savorydeal.Member
	for _, node := range nodes[:min(len(nodes), maxPiggyback)] {
		members = append(members, r.others[node].member)
		r.spreading[node]++
		if r.spreading[node] >= limit {
			delete(r.spreading, node)
		}
	}
	return members
}
