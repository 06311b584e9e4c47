package sdnode

import (
	"context"
	"time"
)

const (
	// firstViewTimeout is the longest time that a new node lets callers wait until
	// it knows other members. A node that cannot reach any serves after this time.
	firstViewTimeout = 2 * time.Second
	// firstPoliciesTimeout is the longest wait for policies once another member is
	// known. The cluster may have no policies yet.
	firstPoliciesTimeout = 300 * time.Millisecond
	firstViewPoll        = 10 * time.Millisecond
)

// waitFirstView waits until this node knows other members and the policies, if
// its settings name another node as meeting point. Without them it would refuse
// callers because no policy names their service or no node owns their key.
func (n *Node) waitFirstView(ctx context.Context) {
	if !n.hasMeetingPoint() {
		return
	}
	started := n.clock.Now()
	lastAlone := started
	for {
		now := n.clock.Now()
		othersKnown := len(n.Members()) > 1
		if !othersKnown {
			lastAlone = now
		}
		if othersKnown && (len(n.Policies().Records()) > 0 || now.Sub(lastAlone) >= firstPoliciesTimeout) {
			return
		}
		if now.Sub(started) >= firstViewTimeout {
			n.log.Warn("serving callers without knowing other nodes; check --meeting-points", "waited", firstViewTimeout)
			return
		}
		select {
		case <-n.clock.After(firstViewPoll):
		case <-ctx.Done():
			return
		}
	}
}

// hasMeetingPoint reports whether the settings name another node as meeting point.
func (n *Node) hasMeetingPoint() bool {
	for _, point := range n.settings.MeetingPoints {
		if point != n.settings.PeerAddress {
			return true
		}
	}
	return false
}
