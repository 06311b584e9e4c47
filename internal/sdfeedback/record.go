// Package sdfeedback decides what holds of a target from what the target states about
// itself in its answers: the rate limit in force, and whether the target is leaving.
// Answers that arrive out of order, and answers of an earlier start of the target, do
// not replace what is known. The package does no I/O.
package sdfeedback

import (
	"time"

	"github.com/savorydeal/savorydeal"
)

// Answer is the feedback of one answer of a target.
type Answer struct {
	// Start is the start of the target to which the request was sent.
	Start    savorydeal.TargetStart
	Feedback savorydeal.Feedback
	// SentAt is when the request was sent, ReceivedAt when the header section of the
	// answer was received.
	SentAt, ReceivedAt time.Time
}

// Record is what holds of one target. It is not safe for concurrent use.
type Record struct {
	start savorydeal.TargetStart
	// limited, rateLimit and leaving are in force.
	limited   bool
	rateLimit float64
	leaving   bool
	// limitAt is when the answer was received that last stated the limit, or that there
	// is none. It is zero before the first such answer.
	limitAt time.Time
	// observed is true once an answer was observed that stated the limit, or that there
	// is none.
	observed bool
}

// SetStart sets the start of the target. What an earlier start has stated is dropped.
func (r *Record) SetStart(start savorydeal.TargetStart) {
	if !r.start.Matches(start) {
		*r = Record{}
	}
	if start.Started != 0 || r.start.Identity == "" {
		r.start = start
	}
}

// Start returns the start of the target.
func (r *Record) Start() savorydeal.TargetStart { return r.start }

// InForce returns what holds of the target.
func (r *Record) InForce() savorydeal.Feedback {
	return savorydeal.Feedback{Limited: r.limited, RateLimit: r.rateLimit, Leaving: r.leaving}
}

// Adopted reports whether the limit in force comes from other nodes alone. It may have
// changed since they learnt of it.
func (r *Record) Adopted() bool { return r.limited && !r.observed }

// Observe handles an answer and reports whether it changes what is in force, or confirms
// an adopted limit. The limit ends only with an answer, without a limit, to a request that
// was sent after the limit was last stated: the header section of an older request's
// answer may be older than the limit. A target that is leaving does not return before its
// next start.
func (r *Record) Observe(answer Answer) bool {
	if !r.start.Matches(answer.Start) {
		return false
	}
	before, adopted := r.InForce(), r.Adopted()
	r.leaving = r.leaving || answer.Feedback.Leaving
	switch {
	case answer.Feedback.LimitUnknown, answer.ReceivedAt.Before(r.limitAt):
	case answer.Feedback.Limited:
		r.limited, r.rateLimit, r.limitAt, r.observed = true, answer.Feedback.RateLimit, answer.ReceivedAt, true
	case !r.limited || !answer.SentAt.Before(r.limitAt):
		r.limited, r.rateLimit, r.limitAt, r.observed = false, 0, answer.ReceivedAt, true
	}
	return r.InForce() != before || r.Adopted() != adopted
}

// Adopt handles what another node has learnt from an answer that it received at
// receivedAt, and reports whether it changes what is in force. All answers of the target
// pass through its own node, so that the node adopts only what is older than its process:
// until it has observed an answer itself, and the newest of several.
func (r *Record) Adopt(start savorydeal.TargetStart, feedback savorydeal.Feedback, receivedAt time.Time) bool {
	if !r.start.Matches(start) {
		return false
	}
	before := r.InForce()
	r.SetStart(start)
	r.leaving = r.leaving || feedback.Leaving
	if !r.observed && feedback.Limited && receivedAt.After(r.limitAt) {
		r.limited, r.rateLimit, r.limitAt = true, feedback.RateLimit, receivedAt
	}
	return r.InForce() != before
}
