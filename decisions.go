package savorydeal

import "time"

// CallID identifies one call within an Admission.
type CallID uint64

// Arrival is a call that has arrived at its target's node and requests to run.
type Arrival struct {
	ID       CallID
	Class    Class
	Caller   string
	Rank     uint32
	Depth    int
	Deadline time.Time
}

// Decision is an Admission's decision on a call.
type Decision string

const (
	// DecisionRun starts the call now.
	DecisionRun Decision = "run"
	// DecisionRefuse ends the call as not run.
	DecisionRefuse Decision = "refuse"
)

// AdmissionAction is what has to be done with one call. Reason and RetryAfter
// are set only for DecisionRefuse.
type AdmissionAction struct {
	ID         CallID
	Decision   Decision
	Reason     Reason
	RetryAfter time.Duration
}

// Completion reports to an Admission that a call has ended on the target.
type Completion struct {
	ID CallID
	// Latency is the time on the target, without queueing.
	Latency time.Duration
	Result  RunResult
	// Onward is true if the call has called downstream services, so that its
	// latency and result depend on them too.
	Onward bool
}

// RunResult is how a run on the target ended. Limiters adapt to it.
type RunResult string

// Results of runs.
const (
	RunSucceeded RunResult = "succeeded"
	RunFailed    RunResult = "failed"
	RunShed      RunResult = "shed"
	RunTimedOut  RunResult = "timed_out"
	RunCanceled  RunResult = "canceled"
)

// Admission decides which calls run on one target and when. Its methods return the
// calls that have to be started or refused because of the event, which need not be
// the call of the event. It is not safe for concurrent use; sdserve serialises its
// events, so that the expiry and the dispatch of one call cannot race.
type Admission interface {
	// Configure sets the maximum numbers of calls and of connections that the
	// target accepts at once. The smaller one bounds the running calls.
	Configure(now time.Time, slots, connections int) []AdmissionAction
	Arrive(now time.Time, arrival Arrival) []AdmissionAction
	Finish(now time.Time, completion Completion) []AdmissionAction
	// Cancel removes a call from the queue. It reports true if the call was
	// still queued: it has not run and never will.
	Cancel(now time.Time, id CallID) bool
	// Tick expires queued calls. sdserve calls it every few milliseconds while
	// calls are queued.
	Tick(now time.Time) []AdmissionAction
	// Signal returns the load of the target.
	Signal(now time.Time) LoadSignal
}

// LimitSample is the measurement of one finished run for a Limiter.
type LimitSample struct {
	Latency time.Duration
	// Running is the number of calls on the target when this one started.
	Running int
	// Queued is true if calls were waiting. A limit must not grow without
	// demand.
	Queued bool
	Result RunResult
	// Onward is true if the run has called downstream services.
	Onward bool
}

// Limiter finds the number of calls that one target can run concurrently without
// slowing down.
type Limiter interface {
	Observe(now time.Time, sample LimitSample)
	// Limit returns the concurrency limit, from 1 to the target's slots.
	Limit() int
	SetSlots(slots int)
}

// PlacementRequest describes the call for which a target is wanted.
type PlacementRequest struct {
	Service string
	// Tried lists the nodes of earlier attempts of this call. They are chosen
	// only if there is no other.
	Tried []NodeID
	Class Class
}

// PlacementObservation is the result of a call sent to a node.
type PlacementObservation struct {
	Node    NodeID
	Service string
	Latency time.Duration
	Outcome Outcome
	Reason  Reason
	// Failed is true for an answer that counts as a failure of the target.
	Failed bool
	// Signal is valid if HasSignal is true.
	Signal    LoadSignal
	HasSignal bool
}

// Placement chooses the target of a call. It is safe for concurrent use.
type Placement interface {
	// Update replaces the known members.
	Update(now time.Time, members []Member)
	// Choose returns a member and counts the call as in flight to it. It
	// reports false if there is no member to send the call to.
	Choose(now time.Time, request PlacementRequest) (Member, bool)
	// Observe records the result of a call for which Choose returned a member.
	// The call is then no longer in flight.
	Observe(now time.Time, observation PlacementObservation)
}

