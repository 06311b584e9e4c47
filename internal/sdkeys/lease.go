package sdkeys

import (
	"time"

	"github.com/savorydeal/savorydeal"
)

const (
	// LeaseDuration is how long a node owns a partition after a write to the
	// platform that names it as the owner, counted on its own clock from before
	// the write.
	LeaseDuration = time.Hour
	// RenewInterval is the age at which a lease is renewed. It leaves an owner
	// 50 minutes to renew while the platform is down.
	RenewInterval = 10 * time.Minute
	// LeaseClockMargin is added to LeaseDuration when a takeover waits for the
	// previous lease to expire, because the clocks of two VMs differ in rate.
	LeaseClockMargin = time.Minute
)

// PartitionOwner is the owner that the platform stores for one partition.
type PartitionOwner struct {
	Incarnation
	// Address is the peer address of the owner's node.
	Address string
	// Retention is how long records of the partition's keys are kept. It changes
	// only with a write, so that a takeover knows how long to wait.
	Retention time.Duration
}

// Lease is a node's right to decide on the keys of one partition until it
// expires. The zero value is an expired lease. It is not safe for concurrent use.
type Lease struct {
	// Version is the version of the platform's object that names this node as
	// the owner.
	Version   int64
	Retention time.Duration
	// Superseded is set once the platform names another node as the owner: the
	// lease stays valid until it expires and is not renewed.
	Superseded bool
	expires    time.Time
	// Before timedFrom every key without a record is refused, because a previous
	// owner may still run it. From timedFrom to untimedFrom a key without a
	// record may have run before timedFrom, its record lost with the previous
	// owner, so only timed keys run that were created more than MaxClockSkew
	// after timedFrom. Both are zero if there was no previous owner.
	timedFrom   time.Time
	untimedFrom time.Time
}

// NewLease returns the lease on a partition that had no owner. requestedAt is the
// time before the write that names this node.
func NewLease(requestedAt time.Time, version int64, retention time.Duration) Lease {
	return Lease{Version: version, Retention: retention, expires: requestedAt.Add(LeaseDuration)}
}

// TakeOverLease returns the lease on a partition whose records are lost with the
// previous owner. requestedAt and acknowledgedAt are the times before and after
// the write that names this node. Unless the previous owner is proven dead, no
// key runs before the previous lease has expired. From then on a timed key that
// was created more than MaxClockSkew later cannot have run under the previous
// owner, so it runs. Every other key is refused until all calls that the previous
// owner may have run are past their retention.
func TakeOverLease(requestedAt, acknowledgedAt time.Time, version int64, previous PartitionOwner, provenDead bool, retention time.Duration) Lease {
	previousEnd := acknowledgedAt
	if !provenDead {
		previousEnd = acknowledgedAt.Add(LeaseDuration + LeaseClockMargin)
	}
	return Lease{
		Version:     version,
		Retention:   retention,
		expires:     requestedAt.Add(LeaseDuration),
		timedFrom:   previousEnd,
		untimedFrom: previousEnd.Add(previous.Retention + MaxClockSkew),
	}
}

// Renew extends the lease after a write that named this node again. requestedAt is
// the time before the write.
func (l *Lease) Renew(requestedAt time.Time, version int64, retention time.Duration) {
	l.Version = version
	l.Retention = retention
	l.expires = requestedAt.Add(LeaseDuration)
}

// Remaining returns the time until the lease expires; negative after that.
func (l *Lease) Remaining(now time.Time) time.Duration {
	return l.expires.Sub(now)
}

// NeedsRenewal reports whether the lease is older than RenewInterval.
func (l *Lease) NeedsRenewal(now time.Time) bool {
	return l.Remaining(now) < LeaseDuration-RenewInterval
}

// CheckUnrecorded returns the refusal of a key that has no record, or nil if it
// may run.
func (l *Lease) CheckUnrecorded(now time.Time, key Key) *savorydeal.Refusal {
	if now.Before(l.timedFrom) {
		return recordLostRefusal("the previous owner of this key may still run it; send the same key again later", l.timedFrom.Sub(now))
	}
	if key.Kind == KindTimed {
		return l.checkUnrecordedTimed(now, key)
	}
	if now.Before(l.untimedFrom) {
		return recordLostRefusal("the record of this key may have been lost; look the result up, or send the same key again later", l.untimedFrom.Sub(now))
	}
	return nil
}

