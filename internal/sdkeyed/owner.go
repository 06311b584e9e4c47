// Package sdkeyed sends every call with an idempotency key to the one process that
// decides whether it may run, the owner of the key, so that a resend through any
// node finds the record of the first attempt.
package sdkeyed

import (
	"bytes"
	"context"
	"crypto/sha256"
	"errors"
	"io"
	"sync"
	"time"

	"github.com/savorydeal/savorydeal"
	"github.com/savorydeal/savorydeal/internal/sdbody"
	"github.com/savorydeal/savorydeal/internal/sdinvariant"
	"github.com/savorydeal/savorydeal/internal/sdkeys"
	"github.com/savorydeal/savorydeal/internal/sdmemory"
	"github.com/savorydeal/savorydeal/internal/sdretry"
)

const (
	// maxAnswerBytes bounds the body of an answer to a keyed call, which is read
	// completely before any of it is passed on.
	maxAnswerBytes = 4 << 20
	// expireInterval is the minimum time between two removals of expired records.
	expireInterval = time.Second
)

// Owner decides on the keys that this process issued, on those of its predecessors
// whose keys it has taken over, and on the keys of the partitions on which it has
// a lease. It is a savorydeal.Forwarder for calls with such keys: it refuses other
// calls and does not pass them to another node.
type Owner struct {
	clock savorydeal.Clock
	self  sdkeys.Incarnation
	// next sends a call that may run to a target.
	next savorydeal.Forwarder
	// answers bounds the memory of large answers; nil sets no bound.
	answers *sdmemory.Budget
	// onUnknownOutcome is called for every call that this owner sent on and that
	// ended with the outcome unknown; it must not block.
	onUnknownOutcome func(savorydeal.Call, savorydeal.Refusal)

	mu         sync.Mutex
	records    savorydeal.KeyRecords
	retentions *sdkeys.RetentionHistory
	resends    *sdretry.ResendTracker
	// runEnded has a channel for each running call, closed when the call ends.
	runEnded   map[runID]chan struct{}
	lastExpiry time.Time
	// frozen is set by Freeze: no further key runs. exported is set by Export:
	// another process may decide on the keys, so this one does not.
	frozen   bool
	exported bool
	// incarnations holds this process and the predecessors whose keys it has taken
	// over.
	incarnations map[sdkeys.Incarnation]ownedIncarnation
	leases       map[partitionID]*sdkeys.Lease
	running      int
}

// ownedIncarnation describes a process that issued keys on which this process
// decides: this process itself or a predecessor.
type ownedIncarnation struct {
	// startedAt is when the process started, on this process's clock.
	startedAt time.Time
	// takenOverAt is when its keys were taken over; zero for this process itself.
	takenOverAt time.Time
	// version is the version of the platform's object that names this process as
	// the successor; 0 for this process itself.
	version int64
}

// runID identifies a running keyed call.
type runID struct {
	service string
	key     string
}

// partitionID identifies a partition of the keys of a service.
type partitionID struct {
	service   string
	partition int
}

var _ savorydeal.Forwarder = (*Owner)(nil)

// NewOwner returns an Owner for the process self, which decides on the keys that
// self issues. next sends the calls that may run to a target.
func NewOwner(clock savorydeal.Clock, self sdkeys.Incarnation, records savorydeal.KeyRecords, next savorydeal.Forwarder) *Owner {
	return &Owner{
		clock:            clock,
		self:             self,
		next:             next,
		onUnknownOutcome: func(savorydeal.Call, savorydeal.Refusal) {},
		records:          records,
		retentions:       sdkeys.NewRetentionHistory(),
		resends:          sdretry.NewResendTracker(),
		runEnded:         make(map[runID]chan struct{}),
		incarnations:     map[sdkeys.Incarnation]ownedIncarnation{self: {startedAt: clock.Now()}},
		leases:           make(map[partitionID]*sdkeys.Lease),
	}
}

