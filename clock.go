package savorydeal

import "time"

// Clock tells time and schedules work. Decisions receive it so that a test can
// advance time by hand.
type Clock interface {
	// Now returns the current time with its monotonic reading.
	Now() time.Time
	// AfterFunc calls f in its own goroutine once d has passed.
	AfterFunc(d time.Duration, f func()) Timer
	// After delivers the time on the returned channel once d has passed.
	After(d time.Duration) <-chan time.Time
}

// Timer is a pending call made by Clock.AfterFunc.
type Timer interface {
	// Stop cancels the call and reports whether it was still pending.
	Stop() bool
}

// Random is the source of randomness of a decision. It is satisfied by
// *rand.Rand of math/rand/v2. It need not be safe for concurrent use.
type Random interface {
	// Float64 returns a number in [0, 1).
	Float64() float64
	// IntN returns a number in [0, n); n must be positive.
	IntN(n int) int
	// Uint64 returns 64 random bits.
	Uint64() uint64
}
