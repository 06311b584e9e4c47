// Package sdkeyed runs keyed calls through the one node that owns their key,
// so that a resend through any node meets the record of the first try.
package sdkeyed

import (
	"bytes"
	"context"
	"errors"
	"io"
	"sync"
	"time"

	"github.com/savorydeal/savorydeal"
	"github.com/savorydeal/savorydeal/internal/sdbody"
	"github.com/savorydeal/savorydeal/internal/sdinvariant"
)

const (
	// maxAnswerBytes bounds an answer to a keyed call, which is read whole
	// before any of it is passed on.
	maxAnswerBytes = 4 << 20
	expireInterval = time.Second
)

// Owner decides on the keys this node owns. It is a savorydeal.Carrier.
type Owner struct {
	Clock savorydeal.Clock
	// Next runs a call that may run.
	Next savorydeal.Carrier

	mu      sync.Mutex
	records savorydeal.KeyRecords
	waiters map[waiterID]chan struct{}
	expired time.Time
}

type waiterID struct {
	service string
	caller  string
	key     string
}

var _ savorydeal.Carrier = (*Owner)(nil)

// NewOwner returns an owner with the given records.
func NewOwner(clock savorydeal.Clock, records savorydeal.KeyRecords, next savorydeal.Carrier) *Owner {
	return &Owner{
		Clock:   clock,
		Next:    next,
		records: records,
		waiters: make(map[waiterID]chan struct{}),
	}
}

// Held returns the number of keys remembered.
func (o *Owner) Held() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.records.Held()
}

// Carry runs the call if its key allows it, waits for an earlier try that is
// still running, or answers from the record.
func (o *Owner) Carry(ctx context.Context, call savorydeal.Call, body io.ReadCloser) (savorydeal.Answer, error) {
	claim := savorydeal.KeyClaim{
		Service:    call.Service,
		Caller:     call.Chain.Caller,
		Key:        call.Key,
		BodyDigest: call.BodyDigest,
		Deadline:   o.Clock.Now().Add(call.Timeout),
		Retention:  call.KeyRetention,
	}
	for {
		decision, ended := o.claim(claim)
		switch decision.Verdict {
		case savorydeal.KeyRun:
			return o.run(ctx, claim, call, body)
		case savorydeal.KeyStored:
			_ = body.Close()
			return stored(decision.Answer), nil
		case savorydeal.KeyRefuse:
			_ = body.Close()
			refusal := decision.Refusal
			return savorydeal.Answer{}, &refusal
		}
		select {
		case <-ended:
		case <-ctx.Done():
			_ = body.Close()
			return savorydeal.Answer{}, &savorydeal.Refusal{
				Outcome: savorydeal.OutcomeUnknown,
				Reason:  savorydeal.ReasonDeadline,
				Detail:  "an earlier try of this key is still running; send the same key again for its answer",
			}
		}
	}
}

func (o *Owner) claim(claim savorydeal.KeyClaim) (savorydeal.KeyDecision, <-chan struct{}) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.Clock.Now()
	if now.Sub(o.expired) >= expireInterval {
		o.records.Expire(now)
		o.expired = now
	}
	decision := o.records.Claim(now, claim)
	id := waiterID{service: claim.Service, caller: claim.Caller, key: claim.Key}
	if decision.Verdict == savorydeal.KeyRun {
		sdinvariant.AtMostOnce.Check(o.waiters[id] == nil, func() string { return "key " + claim.Key + " runs while its first run is going" })
		o.waiters[id] = make(chan struct{})
	}
	return decision, o.waiters[id]
}

// run runs the call without the caller's cancellation: a caller that resends
// the key after its connection broke gets the answer of this run.
func (o *Owner) run(ctx context.Context, claim savorydeal.KeyClaim, call savorydeal.Call, body io.ReadCloser) (savorydeal.Answer, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), call.Timeout)
	defer cancel()
	answer, err := o.Next.Carry(ctx, call, body)
	if err != nil {
		o.end(claim, func(now time.Time) { o.endRefused(now, claim, err) })
		return savorydeal.Answer{}, err
	}
	whole, err := sdbody.ReadWhole(answer.Body, maxAnswerBytes)
	if err != nil {
		o.end(claim, func(now time.Time) { o.records.Lost(now, claim) })
		return savorydeal.Answer{}, &savorydeal.Refusal{
			Outcome: savorydeal.OutcomeUnknown,
			Reason:  savorydeal.ReasonTargetFailed,
			Detail:  "the request ran and its answer was cut short: " + err.Error(),
		}
	}
	kept := savorydeal.StoredAnswer{Status: answer.Status, Headers: answer.Headers, Body: whole}
	o.end(claim, func(now time.Time) { o.records.Finish(now, claim, kept) })
	answer.ContentLength = int64(len(whole))
	answer.Body = io.NopCloser(bytes.NewReader(whole))
	return answer, nil
}

func (o *Owner) endRefused(now time.Time, claim savorydeal.KeyClaim, err error) {
	var refusal *savorydeal.Refusal
	if errors.As(err, &refusal) && refusal.Outcome == savorydeal.OutcomeNotRun {
		o.records.NotRun(now, claim)
		return
	}
	o.records.Lost(now, claim)
}

func (o *Owner) end(claim savorydeal.KeyClaim, record func(now time.Time)) {
	id := waiterID{service: claim.Service, caller: claim.Caller, key: claim.Key}
	o.mu.Lock()
	defer o.mu.Unlock()
	record(o.Clock.Now())
	close(o.waiters[id])
	delete(o.waiters, id)
}

func stored(answer savorydeal.StoredAnswer) savorydeal.Answer {
	return savorydeal.Answer{
		Status:        answer.Status,
		Headers:       answer.Headers,
		ContentLength: int64(len(answer.Body)),
		Body:          io.NopCloser(bytes.NewReader(answer.Body)),
		End:           &savorydeal.AnswerEnd{},
	}
}