// OnUnknownOutcome sets the function to call for every call that this owner sent on
// and that ended with the outcome unknown. It must be set before the first call of
// Forward, and must not block.
func (o *Owner) OnUnknownOutcome(report func(savorydeal.Call, savorydeal.Refusal)) {
	o.onUnknownOutcome = report
}

// Prefix returns a prefix for keys on which this process decides, or "" once the
// owner is frozen.
func (o *Owner) Prefix() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.frozen {
		return ""
	}
	return sdkeys.Prefix(o.self, o.clock.Now().Sub(o.incarnations[o.self].startedAt))
}

// Frozen reports whether Freeze was called.
func (o *Owner) Frozen() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.frozen
}

// RecordCount returns the number of key records.
func (o *Owner) RecordCount() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.records.Len()
}

// Forward runs the call if its key has not run, waits for an earlier attempt that is
// still running, or returns the stored answer.
func (o *Owner) Forward(ctx context.Context, call savorydeal.Call, body io.ReadCloser) (savorydeal.Answer, error) {
	for {
		result := o.claim(call)
		switch result.decision.Action {
		case savorydeal.KeyRun:
			return o.run(ctx, result, call, body)
		case savorydeal.KeyStored:
			_ = body.Close()
			return toAnswer(result.decision.Answer), nil
		case savorydeal.KeyRefuse:
			_ = body.Close()
			refusal := result.decision.Refusal
			return savorydeal.Answer{}, &refusal
		}
		select {
		case <-result.runEnded:
		case <-ctx.Done():
			_ = body.Close()
			return savorydeal.Answer{}, &savorydeal.Refusal{
				Outcome: savorydeal.OutcomeUnknown,
				Reason:  savorydeal.ReasonDeadline,
				Detail:  "an earlier attempt with this key is still running; send the same key again for its answer",
			}
		}
	}
}

// claimResult is a claim and the decision on it.
type claimResult struct {
	claim    savorydeal.KeyClaim
	decision savorydeal.KeyDecision
	// runEnded is closed when the running call of the key ends; nil if none runs.
	runEnded <-chan struct{}
	// fence is when the authority to run the call ends; zero if it does not.
	fence time.Time
	// retriesLeft is the number of retries left to the request, over all its
	// resends.
	retriesLeft int
	// resend is true if the request was sent before.
	resend bool
}

// claim checks, under one lock, that this process has authority over the key, and
// decides on the call.
func (o *Owner) claim(call savorydeal.Call) claimResult {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.clock.Now()
	if now.Sub(o.lastExpiry) >= expireInterval {
		o.records.Expire(now)
		o.resends.Expire(now)
		o.lastExpiry = now
	}
	authority, refusal := o.authorityFor(now, call)
	if refusal != nil {
		return claimResult{decision: savorydeal.KeyDecision{Action: savorydeal.KeyRefuse, Refusal: *refusal}}
	}
	result := claimResult{fence: authority.fence, claim: savorydeal.KeyClaim{
		Service:          call.Service,
		Caller:           call.Chain.Caller,
		Key:              call.Key,
		Digest:           digestOf(call),
		Deadline:         now.Add(call.Timeout),
		Retention:        authority.retention,
		RefuseUnrecorded: authority.refuseUnrecorded,
	}}
	result.decision = o.records.Claim(now, result.claim)
	id := runID{service: call.Service, key: call.Key}
	if result.decision.Action == savorydeal.KeyRun {
		sdinvariant.AtMostOnce.Check(o.runEnded[id] == nil, func() string { return "key " + call.Key + " runs a second time while its first run has not ended" })
		o.runEnded[id] = make(chan struct{})
		o.running++
		result.retriesLeft, result.resend = o.resends.Begin(now, resendKey(call), call.Chain.RetriesGranted)
	}
	result.runEnded = o.runEnded[id]
	return result
}

func resendKey(call savorydeal.Call) string {
	return call.Service + "\x00" + call.Key
}

// digestOf returns a digest of what identifies a request: method, path and body. A
// key reused for another request must not get the stored answer.
func digestOf(call savorydeal.Call) [32]byte {
	digest := sha256.New()
	_, _ = io.WriteString(digest, call.Method+"\x00"+call.Path+"\x00")
	_, _ = digest.Write(call.BodyDigest[:])
	return [32]byte(digest.Sum(nil))
}

