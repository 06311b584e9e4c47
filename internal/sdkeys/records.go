package sdkeys

import (
	"crypto/sha256"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/savorydeal/savorydeal"
)

const (
	// MaxStoredAnswerBytes is the largest answer body that is stored for resends.
	MaxStoredAnswerBytes = 64 << 10
	// MaxStoredBytes bounds the bodies of all stored answers together; the oldest
	// answers are dropped first.
	MaxStoredBytes = 48 << 20
	// MaxRecords bounds the number of records. A record is never removed early
	// to make room for another: new keys are refused instead.
	MaxRecords = 600_000
	// MaxClockSkew is how far the clocks of VMs and callers may differ. Records
	// are kept that much longer than their retention.
	MaxClockSkew = 5 * time.Minute
)

// recordID is a truncated SHA-256 hash of a service and a key.
type recordID [16]byte

// record is the state of the call of one key.
type record struct {
	digest [16]byte
	caller uint64
	state  savorydeal.KeyState
	// expires is when the record may be removed; zero while the call runs.
	expires   time.Time
	retention time.Duration
	answer    *savorydeal.StoredAnswer
}

// Records implements savorydeal.KeyRecords in memory. It is not safe for
// concurrent use.
type Records struct {
	records map[recordID]record
	// expiring lists the records by the second (Unix time) in which they expire.
	expiring map[int64][]recordID
	// expiredUpTo is the last second (Unix time) whose records have been removed;
	// 0 before the first Expire.
	expiredUpTo int64
	// storedAnswers lists the records that have a stored answer, the oldest first.
	storedAnswers []recordID
	storedBytes   int
	maxRecords    int
}

var _ savorydeal.KeyRecords = (*Records)(nil)

// NewRecords returns empty records for at most MaxRecords keys.
func NewRecords() *Records {
	return NewBoundedRecords(MaxRecords)
}

// NewBoundedRecords returns empty records for at most maxRecords keys.
func NewBoundedRecords(maxRecords int) *Records {
	return &Records{
		records:    make(map[recordID]record),
		expiring:   make(map[int64][]recordID),
		maxRecords: maxRecords,
	}
}

// idOf does not cover the caller: an equal key of another caller must be refused,
// and a caller that resends from another address must find its own record.
func idOf(claim savorydeal.KeyClaim) recordID {
	sum := sha256.Sum256([]byte(claim.Service + "\x00" + claim.Key))
	return recordID(sum[:16])
}

func digestOf(claim savorydeal.KeyClaim) [16]byte {
	return [16]byte(claim.Digest[:16])
}

// Claim decides whether a keyed call runs, waits, gets a stored answer or is
// refused. A call that runs is recorded as running.
func (r *Records) Claim(_ time.Time, claim savorydeal.KeyClaim) savorydeal.KeyDecision {
	id := idOf(claim)
	found, ok := r.records[id]
	if !ok {
		return r.claimUnrecorded(id, claim)
	}
	if found.digest != digestOf(claim) {
		return refuse(savorydeal.OutcomeNotRun, savorydeal.ReasonKeyConflict,
			"the key was used for another request; use a new key for a new request")
	}
	if found.caller != xxhash.Sum64String(claim.Caller) {
		// The same caller may have changed its name, so the outcome not_run could
		// be wrong.
		return refuse(savorydeal.OutcomeUnknown, savorydeal.ReasonKeyConflict,
			"the key was used by another caller; use keys that no other caller uses, and one caller name for all resends")
	}
	switch found.state {
	case savorydeal.KeyRunning:
		return savorydeal.KeyDecision{Action: savorydeal.KeyWait}
	case savorydeal.KeyFinished:
		return finishedDecision(found)
	default:
		return refuse(savorydeal.OutcomeUnknown, savorydeal.ReasonAnswerNotHeld,
			"an earlier attempt with this key may have run and its answer was lost; look the result up before a new request")
	}
}

func (r *Records) claimUnrecorded(id recordID, claim savorydeal.KeyClaim) savorydeal.KeyDecision {
	if claim.RefuseUnrecorded != nil {
		return savorydeal.KeyDecision{Action: savorydeal.KeyRefuse, Refusal: *claim.RefuseUnrecorded}
	}
	if len(r.records) >= r.maxRecords {
		return refuse(savorydeal.OutcomeNotRun, savorydeal.ReasonKeyRecordsFull,
			"this node has reached its limit of key records; shorten key_retention_ms or send through another node")
	}
	r.records[id] = record{
		digest:    digestOf(claim),
		caller:    xxhash.Sum64String(claim.Caller),
		state:     savorydeal.KeyRunning,
		retention: claim.Retention,
	}
	return savorydeal.KeyDecision{Action: savorydeal.KeyRun}
}

func finishedDecision(found record) savorydeal.KeyDecision {
	if found.answer != nil {
		return savorydeal.KeyDecision{Action: savorydeal.KeyStored, Answer: *found.answer}
	}
	return refuse(savorydeal.OutcomeUnknown, savorydeal.ReasonAnswerNotHeld,
		"the request of this key has already run and its answer is no longer stored; look the result up")
}

