// Package sdclock provides implementations of savorydeal.Clock: the clock of
// the VM, and a fake one for tests.
package sdclock

import (
	"time"

	"github.com/savorydeal/savorydeal"
)

// System is the clock of the VM.
type System struct{}

var _ savorydeal.Clock = System{}

// Now returns the current time.
func (System) Now() time.Time {
	return time.Now()
}

// AfterFunc calls f in its own goroutine after d has passed.
func (System) AfterFunc(d time.Duration, f func()) savorydeal.Timer {
	return time.AfterFunc(d, f)
}

// After returns a channel that receives the time after d has passed.
func (System) After(d time.Duration) <-chan time.Time {
	return time.After(d)
}
