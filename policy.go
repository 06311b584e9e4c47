package savorydeal

import "time"

// Keyless is how a non-idempotent call without an idempotency key is handled.
type Keyless string

const (
	// KeylessRefuse refuses the call as not run. It is the default.
	KeylessRefuse Keyless = "refuse"
	// KeylessRunOnce runs each call once, without protection against resends by
	// the caller.
	KeylessRunOnce Keyless = "run_once"
)

// Operation is one kind of call to a service, with the rules for it.
type Operation struct {
	Name string
	// Methods lists the matching HTTP methods in upper case; empty matches all.
	Methods []string
	// PathPrefix is the prefix of matching paths; the longest match wins.
	PathPrefix string
	Class      Class
	Idempotent bool
	Keyless    Keyless
	// MaxRetries limits the retries of one caller's request over its whole
	// chain if this operation is the first of the chain.
	MaxRetries int
	// Timeout applies to calls whose caller sets no deadline.
	Timeout time.Duration
	// MaxBodyBytes limits the size of the request body.
	MaxBodyBytes int64
	// TargetRefusals allows the target to report a call as not_run that it
	// refused before running it.
	TargetRefusals bool
}

// Policy is the rules for the calls to one service.
type Policy struct {
	Service    string
	Operations []Operation
	// RetryRatio limits the retries per first attempt, over all calls to the
	// service.
	RetryRatio float64
	// KeyRetention is how long the record of a key is kept after its call
	// finished.
	KeyRetention time.Duration
}

// PolicyRecord is a policy as stored on the platform.
type PolicyRecord struct {
	Service string
	// Version is the revision of the platform's store at the write. It keeps
	// growing if the policy is deleted and created again.
	Version int64
	// ChangeID identifies the change, so that a repeated request for it is
	// recognised.
	ChangeID  string
	Deleted   bool
	ChangedAt time.Time
	Policy    Policy
	// History holds the earlier records, newest first. Their own History is
	// empty.
	History []PolicyRecord
}
