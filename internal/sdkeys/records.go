// Package sdkeys decides which keyed call runs, so that none runs twice. It
// does no I/O.
package sdkeys

import (
	"time"

	"github.com/savorydeal/savorydeal"
)

const (
	// MaxStoredAnswerBytes is the largest answer kept for repeats.
	MaxStoredAnswerBytes = 64 << 10
	// MaxStoredBytes bounds all kept answers together.
	MaxStoredBytes = 64 << 20
)

type recordState string

const (
	stateRunning  recordState = "running"
	stateFinished recordState = "finished"
	stateLost     recordState = "lost"
)

type recordID struct {
	service string
	caller  string
	key     string
}

type record struct {
	state     recordState
	digest    [32]byte
	answer    savorydeal.StoredAnswer
	held      bool
	retention time.Duration
	expires   time.Time
}

// Records is the savorydeal.KeyRecords of one node.
type Records struct {
	records     map[recordID]*record
	storedBytes int
}

var _ savorydeal.KeyRecords = (*Records)(nil)

// New returns empty records.
func New() *Records {
	return &Records{records: make(map[recordID]*record)}
}

// idOf includes the caller: an equal key of another caller is another key.
func idOf(claim savorydeal.KeyClaim) recordID {
	return recordID{service: claim.Service, caller: claim.Caller, key: claim.Key}
}

// Claim asks for leave to run a keyed call.
func (r *Records) Claim(_ time.Time, claim savorydeal.KeyClaim) savorydeal.KeyDecision {
	id := idOf(claim)
	known := r.records[id]
	if known == nil {
		r.records[id] = &record{state: stateRunning, digest: claim.BodyDigest, retention: claim.Retention}
		return savorydeal.KeyDecision{Verdict: savorydeal.KeyRun}
	}
	if known.digest != claim.BodyDigest {
		return refuse(savorydeal.OutcomeNotRun, savorydeal.ReasonKeyConflict,
			"the key was used with another body; use a new key for a new request")
	}
	switch known.state {
	case stateRunning:
		return savorydeal.KeyDecision{Verdict: savorydeal.KeyWait}
	case stateFinished:
		return finishedDecision(known)
	default:
		return refuse(savorydeal.OutcomeUnknown, savorydeal.ReasonAnswerNotHeld,
			"an earlier try of this key may have run and its answer was lost; look the result up before a new request")
	}
}

func finishedDecision(known *record) savorydeal.KeyDecision {
	if known.held {
		return savorydeal.KeyDecision{Verdict: savorydeal.KeyStored, Answer: known.answer}
	}
	return refuse(savorydeal.OutcomeUnknown, savorydeal.ReasonAnswerNotHeld,
		"the request of this key has run and its answer is no longer held; look the result up")
}

func refuse(outcome savorydeal.Outcome, reason savorydeal.Reason, detail string) savorydeal.KeyDecision {
	return savorydeal.KeyDecision{
		Verdict: savorydeal.KeyRefuse,
		Refusal: savorydeal.Refusal{Outcome: outcome, Reason: reason, Detail: detail},
	}
}

// NotRun forgets a claim whose call was not run.
func (r *Records) NotRun(_ time.Time, claim savorydeal.KeyClaim) {
	id := idOf(claim)
	if known := r.records[id]; known != nil && known.state == stateRunning {
		delete(r.records, id)
	}
}

// Finish stores the answer if it is small enough.
func (r *Records) Finish(now time.Time, claim savorydeal.KeyClaim, answer savorydeal.StoredAnswer) {
	known := r.end(now, claim, stateFinished)
	if known == nil {
		return
	}
	size := len(answer.Body)
	if size > MaxStoredAnswerBytes || r.storedBytes+size > MaxStoredBytes {
		return
	}
	known.answer = answer
	known.held = true
	r.storedBytes += size
}

// Lost marks a claim whose call may have run and whose answer is gone.
func (r *Records) Lost(now time.Time, claim savorydeal.KeyClaim) {
	r.end(now, claim, stateLost)
}

func (r *Records) end(now time.Time, claim savorydeal.KeyClaim, state recordState) *record {
	known := r.records[idOf(claim)]
	if known == nil || known.state != stateRunning {
		return nil
	}
	known.state = state
	known.expires = now.Add(known.retention)
	return known
}

// Expire forgets what is past its retention.
func (r *Records) Expire(now time.Time) int {
	forgotten := 0
	for id, known := range r.records {
		if known.state == stateRunning || now.Before(known.expires) {
			continue
		}
		r.storedBytes -= len(known.answer.Body)
		delete(r.records, id)
		forgotten++
	}
	return forgotten
}

// Held returns the number of records.
func (r *Records) Held() int {
	return len(r.records)
}
