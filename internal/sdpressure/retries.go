package sdpressure

import (
	"time"

	"github.com/savorydeal/savorydeal"
)

// Retries keeps overload from being answered with more tries: a call refused
// under a level is not tried again, since its rank is refused everywhere, and
// one that met a full queue is tried once more only if it is important.
type Retries struct {
	savorydeal.Retries
}

var _ savorydeal.Retries = Retries{}

// Decide answers a RetryAsk.
func (r Retries) Decide(now time.Time, ask savorydeal.RetryAsk) savorydeal.RetryDecision {
	if OfOverload(ask.Reason) {
		important := ask.Class == savorydeal.ClassCritical || ask.Class == savorydeal.ClassHigh
		if !important || ask.Reason == savorydeal.ReasonOverloaded || ask.Try > 1 {
			return savorydeal.RetryDecision{}
		}
		// The wait is for the caller; another target may have room now.
		ask.RetryAfter = 0
	}
	return r.Retries.Decide(now, ask)
}
