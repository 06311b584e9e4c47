package savorydeal

import "time"

// Outcome says what became of a call.
type Outcome string

const (
	// OutcomeAnswered means that the target's complete answer was received.
	OutcomeAnswered Outcome = "answered"
	// OutcomeNotRun means that no byte of the request reached a target, or
	// that the target itself stated so under a policy that trusts it.
	OutcomeNotRun Outcome = "not_run"
	// OutcomeUnknown means that the request may have run.
	OutcomeUnknown Outcome = "unknown"
)

// Reason names why a call was refused. Reasons are stable: operators alert on
// them and callers may branch on them.
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

// Refusal is the answer of a node to a call for which it has no target's
// answer to give.
type Refusal struct {
	Outcome Outcome
	Reason  Reason
	// Detail is one sentence for the person reading it: place and remedy.
	Detail string
	// RetryAfter is the least wait before the caller's next try; zero when a
	// repeat would not help.
	RetryAfter time.Duration
	// End is what the refusing node says of load and retries; nil when the
	// refusal was made without word from a target's node.
	End *AnswerEnd
}

// Error returns the refusal as one line, so that it can travel as an error.
func (r *Refusal) Error() string {
	return "refused (" + string(r.Outcome) + ", " + string(r.Reason) + "): " + r.Detail
}
