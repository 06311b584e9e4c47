package savorydeal

import "time"

// Keyless says what becomes of a non-idempotent call without a key.
type Keyless string

const (
	// KeylessRefuse refuses the call as not run. It is the default.
	KeylessRefuse Keyless = "refuse"
	// KeylessRunOnce runs the call once without protection against the
	// caller's own resends.
	KeylessRunOnce Keyless = "run_once"
)

// Operation is one kind of call of a service.
type Operation struct {
	Name string
	// Methods that match, in upper case; empty matches all.
	Methods []string
	// PathPrefix that matches; the longest match wins.
	PathPrefix string
	Class      Class
	Idempotent bool
	Keyless    Keyless
	// MaxRetries bounds the retries for one caller's request over its whole
	// chain when this operation is its first call.
	MaxRetries int
	// Timeout bounds a call whose caller states no deadline.
	Timeout time.Duration
	// MaxBodyBytes bounds the request body.
	MaxBodyBytes int64
	// TargetRefusals lets the target state not_run for a call that it has
	// refused before running it.
	TargetRefusals bool
}

// Policy says how the calls of one service are treated.
type Policy struct {
	Service    string
	Operations []Operation
	// RetryRatio bounds retries per first try over the service.
	RetryRatio float64
	// KeyRetention is how long a key is remembered after its call finished.
	KeyRetention time.Duration
}

// PolicyRecord is a policy as the platform keeps it.
type PolicyRecord struct {
	Service string
	// Version is the revision of the platform's store at the write. It grows
	// over deletes and re-creations.
	Version   int64
	ChangeID  string
	Deleted   bool
	ChangedAt time.Time
	Policy    Policy
	// History holds earlier changes, newest first, each without its own
	// history.
	History []PolicyRecord
}
