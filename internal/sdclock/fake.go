package sdclock

import (
	"sync"
	"time"

	"github.com/savorydeal/savorydeal"
)

// Fake is a clock whose time changes only by Advance. It is safe for
// concurrent use.
type Fake struct {
	mu     sync.Mutex
	now    time.Time
	timers []*fakeTimer
}

var _ savorydeal.Clock = (*Fake)(nil)

type fakeTimer struct {
	clock *Fake
	due   time.Time
	fire  func(now time.Time)
}

// NewFake returns a clock set to start.
func NewFake(start time.Time) *Fake {
	return &Fake{now: start}
}

// Now returns the clock's current time.
func (c *Fake) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

// AfterFunc calls f in its own goroutine once the clock has advanced by d.
func (c *Fake) AfterFunc(d time.Duration, f func()) savorydeal.Timer {
	return c.add(d, func(time.Time) { go f() })
}

// After returns a channel that receives the time once the clock has advanced
// by d.
func (c *Fake) After(d time.Duration) <-chan time.Time {
	ch := make(chan time.Time, 1)
	c.add(d, func(now time.Time) { ch <- now })
	return ch
}

func (c *Fake) add(d time.Duration, fire func(time.Time)) *fakeTimer {
	c.mu.Lock()
	defer c.mu.Unlock()
	timer := &fakeTimer{clock: c, due: c.now.Add(d), fire: fire}
	c.timers = append(c.timers, timer)
	return timer
}

// Advance moves the clock forward by d and fires the timers that become due on
// the way, in order of their times.
func (c *Fake) Advance(d time.Duration) {
	c.mu.Lock()
	end := c.now.Add(d)
	for {
		next := c.nextDue(end)
		if next == nil {
			break
		}
		c.now = next.due
		c.remove(next)
		c.mu.Unlock()
		next.fire(next.due)
		c.mu.Lock()
	}
	c.now = end
	c.mu.Unlock()
}

// nextDue returns the earliest timer that is due by end, or nil.
func (c *Fake) nextDue(end time.Time) *fakeTimer {
	var next *fakeTimer
	for _, timer := range c.timers {
		if timer.due.After(end) {
			continue
		}
		if next == nil || timer.due.Before(next.due) {
			next = timer
		}
	}
	return next
}

// remove removes the timer from the pending ones and reports whether it was one
// of them.
func (c *Fake) remove(timer *fakeTimer) bool {
	for i, pending := range c.timers {
		if pending == timer {
			c.timers = append(c.timers[:i], c.timers[i+1:]...)
			return true
		}
	}
	return false
}

// Stop cancels the timer and reports whether it was pending.
func (t *fakeTimer) Stop() bool {
	t.clock.mu.Lock()
	defer t.clock.mu.Unlock()
	return t.clock.remove(t)
}
