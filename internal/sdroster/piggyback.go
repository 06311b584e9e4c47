package sdroster

import (
	"math"
	"slices"
	"strings"

	"github.com/savorydeal/savorydeal"
)

// queueUpdate queues a changed member to be sent along with other messages.
// The queue is bounded: updates that do not fit reach other nodes only through
// comparisons of views (startSync).
func (r *Roster) queueUpdate(node savorydeal.NodeID) {
	if node != r.self.Node && (r.mergingSnapshot || len(r.pendingUpdates) >= maxPendingUpdates) {
		return
	}
	r.pendingUpdates[node] = 0
}

// piggyback returns the queued updates that this node has sent least often, at
// most maxPiggyback. It removes those from the queue that reach the limit of
// retransmitFactor.
func (r *Roster) piggyback() []savorydeal.Member {
	if len(r.pendingUpdates) == 0 {
		return nil
	}
	nodes := make([]savorydeal.NodeID, 0, len(r.pendingUpdates))
	for node := range r.pendingUpdates {
		nodes = append(nodes, node)
	}
	slices.SortFunc(nodes, func(a, b savorydeal.NodeID) int {
		if r.pendingUpdates[a] != r.pendingUpdates[b] {
			return r.pendingUpdates[a] - r.pendingUpdates[b]
		}
		return strings.Compare(string(a), string(b))
	})
	limit := retransmitFactor * int(math.Ceil(math.Log10(float64(len(r.live)+2))))
	var members []savorydeal.Member
	for _, node := range nodes[:min(len(nodes), maxPiggyback)] {
		members = append(members, r.entries[node].member)
		r.pendingUpdates[node]++
		if r.pendingUpdates[node] >= limit {
			delete(r.pendingUpdates, node)
		}
	}
	return members
}
