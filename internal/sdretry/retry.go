// Package sdretry decides whether a failed attempt is retried, and how long to wait
// before the retry. It does no I/O.
package sdretry

import (
	"sync"
	"time"

	"github.com/savorydeal/savorydeal"
)

const (
	// baseBackoff is the mean wait before the first retry. It doubles with each
	// further retry, up to maxBackoff.
	baseBackoff = 5 * time.Millisecond
	maxBackoff  = time.Second
	// maxCredit limits the retries that a service accumulates while few calls
	// fail, so that a burst of failures is not retried without limit.
	maxCredit = 20.0
	// initialCredit is the credit of a new service, for which nothing has been
	// accumulated yet.
	initialCredit = 5.0
)

// Decider is a savorydeal.RetryDecider. The retry budget of a service is its credit:
// a number of retries to which each first attempt adds a fraction and from which
// each retry takes 1. It is safe for concurrent use.
type Decider struct {
	mu       sync.Mutex
	random   savorydeal.Random
	services map[string]*serviceAccount
}

type serviceAccount struct {
	// credit is the number of retries available, from 0 to maxCredit.
	credit float64
}

var _ savorydeal.RetryDecider = (*Decider)(nil)

// New returns a Decider that uses random for the jitter of waits.
func New(random savorydeal.Random) *Decider {
	return &Decider{random: random, services: make(map[string]*serviceAccount)}
}

// FirstAttempt adds ratio to the credit of a service.
func (d *Decider) FirstAttempt(_ time.Time, service string, ratio float64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	account := d.service(service)
	account.credit = min(maxCredit, account.credit+ratio)
}

func (d *Decider) service(service string) *serviceAccount {
	account := d.services[service]
	if account == nil {
		account = &serviceAccount{credit: initialCredit}
		d.services[service] = account
	}
	return account
}

// Decide decides on a retry. A retry must be safe (the call is idempotent or has
// not run), promising (another target may give another result), covered by the
// service's credit, and due before the deadline.
func (d *Decider) Decide(now time.Time, request savorydeal.RetryRequest) savorydeal.RetryDecision {
	if !SafeToRepeat(request.Idempotent, request.Outcome) || !mayHelp(request.Reason) {
		return savorydeal.RetryDecision{}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	account := d.service(request.Service)
	if account.credit < 1 {
		return savorydeal.RetryDecision{}
	}
	wait := d.backoff(request)
	if !now.Add(wait).Before(request.Deadline) {
		return savorydeal.RetryDecision{}
	}
	account.credit--
	return savorydeal.RetryDecision{Retry: true, Wait: wait}
}

// SafeToRepeat reports whether a call can be sent again without the risk of a
// harmful second run.
func SafeToRepeat(idempotent bool, outcome savorydeal.Outcome) bool {
	return idempotent || outcome == savorydeal.OutcomeNotRun
}

// mayHelp reports whether a retry at another target could give another result.
func mayHelp(reason savorydeal.Reason) bool {
	switch reason {
	case savorydeal.ReasonNoTarget, savorydeal.ReasonTargetLeaving, savorydeal.ReasonLinkLost,
		savorydeal.ReasonTargetFailed, savorydeal.ReasonTargetCrashed, savorydeal.ReasonTargetRefused, savorydeal.ReasonStopping,
		savorydeal.ReasonWrongNode, savorydeal.ReasonQueueFull, savorydeal.ReasonEvicted,
		savorydeal.ReasonOverloaded:
		return true
	default:
		return false
	}
}

// backoff returns the wait before a retry. It is randomised from 0.5 to 1.5 times
// the mean, so that calls that failed together are not retried together, and is at
// least the request's RetryAfter.
func (d *Decider) backoff(request savorydeal.RetryRequest) time.Duration {
	mean := baseBackoff << min(request.Attempt-1, 10)
	mean = min(mean, maxBackoff)
	jittered := time.Duration(float64(mean) * (0.5 + d.random.Float64()))
	return max(jittered, request.RetryAfter)
}