func refuse(outcome savorydeal.Outcome, reason savorydeal.Reason, detail string) savorydeal.KeyDecision {
	return savorydeal.KeyDecision{
		Action:  savorydeal.KeyRefuse,
		Refusal: savorydeal.Refusal{Outcome: outcome, Reason: reason, Detail: detail},
	}
}

// Release removes the record of a running call that turned out not to have run.
func (r *Records) Release(_ time.Time, claim savorydeal.KeyClaim) {
	id := idOf(claim)
	if found, ok := r.records[id]; ok && found.state == savorydeal.KeyRunning {
		delete(r.records, id)
	}
}

// Finish records that the call has run, and stores the answer if its body has at
// most MaxStoredAnswerBytes.
func (r *Records) Finish(now time.Time, claim savorydeal.KeyClaim, answer savorydeal.StoredAnswer) {
	id := idOf(claim)
	if r.end(now, id, savorydeal.KeyFinished) {
		r.storeAnswer(id, &answer)
	}
}

// MarkLost records that the call may have run and that its answer is lost.
func (r *Records) MarkLost(now time.Time, claim savorydeal.KeyClaim) {
	r.end(now, idOf(claim), savorydeal.KeyLost)
}

// end sets the final state and the expiry of a running record. It returns false if
// there is no running record.
func (r *Records) end(now time.Time, id recordID, state savorydeal.KeyState) bool {
	found, ok := r.records[id]
	if !ok || found.state != savorydeal.KeyRunning {
		return false
	}
	found.state = state
	found.expires = now.Add(found.retention + MaxClockSkew)
	r.records[id] = found
	r.schedule(id, found.expires)
	return true
}

func (r *Records) schedule(id recordID, expires time.Time) {
	second := expires.Unix()
	r.expiring[second] = append(r.expiring[second], id)
}

// storeAnswer drops the oldest answers while the bodies would exceed
// MaxStoredBytes; the records of their keys stay.
func (r *Records) storeAnswer(id recordID, answer *savorydeal.StoredAnswer) {
	size := len(answer.Body)
	if size > MaxStoredAnswerBytes {
		return
	}
	for r.storedBytes+size > MaxStoredBytes && len(r.storedAnswers) > 0 {
		r.dropAnswer(r.storedAnswers[0])
		r.storedAnswers = r.storedAnswers[1:]
	}
	found := r.records[id]
	found.answer = answer
	r.records[id] = found
	r.storedBytes += size
	r.storedAnswers = append(r.storedAnswers, id)
}

func (r *Records) dropAnswer(id recordID) {
	found, ok := r.records[id]
	if !ok || found.answer == nil {
		return
	}
	r.storedBytes -= len(found.answer.Body)
	found.answer = nil
	r.records[id] = found
}

// Expire removes the records that have expired and returns their number. It works
// in whole seconds, so a record may stay up to a second longer.
func (r *Records) Expire(now time.Time) int {
	removed := 0
	lastSecond := now.Unix() - 1
	if r.expiredUpTo == 0 {
		r.expiredUpTo = lastSecond - 1
		for second := range r.expiring {
			r.expiredUpTo = min(r.expiredUpTo, second-1)
		}
	}
	for second := r.expiredUpTo + 1; second <= lastSecond; second++ {
		for _, id := range r.expiring[second] {
			r.dropAnswer(id)
			delete(r.records, id)
			removed++
		}
		delete(r.expiring, second)
	}
	r.expiredUpTo = max(r.expiredUpTo, lastSecond)
	for len(r.storedAnswers) > 0 && r.records[r.storedAnswers[0]].answer == nil {
		r.storedAnswers = r.storedAnswers[1:]
	}
	return removed
}

// Len returns the number of records.
func (r *Records) Len() int {
	return len(r.records)
}

// Export returns all records. A call that is still running is exported as lost,
// because the node that takes the records over does not learn its result.
func (r *Records) Export(now time.Time) []savorydeal.KeyRecord {
	exported := make([]savorydeal.KeyRecord, 0, len(r.records))
	for id, found := range r.records {
		record := savorydeal.KeyRecord{
			ID:        id,
			Digest:    found.digest,
			Caller:    found.caller,
			State:     found.state,
			ExpiresIn: found.expires.Sub(now),
			Answer:    found.answer,
		}
		if found.state == savorydeal.KeyRunning {
			record.State = savorydeal.KeyLost
			record.ExpiresIn = found.retention + MaxClockSkew
		}
		exported = append(exported, record)
	}
	return exported
}

// Import adds the records of another node. A record that exists already is not
// replaced.
func (r *Records) Import(now time.Time, records []savorydeal.KeyRecord) {
	for _, imported := range records {
		id := recordID(imported.ID)
		if _, ok := r.records[id]; ok {
			continue
		}
		expires := now.Add(imported.ExpiresIn)
		r.records[id] = record{digest: imported.Digest, caller: imported.Caller, state: imported.State, expires: expires}
		r.schedule(id, expires)
		if imported.Answer != nil {
			r.storeAnswer(id, imported.Answer)
		}
	}
}
