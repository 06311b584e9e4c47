package savorydeal

import "time"

// Outcome is what is known about the execution of a call.
type Outcome string

const (
	// OutcomeAnswered means that the target's complete answer was received.
	OutcomeAnswered Outcome = "answered"
	// OutcomeNotRun means that no byte of the request reached a target, or that
	// the target reported not to have run it and the policy trusts such reports.
	OutcomeNotRun Outcome = "not_run"
	// OutcomeUnknown means that the request may have run.
	OutcomeUnknown Outcome = "unknown"
)

// Reason is the cause of a refusal. The values are stable: operators alert on
// them and callers may depend on them.
type Reason string

// Reasons of refusals.
const (
	ReasonBadRequest      Reason = "bad_request"
	ReasonUnknownService  Reason = "unknown_service"
	ReasonNoOperation     Reason = "no_operation"
	ReasonKeyRequired     Reason = "key_required"
	ReasonKeyConflict     Reason = "key_conflict"
	ReasonKeyExpired      Reason = "key_expired"
	ReasonKeyOwnerUnknown Reason = "key_owner_unknown"
	ReasonKeyRecordsFull  Reason = "key_records_full"
	ReasonKeyRecordLost   Reason = "key_record_lost"
	ReasonAnswerNotHeld   Reason = "answer_not_held"
	ReasonBodyTooLarge    Reason = "body_too_large"
	ReasonNoTarget        Reason = "no_target"
	ReasonTargetLeaving   Reason = "target_leaving"
	ReasonOverloaded      Reason = "overloaded"
	ReasonQueueFull       Reason = "queue_full"
	ReasonEvicted         Reason = "evicted"
	ReasonDeadline        Reason = "deadline"
	ReasonCanceled        Reason = "canceled"
	ReasonPoison          Reason = "poison"
	ReasonLinkLost        Reason = "link_lost"
	ReasonTargetCrashed   Reason = "target_crashed"
	ReasonTargetFailed    Reason = "target_failed"
	ReasonTargetRefused   Reason = "target_refused"
	ReasonStopping        Reason = "stopping"
	ReasonWrongNode       Reason = "wrong_node"
)

// Refusal is a node's own answer to a call for which it has no answer of a
// target.
type Refusal struct {
	Outcome Outcome
	Reason  Reason
	// Detail is one sentence for people: where the call failed and what to do.
	Detail string
	// RetryAfter is the minimum wait before the caller sends the request again;
	// zero if that would not help.
	RetryAfter time.Duration
	// End holds the load and the retries used, as reported by the refusing
	// node; nil if no target's node was involved.
	End *AnswerEnd
}

// Error returns the refusal as one line.
func (r *Refusal) Error() string {
	return "refused (" + string(r.Outcome) + ", " + string(r.Reason) + "): " + r.Detail
}
