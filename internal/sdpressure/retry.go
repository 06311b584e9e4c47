package sdpressure

import (
	"time"

	"github.com/savorydeal/savorydeal"
)

// OverloadRetryDecider limits retries after refusals for overload, which would
// add to the load. A call refused because of a level is not retried, since its
// rank is refused everywhere. A call refused because of a full queue is retried
// once, and only in the two most important classes. The embedded RetryDecider
// decides on all other retries.
type OverloadRetryDecider struct {
	savorydeal.RetryDecider
}

var _ savorydeal.RetryDecider = OverloadRetryDecider{}

// Decide decides on a retry.
func (r OverloadRetryDecider) Decide(now time.Time, request savorydeal.RetryRequest) savorydeal.RetryDecision {
	if IsOverload(request.Reason) {
		important := request.Class == savorydeal.ClassCritical || request.Class == savorydeal.ClassHigh
		if !important || request.Reason == savorydeal.ReasonOverloaded || request.Attempt > 1 {
			return savorydeal.RetryDecision{}
		}
		// RetryAfter is meant for the caller. Another target's queue may
		// have spare capacity now.
		request.RetryAfter = 0
	}
	return r.RetryDecider.Decide(now, request)
}
