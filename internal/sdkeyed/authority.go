package sdkeyed

import (
	"time"

	"github.com/savorydeal/savorydeal"
	"github.com/savorydeal/savorydeal/internal/sdkeys"
)

// authority describes how this process may decide on one key.
type authority struct {
	// fence is when the authority ends; zero if it does not.
	fence time.Time
	// retention is how long the record of the key is kept.
	retention time.Duration
	// refuseUnrecorded is the refusal of the key if it has no record; nil if the
	// key may run.
	refuseUnrecorded *savorydeal.Refusal
}

// authorityFor returns this process's authority over the key of the call, or the
// refusal of a call on which another process must decide. The caller holds mu.
func (o *Owner) authorityFor(now time.Time, call savorydeal.Call) (authority, *savorydeal.Refusal) {
	if o.exported {
		return authority{}, wrongNodeRefusal()
	}
	key := sdkeys.Parse(call.Key)
	var granted authority
	var refusal *savorydeal.Refusal
	if key.Kind == sdkeys.KindOwned {
		granted, refusal = o.authorityForOwned(now, key, call)
	} else {
		granted, refusal = o.authorityForPartition(now, key, call)
	}
	if refusal == nil && o.frozen && granted.refuseUnrecorded == nil {
		// Without a record the key has not run, because the records are complete,
		// and this process will not run it any more.
		granted.refuseUnrecorded = &savorydeal.Refusal{
			Outcome:    savorydeal.OutcomeNotRun,
			Reason:     savorydeal.ReasonStopping,
			Detail:     "the node is handing its keys over; send the same key again",
			RetryAfter: time.Second,
		}
	}
	return granted, refusal
}

func (o *Owner) authorityForOwned(now time.Time, key sdkeys.Key, call savorydeal.Call) (authority, *savorydeal.Refusal) {
	incarnation, ok := o.incarnations[key.Owner]
	if !ok {
		return authority{}, wrongNodeRefusal()
	}
	granted := authority{retention: call.KeyRetention}
	granted.refuseUnrecorded = sdkeys.CheckUnrecordedOwned(now.Sub(incarnation.startedAt), key, call.KeyRetention)
	if granted.refuseUnrecorded == nil {
		granted.refuseUnrecorded = o.checkIssueTime(now, call.Service, call.KeyRetention, incarnation.startedAt.Add(key.Issued))
	}
	return granted, nil
}

func (o *Owner) authorityForPartition(now time.Time, key sdkeys.Key, call savorydeal.Call) (authority, *savorydeal.Refusal) {
	lease := o.leases[partitionID{service: call.Service, partition: sdkeys.PartitionOf(call.Service, call.Key)}]
	if lease == nil || lease.Remaining(now) <= 0 {
		return authority{}, wrongNodeRefusal()
	}
	retention := min(call.KeyRetention, lease.Retention)
	granted := authority{fence: now.Add(lease.Remaining(now)), retention: retention}
	granted.refuseUnrecorded = lease.CheckUnrecorded(now, key)
	if granted.refuseUnrecorded == nil && key.Kind == sdkeys.KindTimed {
		granted.refuseUnrecorded = o.checkIssueTime(now, call.Service, retention, key.Created.Add(-sdkeys.MaxClockSkew))
	}
	return granted, nil
}

// checkIssueTime returns the refusal of a key without a record whose record may
// have expired under an earlier, shorter retention, or nil. The caller holds mu.
func (o *Owner) checkIssueTime(now time.Time, service string, retention time.Duration, issuedAt time.Time) *savorydeal.Refusal {
	earliest, ok := o.retentions.EarliestIssue(now, service, retention)
	if !ok || issuedAt.Before(earliest) {
		return sdkeys.KeyExpired()
	}
	return nil
}

// wrongNodeRefusal returns the refusal of a key on which another process decides.
// Its outcome is unknown instead of not_run, because the key may have run at that
// process.
func wrongNodeRefusal() *savorydeal.Refusal {
	return &savorydeal.Refusal{
		Outcome: savorydeal.OutcomeUnknown,
		Reason:  savorydeal.ReasonWrongNode,
		Detail:  "this node does not decide on the key; send the same key again",
	}
}

// decidesOn reports whether this process has authority over the key of the call
// now.
func (o *Owner) decidesOn(call savorydeal.Call) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	_, refusal := o.authorityFor(o.clock.Now(), call)
	return refusal == nil
}
