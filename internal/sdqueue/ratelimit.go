package sdqueue

import (
	"math"
	"time"
)

const (
	// burstTime is the time for which unused tokens are kept, in addition to one token. It
	// bounds the calls that start at the same moment after a pause, and makes up for
	// timers that fire late.
	burstTime = 100 * time.Millisecond
	// minRate is the rate, in calls per second, at which calls start under a lower
	// limit: only the target's next answer shows that the limit has been raised.
	minRate = 0.1
)

// rateLimit is a token bucket from which each start of a call takes a token. Without
// a limit it always has tokens.
type rateLimit struct {
	limited bool
	// rate is in tokens per second.
	rate   float64
	tokens float64
	// refilledAt is the time for which tokens was last computed.
	refilledAt time.Time
}

// set changes the limit. A new limit starts without tokens: the calls that have started
// in the last seconds count too. Tokens saved up under a higher limit shrink with it.
func (l *rateLimit) set(now time.Time, limited bool, rate float64) {
	if !limited {
		*l = rateLimit{}
		return
	}
	if !l.limited {
		*l = rateLimit{limited: true, refilledAt: now}
	}
	l.refill(now)
	previous := l.rate
	l.rate = max(minRate, rate)
	if l.rate < previous {
		l.tokens *= l.rate / previous
	}
}

// capacity returns the maximum number of tokens.
func (l *rateLimit) capacity() float64 {
	return 1 + l.rate*burstTime.Seconds()
}

func (l *rateLimit) refill(now time.Time) {
	if elapsed := now.Sub(l.refilledAt); elapsed > 0 {
		l.tokens = min(l.capacity(), l.tokens+elapsed.Seconds()*l.rate)
		l.refilledAt = now
	}
}

// take takes a token if there is one.
func (l *rateLimit) take(now time.Time) bool {
	if !l.limited {
		return true
	}
	l.refill(now)
	if l.tokens < 1 {
		return false
	}
	l.tokens--
	return true
}

// wait returns the time until count tokens are available.
func (l *rateLimit) wait(now time.Time, count int) time.Duration {
	if !l.limited {
		return 0
	}
	l.refill(now)
	missing := float64(count) - l.tokens
	if missing <= 0 {
		return 0
	}
	return time.Duration(math.Ceil(missing / l.rate * float64(time.Second)))
}
