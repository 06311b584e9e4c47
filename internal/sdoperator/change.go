package sdoperator

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/savorydeal/savorydeal"
	"github.com/savorydeal/savorydeal/internal/sdrecord"
)

const (
	// maxReads bounds the reads that wait for an up-to-date version or look up
	// the outcome of a write.
	maxReads = 4
	// readInterval is the wait between these reads.
	readInterval = 250 * time.Millisecond
)

// policyChange is an operator's request to replace or delete one policy.
type policyChange struct {
	service         string
	changeID        string
	expectedVersion int64
	deleted         bool
	policy          savorydeal.Policy
}

// ConflictError means that the current version of the policy is not the expected
// one. The change was not made.
type ConflictError struct {
	Service string
	// Current is the version that the platform stores; 0 if there is no policy or
	// it is deleted.
	Current int64
}

// Error returns the current version and the remedy.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("policy %s has version %d, which is not the expected one; read it again and apply the change to that version", e.Service, e.Current)
}

// NotRunError means that this request changed nothing and cannot take effect
// later. An earlier request with the same change ID may have taken effect.
type NotRunError struct{ Cause error }

// Error returns the cause.
func (e *NotRunError) Error() string {
	return "this request changed nothing: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *NotRunError) Unwrap() error { return e.Cause }

// UnknownOutcomeError means that the change may have taken effect or may still
// take effect.
type UnknownOutcomeError struct{ Cause error }

// Error returns the cause and the remedy.
func (e *UnknownOutcomeError) Error() string {
	return "the change may have been made; repeat it with the same change ID: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *UnknownOutcomeError) Unwrap() error { return e.Cause }

// policyWriter writes policy changes to the platform and finds out the outcome of
// a write that failed.
type policyWriter struct {
	platform savorydeal.Platform
	clock    savorydeal.Clock
}

// acceptedChange is a change that the platform has stored. The record may be an
// earlier one than the object's current record.
type acceptedChange struct {
	object savorydeal.Object
	record savorydeal.PolicyRecord
}

// apply makes the change at most once: a repeat with the same change ID returns
// the record of the first request.
func (w *policyWriter) apply(ctx context.Context, change policyChange) (acceptedChange, error) {
	current, err := w.readUpToDate(ctx, change)
	if err != nil {
		return acceptedChange{}, err
	}
	if earlier, ok := current.findChange(change.changeID); ok {
		return earlier, nil
	}
	if current.visibleVersion() != change.expectedVersion {
		return acceptedChange{}, &ConflictError{Service: change.service, Current: current.visibleVersion()}
	}
	value, err := sdrecord.EncodeValue(w.newRecord(current, change))
	if err != nil {
		return acceptedChange{}, &NotRunError{Cause: err}
	}
	object, err := w.platform.Put(ctx, sdrecord.KindPolicy, change.service, current.object.Version, value)
	switch {
	case err == nil:
		return decodeChange(object)
	case errors.Is(err, savorydeal.ErrPlatformRefused):
		return acceptedChange{}, &NotRunError{Cause: err}
	default:
		return w.resolveOutcome(ctx, current, change, err)
	}
}

// readUpToDate reads the policy until its version is at least the expected one.
// Versions only grow, so an older version means that the read lags. It may lag
// behind a version that an earlier request with the same change ID has written.
func (w *policyWriter) readUpToDate(ctx context.Context, change policyChange) (storedPolicy, error) {
	for attempt := 1; ; attempt++ {
		current, err := w.read(ctx, change.service)
		if err != nil {
			return storedPolicy{}, &NotRunError{Cause: err}
		}
		if current.object.Version >= change.expectedVersion {
			return current, nil
		}
		if _, ok := current.findChange(change.changeID); ok {
			return current, nil
		}
		if attempt == maxReads {
			return storedPolicy{}, &UnknownOutcomeError{Cause: fmt.Errorf("the platform returned version %d, which is older than the expected version %d",
				current.object.Version, change.expectedVersion)}
		}
		select {
		case <-w.clock.After(readInterval):
		case <-ctx.Done():
			return storedPolicy{}, &NotRunError{Cause: ctx.Err()}
		}
	}
}

// newRecord returns the record to write for the change. Its history starts with the
// current record.
func (w *policyWriter) newRecord(current storedPolicy, change policyChange) savorydeal.PolicyRecord {
	record := savorydeal.PolicyRecord{
		Service:   change.service,
		ChangeID:  change.changeID,
		Deleted:   change.deleted,
		ChangedAt: w.clock.Now(),
		Policy:    change.policy,
	}
	if current.object.Version > 0 {
		earlier := current.record
		earlier.History = nil
		record.History = append([]savorydeal.PolicyRecord{earlier}, current.record.History...)
	}
	return record
}

// resolveOutcome reads the policy to find out whether a write took effect. Once the
// stored version is newer than the one that the write expected, the write can no
// longer take effect; until then it may still be in flight.
func (w *policyWriter) resolveOutcome(ctx context.Context, before storedPolicy, change policyChange, cause error) (acceptedChange, error) {
	for range maxReads {
		current, err := w.read(ctx, change.service)
		if err == nil {
			if earlier, ok := current.findChange(change.changeID); ok {
				return earlier, nil
			}
			if current.object.Version > before.object.Version {
				return acceptedChange{}, &ConflictError{Service: change.service, Current: current.visibleVersion()}
			}
		}
		select {
		case <-w.clock.After(readInterval):
		case <-ctx.Done():
			return acceptedChange{}, &UnknownOutcomeError{Cause: cause}
		}
	}
	return acceptedChange{}, &UnknownOutcomeError{Cause: cause}
}

// storedPolicy is a policy as read from the platform; its object version is 0 if
// there is none.
type storedPolicy struct {
	object savorydeal.Object
	record savorydeal.PolicyRecord
}

// visibleVersion returns the version that operators see; 0 if there is no policy or
// it is deleted.
func (s storedPolicy) visibleVersion() int64 {
	if s.record.Deleted {
		return 0
	}
	return s.object.Version
}

// findChange returns the change with the ID if it is the current record or in its
// history.
func (s storedPolicy) findChange(changeID string) (acceptedChange, bool) {
	if s.object.Version == 0 {
		return acceptedChange{}, false
	}
	if s.record.ChangeID == changeID {
		return acceptedChange(s), true
	}
	i := slices.IndexFunc(s.record.History, func(r savorydeal.PolicyRecord) bool { return r.ChangeID == changeID })
	if i < 0 {
		return acceptedChange{}, false
	}
	return acceptedChange{object: s.object, record: s.record.History[i]}, true
}

func (w *policyWriter) read(ctx context.Context, service string) (storedPolicy, error) {
	object, err := w.platform.Get(ctx, sdrecord.KindPolicy, service)
	if errors.Is(err, savorydeal.ErrObjectNotFound) {
		return storedPolicy{}, nil
	}
	if err != nil {
		return storedPolicy{}, fmt.Errorf("read policy: %w", err)
	}
	current, err := decodeChange(object)
	return storedPolicy(current), err
}

func decodeChange(object savorydeal.Object) (acceptedChange, error) {
	record, err := sdrecord.DecodeValue(object)
	if err != nil {
		return acceptedChange{}, err
	}
	return acceptedChange{object: object, record: record}, nil
}
