package sdretry

import "time"

const (
	// resendWindow is how long a resend of a request is recognised by its key
	// after the request was refused as not run.
	resendWindow = time.Minute
	// maxTracked limits the number of tracked requests. Resends of further
	// requests are treated as new requests.
	maxTracked = 20_000
)

// ResendTracker makes all resends of a caller's request share one retry budget. The
// first sending gets the retries that the policy grants. Each resend gets what its
// predecessor has not used, less one for the resend itself. It is not safe for
// concurrent use.
type ResendTracker struct {
	requests map[string]trackedRequest
}

// trackedRequest is a request that was refused as not run.
type trackedRequest struct {
	remaining int
	expiresAt time.Time
}

// NewResendTracker returns a ResendTracker without requests.
func NewResendTracker() *ResendTracker {
	return &ResendTracker{requests: make(map[string]trackedRequest)}
}

// Begin returns the number of retries that the request may use, and whether it is a
// resend. granted is the number that the policy grants.
func (r *ResendTracker) Begin(now time.Time, request string, granted int) (remaining int, resend bool) {
	tracked, ok := r.requests[request]
	if !ok || !now.Before(tracked.expiresAt) {
		return granted, false
	}
	return min(granted, max(0, tracked.remaining-1)), true
}

// RecordNotRun records that a request was refused as not run, with the retries that
// it was granted and those that it has used.
func (r *ResendTracker) RecordNotRun(now time.Time, request string, granted, spent int) {
	if _, ok := r.requests[request]; !ok && len(r.requests) >= maxTracked {
		return
	}
	r.requests[request] = trackedRequest{remaining: max(0, granted-spent), expiresAt: now.Add(resendWindow)}
}

// Forget stops tracking a request. It is called when the request has run or may have
// run.
func (r *ResendTracker) Forget(request string) {
	delete(r.requests, request)
}

// Expire stops tracking the requests that were not sent again within the window.
func (r *ResendTracker) Expire(now time.Time) {
	for request, tracked := range r.requests {
		if !now.Before(tracked.expiresAt) {
			delete(r.requests, request)
		}
	}
}

// Len returns the number of tracked requests.
func (r *ResendTracker) Len() int {
	return len(r.requests)
}
