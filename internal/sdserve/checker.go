package sdserve

import (
	"fmt"

	"github.com/savorydeal/savorydeal"
	"github.com/savorydeal/savorydeal/internal/sdinvariant"
)

// admissionChecker verifies the invariants of an Admission's decisions. It
// keeps its own record of the waiting calls. The Admitter's lock guards it.
type admissionChecker struct {
	// limit is the number of calls that may run at a time, 0 while the target's
	// slots are not known.
	limit int
	// classes holds the class of each waiting call.
	classes map[savorydeal.CallID]savorydeal.Class
	// waiting counts the waiting calls by the rank of their class.
	waiting [savorydeal.ClassCount]int
}

func newAdmissionChecker() *admissionChecker {
	return &admissionChecker{classes: make(map[savorydeal.CallID]savorydeal.Class)}
}

func (c *admissionChecker) setLimit(slots, connections int) {
	c.limit = min(slots, connections)
}

func (c *admissionChecker) enqueue(arrival savorydeal.Arrival) {
	c.classes[arrival.ID] = arrival.Class
	c.waiting[arrival.Class.Rank()]++
}

func (c *admissionChecker) cancel(callID savorydeal.CallID, queued bool) {
	if queued {
		c.dequeue(callID)
	}
}

func (c *admissionChecker) dequeue(callID savorydeal.CallID) (savorydeal.Class, bool) {
	class, ok := c.classes[callID]
	if !ok {
		return "", false
	}
	delete(c.classes, callID)
	c.waiting[class.Rank()]--
	return class, true
}

// checkDecisions verifies one batch of decisions. running is the number of
// calls that ran before it. The whole batch is removed from the queue before
// the class order is checked: a call that evicted another is no longer waiting.
func (c *admissionChecker) checkDecisions(actions []savorydeal.AdmissionAction, running int) {
	topRefusedRank := savorydeal.ClassCount
	for _, action := range actions {
		class, known := c.dequeue(action.ID)
		sdinvariant.OneVerdict.Check(known, func() string {
			return fmt.Sprintf("decision %s for call %d, which is not waiting", action.Decision, action.ID)
		})
		switch {
		case action.Decision == savorydeal.DecisionRun:
			running++
			c.checkLimit(running)
		case known && refusedByOverload(action.Reason):
			topRefusedRank = min(topRefusedRank, class.Rank())
		}
	}
	c.checkOrder(topRefusedRank)
}

// refusedByOverload reports whether a call was refused for lack of capacity,
// rather than for a reason of its own such as its deadline.
func refusedByOverload(reason savorydeal.Reason) bool {
	return reason == savorydeal.ReasonQueueFull || reason == savorydeal.ReasonEvicted || reason == savorydeal.ReasonOverloaded
}

func (c *admissionChecker) checkLimit(running int) {
	sdinvariant.AdmissionBound.Check(c.limit == 0 || running <= c.limit, func() string {
		return fmt.Sprintf("%d calls are running, the limit is %d", running, c.limit)
	})
}

// checkOrder verifies that no call of a lower class than the refused ones is still
// waiting. topRefusedRank is the rank of the most important class refused for lack
// of capacity in a batch (rank 0 is the most important), ClassCount if there is none.
func (c *admissionChecker) checkOrder(topRefusedRank int) {
	if topRefusedRank >= savorydeal.ClassCount {
		return
	}
	lowerWaiting := 0
	for rank := topRefusedRank + 1; rank < savorydeal.ClassCount; rank++ {
		lowerWaiting += c.waiting[rank]
	}
	sdinvariant.ClassOrder.Check(lowerWaiting == 0, func() string {
		return fmt.Sprintf("a call of class %s was refused while %d calls of lower classes are waiting", savorydeal.Classes()[topRefusedRank], lowerWaiting)
	})
}

// checkDispatch verifies the gate's state at the time a call is sent to the
// target.
func checkDispatch(gate GateState) {
	sdinvariant.NoWorkWhenLeaving.Check(gate.Target == savorydeal.TargetReady && !gate.Stopping, func() string {
		return fmt.Sprintf("a call was sent to a target in state %s, node stopping: %v", gate.Target, gate.Stopping)
	})
}
