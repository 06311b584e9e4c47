package savorydeal

import "time"

// Clock returns the current time and schedules functions. Code that depends on
// time takes a Clock, so that tests can advance the time themselves.
type Clock interface {
	// Now returns the current time with its monotonic reading.
	Now() time.Time
	// AfterFunc calls f in its own goroutine once d has passed.
	AfterFunc(d time.Duration, f func()) Timer
	// After sends the current time on the returned channel once d has passed.
	After(d time.Duration) <-chan time.Time
}

// Timer is a function call scheduled by Clock.AfterFunc.
type Timer interface {
	// Stop cancels the call and reports whether it was still pending.
	Stop() bool
}

// Random is a source of random numbers. *rand.Rand of math/rand/v2 implements
// it. An implementation need not be safe for concurrent use.
type Random interface {
	// Float64 returns a number in [0, 1).
	Float64() float64
	// IntN returns a number in [0, n); n must be positive.
	IntN(n int) int
	// Uint64 returns 64 random bits.
	Uint64() uint64
}