// run runs the call independently of the caller's cancellation, so that a caller
// whose connection broke can resend the key and get the answer of this run. It
// records the result.
func (o *Owner) run(ctx context.Context, result claimResult, call savorydeal.Call, body io.ReadCloser) (answer savorydeal.Answer, err error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), call.Timeout)
	defer cancel()
	call.Fence = result.fence
	call.Chain.RetriesGranted = result.retriesLeft
	call.Resend = result.resend
	// The end is recorded even if next panics. Otherwise the record would stay
	// running for ever, and every resend of the key would wait for its end.
	recorded := false
	defer func() {
		if !recorded {
			o.endRun(call, func(now time.Time) { o.records.MarkLost(now, result.claim) })
		}
	}()
	answer, err = o.next.Forward(ctx, call, body)
	if err != nil {
		recorded = true
		return savorydeal.Answer{}, o.recordRefused(result, call, err)
	}
	release, err := o.reserveAnswer(ctx, answer)
	var bodyBytes []byte
	if err == nil {
		bodyBytes, err = sdbody.ReadLimited(answer.Body, maxAnswerBytes)
	}
	if err != nil {
		release()
		recorded = true
		return savorydeal.Answer{}, o.recordRefused(result, call, &savorydeal.Refusal{
			Outcome: savorydeal.OutcomeUnknown,
			Reason:  savorydeal.ReasonTargetFailed,
			Detail:  "the request ran and its answer was incomplete: " + err.Error(),
			End:     answer.End,
		})
	}
	recorded = true
	storedAnswer := savorydeal.StoredAnswer{Status: answer.Status, Headers: answer.Headers, Body: bodyBytes}
	o.endRun(call, func(now time.Time) {
		o.resends.Forget(resendKey(call))
		o.records.Finish(now, result.claim, storedAnswer)
	})
	answer.ContentLength = int64(len(bodyBytes))
	answer.Body = &heldAnswer{Reader: bytes.NewReader(bodyBytes), release: release}
	return answer, nil
}

// recordRefused records the end of a call without an answer and returns its refusal.
func (o *Owner) recordRefused(result claimResult, call savorydeal.Call, err error) error {
	var refusal *savorydeal.Refusal
	if !errors.As(err, &refusal) {
		refusal = &savorydeal.Refusal{Outcome: savorydeal.OutcomeUnknown, Reason: savorydeal.ReasonTargetFailed, Detail: err.Error()}
	}
	if refusal.Outcome == savorydeal.OutcomeNotRun {
		o.endRun(call, func(now time.Time) {
			spent := 0
			if refusal.End != nil {
				spent = refusal.End.RetriesSpent
			}
			o.resends.RecordNotRun(now, resendKey(call), result.retriesLeft, spent)
			o.records.Release(now, result.claim)
		})
		return refusal
	}
	o.endRun(call, func(now time.Time) {
		o.resends.Forget(resendKey(call))
		o.records.MarkLost(now, result.claim)
	})
	o.onUnknownOutcome(call, *refusal)
	return refusal
}

// endRun calls record under the lock and wakes the resends that wait for the run.
func (o *Owner) endRun(call savorydeal.Call, record func(now time.Time)) {
	id := runID{service: call.Service, key: call.Key}
	o.mu.Lock()
	defer o.mu.Unlock()
	record(o.clock.Now())
	o.running--
	close(o.runEnded[id])
	delete(o.runEnded, id)
}

func toAnswer(answer savorydeal.StoredAnswer) savorydeal.Answer {
	return savorydeal.Answer{
		Status:        answer.Status,
		Headers:       answer.Headers,
		ContentLength: int64(len(answer.Body)),
		Body:          io.NopCloser(bytes.NewReader(answer.Body)),
		End:           &savorydeal.AnswerEnd{BodyBytes: int64(len(answer.Body))},
	}
}
