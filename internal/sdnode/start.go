package sdnode

import (
	"context"
	"time"
)

const (
	// serveTimeout is the longest that a node that starts keeps callers waiting
	// for its first view of the others; a node that is cut off serves after it.
	serveTimeout = 2 * time.Second
	// policiesTimeout is the longest wait for policies once others are known:
	// there may be none yet.
	policiesTimeout = 300 * time.Millisecond
	servePoll       = 10 * time.Millisecond
)

// waitJoined waits until this node knows others and their policies, if it has
// a meeting point to learn them from. Before that it would answer callers that
// no policy names their service, or that no node owns their key.
func (n *Node) waitJoined(ctx context.Context) {
	if !n.hasMeetingPoint() {
		return
	}
	started := n.clock.Now()
	joined := started
	for {
		now := n.clock.Now()
		known := len(n.Members()) > 1
		if !known {
			joined = now
		}
		if known && (len(n.Policies().Records()) > 0 || now.Sub(joined) >= policiesTimeout) {
			return
		}
		if now.Sub(started) >= serveTimeout {
			n.log.Warn("serving callers without a view of other nodes; check --meeting-points", "waited", serveTimeout)
			return
		}
		select {
		case <-n.clock.After(servePoll):
		case <-ctx.Done():
			return
		}
	}
}

// hasMeetingPoint reports whether a meeting point is another node.
func (n *Node) hasMeetingPoint() bool {
	for _, point := range n.settings.MeetingPoints {
		if point != n.settings.PeerAddress {
			return true
		}
	}
	return false
}
