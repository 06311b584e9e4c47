package sdsidecar

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/savorydeal/savorydeal"
	"github.com/savorydeal/savorydeal/internal/sdinstance"
	"github.com/savorydeal/savorydeal/internal/sdinvariant"
	"github.com/savorydeal/savorydeal/internal/sdpeerheader"
)

// This file checks the node's guarantees against the recorded history of each request,
// independently of the code whose decisions have to keep them.

// attemptHistory is the combined result of a request's ended attempts.
type attemptHistory struct {
	mayHaveRun     bool
	reachedTargets []savorydeal.NodeID
}

// record adds the reply to one attempt.
func (h *attemptHistory) record(node savorydeal.NodeID, reply sdpeerheader.Reply) {
	if reply.Outcome != sdpeerheader.OutcomeNotRun {
		h.mayHaveRun = true
	}
	if reply.ReachedTarget && !slices.Contains(h.reachedTargets, node) {
		h.reachedTargets = append(h.reachedTargets, node)
	}
}

// checkAttempt is called before each attempt. It checks that a request that may not be
// repeated has not run, and that the number of targets stays within the route's limit.
func checkAttempt(r *request) {
	repeatable := r.route.Kind.Repeatable()
	sdinvariant.NoRepeatAfterUnknown.Check(repeatable || !r.history.mayHaveRun, func() string {
		return fmt.Sprintf("request %s of non-repeatable route %s is sent again although it may have run", r.id, r.route.Name)
	})
	sdinvariant.RetryBound.Check(len(r.history.reachedTargets) <= r.route.MaxTargets, func() string {
		return fmt.Sprintf("request %s reached %d targets, limit %d", r.id, len(r.history.reachedTargets), r.route.MaxTargets)
	})
}

// checkRefusal is called before a request is refused as not run.
func checkRefusal(r *request) {
	sdinvariant.NotRunIsTrue.Check(!r.history.mayHaveRun, func() string {
		return fmt.Sprintf("request %s is refused as not run although it may have run", r.id)
	})
}

// checkVersion is called before a configuration is put in force.
func checkVersion(inForce, next uint64) {
	sdinvariant.NoVersionReversal.Check(next > inForce, func() string {
		return fmt.Sprintf("configuration version %d would replace version %d", next, inForce)
	})
}

// checkStart is called before a call is sent to the target. A call that the node had
// received before it acknowledged the target's leaving may still be sent.
func checkStart(state sdinstance.State, received, now time.Time) {
	afterLeave := state.Target == savorydeal.TargetLeaving && !state.LeftAt.IsZero() && received.After(state.LeftAt) && now.After(state.LeftAt)
	sdinvariant.NoWorkWhenLeaving.Check(!afterLeave, func() string {
		return fmt.Sprintf("call received %v after target %s was acknowledged as leaving is sent to it", received.Sub(state.LeftAt), state.Heartbeat.Identity)
	})
}

// checkTimeLeft is called before a call is sent to the target. header holds the
// remaining time as received under name, forwardedMs is the one sent to the target;
// both are in milliseconds. A difference of 1 ms is tolerated.
func checkTimeLeft(header http.Header, name string, forwardedMs int64) {
	receivedMs, err := strconv.ParseFloat(header.Get(name), 64)
	if err != nil {
		return // the caller has set none: the route's timeout applies
	}
	sdinvariant.TimeShrinks.Check(float64(forwardedMs) <= receivedMs+1, func() string {
		return fmt.Sprintf("remaining time sent to the target is %d ms, received was %g ms", forwardedMs, receivedMs)
	})
}