// RetryRequest describes a failed attempt that may be retried.
type RetryRequest struct {
	Service    string
	Class      Class
	Idempotent bool
	Outcome    Outcome
	Reason     Reason
	// Attempt is the number of attempts made so far, 1 after the first.
	Attempt  int
	Deadline time.Time
	// RetryAfter is the minimum wait that the refusing node requires.
	RetryAfter time.Duration
}

// RetryDecision is the decision on a RetryRequest.
type RetryDecision struct {
	Retry bool
	// Wait is the backoff before the next attempt.
	Wait time.Duration
}

// RetryDecider limits the retries of all calls to a service together. The retry
// budget of a single request is kept by its chain (sdchain).
type RetryDecider interface {
	// FirstAttempt adds ratio, in retries, to the service's budget.
	FirstAttempt(now time.Time, service string, ratio float64)
	Decide(now time.Time, request RetryRequest) RetryDecision
}

// KeyClaim requests permission to run a call that has an idempotency key.
type KeyClaim struct {
	Service string
	Caller  string
	Key     string
	// Digest covers method, path and body of the call.
	Digest    [32]byte
	Deadline  time.Time
	Retention time.Duration
	// RefuseUnrecorded, if set, is the answer to a key without a record. The record
	// may have expired, or an earlier owner of the key may have had one.
	RefuseUnrecorded *Refusal
}

// KeyState is the state of the call of a key.
type KeyState string

// States of a key's call.
const (
	KeyRunning  KeyState = "running"
	KeyFinished KeyState = "finished"
	KeyLost     KeyState = "lost"
)

// KeyRecord is the record of one key in the form that is sent to another node.
type KeyRecord struct {
	// ID is a digest of service and key.
	ID [16]byte
	// Digest is a digest of caller, method, path and body.
	Digest [16]byte
	// Caller is a digest of the caller.
	Caller uint64
	State  KeyState
	// ExpiresIn is the time until the record may be deleted.
	ExpiresIn time.Duration
	// Answer is nil if it was not kept.
	Answer *StoredAnswer
}

// KeyAction is what has to be done with the call of a KeyClaim.
type KeyAction string

const (
	// KeyRun means that this call may run, and no other one with its key.
	KeyRun KeyAction = "run"
	// KeyWait means that an earlier call with the key is running; wait for its
	// end.
	KeyWait KeyAction = "wait"
	// KeyStored means that the call has run and its answer is stored.
	KeyStored KeyAction = "stored"
	// KeyRefuse means that the call must not run.
	KeyRefuse KeyAction = "refuse"
)

// StoredAnswer is a complete answer, kept for repeated calls with its key.
type StoredAnswer struct {
	Status  int
	Headers []Header
	Body    []byte
}

// KeyDecision is the decision on a KeyClaim. Answer is set only for KeyStored,
// Refusal only for KeyRefuse.
type KeyDecision struct {
	Action  KeyAction
	Answer  StoredAnswer
	Refusal Refusal
}

// KeyRecords decides which calls with idempotency keys may run, so that none
// runs twice. It is not safe for concurrent use; sdkeyed serialises its calls.
type KeyRecords interface {
	Claim(now time.Time, claim KeyClaim) KeyDecision
	// Release removes a claim whose call was not run.
	Release(now time.Time, claim KeyClaim)
	// Finish stores the answer of a claim whose call has run.
	Finish(now time.Time, claim KeyClaim, answer StoredAnswer)
	// MarkLost records that the call of a claim may have run but its answer
	// is lost.
	MarkLost(now time.Time, claim KeyClaim)
	// Expire deletes the records whose retention has ended and returns their
	// number.
	Expire(now time.Time) int
	// Len returns the number of records.
	Len() int
	// Export returns all records. A call that is still running is exported
	// as lost.
	Export(now time.Time) []KeyRecord
	// Import adds the records of another node.
	Import(now time.Time, records []KeyRecord)
}
