// Package sdclock provides the clocks that the node and its tests hand to
// everything that needs time.
package sdclock

import (
	"time"

	"github.com/savorydeal/savorydeal"
)

// System is the clock of the VM.
type System struct{}

var _ savorydeal.Clock = System{}

// Now returns the VM's time.
func (System) Now() time.Time {
	return time.Now()
}

// AfterFunc calls f in its own goroutine after d.
func (System) AfterFunc(d time.Duration, f func()) savorydeal.Timer {
	return time.AfterFunc(d, f)
}

// After delivers the time after d.
func (System) After(d time.Duration) <-chan time.Time {
	return time.After(d)
}
