package sdkeys

import (
	"time"

	"github.com/savorydeal/savorydeal"
)

const (
	// Hold is how long a node owns a part after a write to the platform that
	// names it, counted on its own clock from before the write.
	Hold = time.Hour
	// RenewInterval leaves an owner 50 minutes of a platform that is down.
	RenewInterval = 10 * time.Minute
	// HoldGuard is added to a takeover's wait: clocks of two VMs do not run at
	// quite the same rate.
	HoldGuard = time.Minute
)

// PartOwner is what the platform keeps of one part of a service's keys.
type PartOwner struct {
	Incarnation
	Address string
	// Retention is how long keys of the part are remembered. It changes only
	// with a write, so that a takeover knows how long to wait.
	Retention time.Duration
}

// Holding is a node's right to decide on one part. The zero value holds
// nothing. It is not safe for concurrent use.
type Holding struct {
	// Version is the version of the platform's object that names this node.
	Version   int64
	Retention time.Duration
	// Lost is set once the platform names another node: the right runs to its
	// end and is not renewed.
	Lost bool
	// until is when the right ends.
	until time.Time
	// timedFrom and untimedFrom are the first moments from which a key that
	// has no record cannot have run under an earlier owner.
	timedFrom   time.Time
	untimedFrom time.Time
}

// Create begins the holding of a part that no node has held before.
func Create(asked time.Time, version int64, retention time.Duration) Holding {
	return Holding{Version: version, Retention: retention, until: asked.Add(Hold)}
}

// TakeOver begins the holding of a part whose records are lost. asked and
// answered are the times around the write. While the earlier owner may be
// alive its right must end first; if it is proved dead it need not be waited
// for. From that moment keys made later are new. Keys that tell no time are
// refused until everything the earlier owner ran is past its retention.
func TakeOver(asked, answered time.Time, version int64, earlier PartOwner, provedDead bool, retention time.Duration) Holding {
	ended := answered
	if !provedDead {
		ended = answered.Add(Hold + HoldGuard)
	}
	return Holding{
		Version:     version,
		Retention:   retention,
		until:       asked.Add(Hold),
		timedFrom:   ended,
		untimedFrom: ended.Add(earlier.Retention + KeySkew),
	}
}

// Renew extends the right after a write that named this node again.
func (h *Holding) Renew(asked time.Time, version int64, retention time.Duration) {
	h.Version = version
	h.Retention = retention
	h.until = asked.Add(Hold)
}

// Left is the time for which the node may still act on the part.
func (h *Holding) Left(now time.Time) time.Duration {
	return h.until.Sub(now)
}

// NeedsRenewal reports whether the right should be extended now.
func (h *Holding) NeedsRenewal(now time.Time) bool {
	return h.Left(now) < Hold-RenewInterval
}

// Unseen returns the refusal of a key that has no record, or nil if it may
// run.
func (h *Holding) Unseen(now time.Time, key Key) *savorydeal.Refusal {
	if now.Before(h.timedFrom) {
		return recordLost("the owner of this key was lost and may still run it; send the same key again later", h.timedFrom.Sub(now))
	}
	if key.Kind == KindTimed {
		return h.unseenTimed(now, key)
	}
	if now.Before(h.untimedFrom) {
		return recordLost("the record of this key may have been lost; look the result up, or send the same key again later", h.untimedFrom.Sub(now))
	}
	return nil
}

func (h *Holding) unseenTimed(now time.Time, key Key) *savorydeal.Refusal {
	if now.Sub(key.Made) > h.Retention {
		return expired()
	}
	madeLater := key.Made.After(h.timedFrom.Add(KeySkew))
	if !madeLater && now.Before(h.untimedFrom) {
		return recordLost("the record of this key may have been lost; look the result up, or send the same key again later", h.untimedFrom.Sub(now))
	}
	if key.Made.After(now.Add(KeySkew)) {
		return &savorydeal.Refusal{
			Outcome: savorydeal.OutcomeUnknown,
			Reason:  savorydeal.ReasonKeyExpired,
			Detail:  "the key was made in the future; set the clock of the caller",
		}
	}
	return nil
}

// UnseenOwned returns the refusal of an owned key that has no record, or nil
// if it may run. elapsed is the time since the start of the incarnation that
// issued it.
func UnseenOwned(elapsed time.Duration, key Key, retention time.Duration) *savorydeal.Refusal {
	if key.Issued > elapsed {
		return &savorydeal.Refusal{
			Outcome: savorydeal.OutcomeNotRun,
			Reason:  savorydeal.ReasonBadRequest,
			Detail:  "the key's prefix was not issued by this node; take one from the header of an answer",
		}
	}
	if elapsed-key.Issued > retention {
		return expired()
	}
	return nil
}

func expired() *savorydeal.Refusal {
	return &savorydeal.Refusal{
		Outcome: savorydeal.OutcomeUnknown,
		Reason:  savorydeal.ReasonKeyExpired,
		Detail:  "the key is older than key_retention_ms, so its record may be gone; look the result up before a new request with a new key",
	}
}

// TooOld is the refusal of a key that was issued before the floor of its
// service.
func TooOld() *savorydeal.Refusal { return expired() }

func recordLost(detail string, wait time.Duration) *savorydeal.Refusal {
	return &savorydeal.Refusal{
		Outcome:    savorydeal.OutcomeUnknown,
		Reason:     savorydeal.ReasonKeyRecordLost,
		Detail:     detail,
		RetryAfter: wait,
	}
}

// HoldingState is a holding on its way to another node: ages instead of times.
type HoldingState struct {
	Service string
	Part    int
	// Version is the version of the platform's object.
	Version   int64
	Retention time.Duration
	// TimedIn and UntimedIn are the times until keys without a record may run.
	TimedIn   time.Duration
	UntimedIn time.Duration
}

// Export returns the holding for another node.
func (h *Holding) Export(now time.Time, service string, part int) HoldingState {
	return HoldingState{
		Service:   service,
		Part:      part,
		Version:   h.Version,
		Retention: h.Retention,
		TimedIn:   max(0, h.timedFrom.Sub(now)),
		UntimedIn: max(0, h.untimedFrom.Sub(now)),
	}
}

// Inherit begins a holding with the records of the earlier owner, which has
// stopped deciding. asked is the time before the write that names this node.
func Inherit(asked time.Time, state HoldingState, version int64) Holding {
	return Holding{
		Version:     version,
		Retention:   state.Retention,
		until:       asked.Add(Hold),
		timedFrom:   asked.Add(state.TimedIn),
		untimedFrom: asked.Add(state.UntimedIn),
	}
}