func (l *Lease) checkUnrecordedTimed(now time.Time, key Key) *savorydeal.Refusal {
	if now.Sub(key.Created) > l.Retention {
		return expiredRefusal()
	}
	createdLater := key.Created.After(l.timedFrom.Add(MaxClockSkew))
	if !createdLater && now.Before(l.untimedFrom) {
		return recordLostRefusal("the record of this key may have been lost; look the result up, or send the same key again later", l.untimedFrom.Sub(now))
	}
	if key.Created.After(now.Add(MaxClockSkew)) {
		return &savorydeal.Refusal{
			Outcome: savorydeal.OutcomeUnknown,
			Reason:  savorydeal.ReasonKeyExpired,
			Detail:  "the key was created in the future; correct the clock of the caller",
		}
	}
	return nil
}

// CheckUnrecordedOwned returns the refusal of an owned key that has no record, or
// nil if it may run. elapsed is the time since the start of the process that
// issued the key.
func CheckUnrecordedOwned(elapsed time.Duration, key Key, retention time.Duration) *savorydeal.Refusal {
	if key.Issued > elapsed {
		return &savorydeal.Refusal{
			Outcome: savorydeal.OutcomeNotRun,
			Reason:  savorydeal.ReasonBadRequest,
			Detail:  "the key's prefix was not issued by this node; take one from the header of an answer",
		}
	}
	if elapsed-key.Issued > retention {
		return expiredRefusal()
	}
	return nil
}

func expiredRefusal() *savorydeal.Refusal {
	return &savorydeal.Refusal{
		Outcome: savorydeal.OutcomeUnknown,
		Reason:  savorydeal.ReasonKeyExpired,
		Detail:  "the key is older than key_retention_ms, so its record may be gone; look the result up before a new request with a new key",
	}
}

// KeyExpired returns the refusal of a key that was issued before the
// RetentionHistory.EarliestIssue of its service.
func KeyExpired() *savorydeal.Refusal { return expiredRefusal() }

func recordLostRefusal(detail string, wait time.Duration) *savorydeal.Refusal {
	return &savorydeal.Refusal{
		Outcome:    savorydeal.OutcomeUnknown,
		Reason:     savorydeal.ReasonKeyRecordLost,
		Detail:     detail,
		RetryAfter: wait,
	}
}

// LeaseState is a lease as it is sent to another node. It holds durations instead
// of times, because the clocks of the two nodes differ.
type LeaseState struct {
	Service   string
	Partition int
	// Version is the version of the platform's object that names the owner.
	Version   int64
	Retention time.Duration
	// Without a record, no key runs during TimedWait, and from then until the
	// end of UntimedWait only timed keys that were created more than
	// MaxClockSkew after the end of TimedWait. Both are 0 if there is nothing to
	// wait for.
	TimedWait   time.Duration
	UntimedWait time.Duration
}

// Export returns the state of the lease for the node that inherits it.
func (l *Lease) Export(now time.Time, service string, partition int) LeaseState {
	return LeaseState{
		Service:     service,
		Partition:   partition,
		Version:     l.Version,
		Retention:   l.Retention,
		TimedWait:   max(0, l.timedFrom.Sub(now)),
		UntimedWait: max(0, l.untimedFrom.Sub(now)),
	}
}

// InheritLease returns the lease of a node that has received the records of the
// previous owner, which no longer decides. requestedAt is the time before the
// write that names this node.
func InheritLease(requestedAt time.Time, state LeaseState, version int64) Lease {
	return Lease{
		Version:     version,
		Retention:   state.Retention,
		expires:     requestedAt.Add(LeaseDuration),
		timedFrom:   requestedAt.Add(state.TimedWait),
		untimedFrom: requestedAt.Add(state.UntimedWait),
	}
}
