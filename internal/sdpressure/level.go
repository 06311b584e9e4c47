package sdpressure

import (
	"math"
	"time"
)

const (
	// LongQueue is the queue length, as a multiple of the concurrency limit, above
	// which the level rises. Between ShortQueue and LongQueue the level stays:
	// the queue then keeps the target busy while a change of the level takes
	// effect at the first nodes.
	LongQueue = 1.0
	// ShortQueue is the queue length, in the same unit, below which the level
	// falls.
	ShortQueue = 0.5
	// ControlInterval is the longest time for which calls of the most important
	// class may be refused while less important ones start. After that time
	// refusals have to follow the order of importance.
	ControlInterval = 250 * time.Millisecond

	// maxRisePerSecond is the rise of the level per second if the queue is at least
	// twice as long as LongQueue. Below that the rise is proportional to the
	// excess.
	maxRisePerSecond = 500.0
	// fallTime is the time constant of the level's decay while the queue is short,
	// idleFallTime that while the target has spare capacity. The decay is fast
	// because a level that outlasts the overload costs goodput.
	fallTime     = 400 * time.Millisecond
	idleFallTime = 120 * time.Millisecond
	// maxStep limits the time for which one observation raises the level.
	maxStep = 50 * time.Millisecond
	// criticalRiseFactor slows the rise above CriticalLevel.
	criticalRiseFactor = 0.2
	// minLevel is the level below which a falling level becomes 0.
	minLevel = 0.5
)

// QueueState is the number of running and queued calls of a target and its
// concurrency limit.
type QueueState struct {
	Running int
	Queued  int
	Limit   int
}

// LevelController computes the admission level of one target from the length of
// its queue. It is not safe for concurrent use.
type LevelController struct {
	value        float64
	lastObserved time.Time
	// pausedUntil is the time until which a falling level pauses at CriticalLevel.
	pausedUntil time.Time
}

// Observe updates the level from the state of the queue, for the time since the
// last call. The first call changes nothing.
func (l *LevelController) Observe(now time.Time, state QueueState) {
	step := now.Sub(l.lastObserved)
	first := l.lastObserved.IsZero()
	l.lastObserved = now
	if first || step <= 0 {
		return
	}
	queue := float64(state.Queued) / float64(max(1, state.Limit))
	switch {
	case queue > LongQueue:
		rise := min(1, queue-LongQueue) * l.riseFactor() * maxRisePerSecond * min(step, maxStep).Seconds()
		l.value = min(MaxLevel-1, l.value+rise)
	case state.Queued == 0 && state.Running < state.Limit:
		l.fall(now, step, idleFallTime)
	case queue < ShortQueue:
		l.fall(now, step, fallTime)
	}
}

// fall lowers the level exponentially. It pauses for one ControlInterval at
// CriticalLevel, where all calls of the most important class are admitted and no
// others. Less important ones are admitted only if these alone have not filled the
// target in this time. Without the pause, calls of both kinds would be refused and
// admitted in turn.
func (l *LevelController) fall(now time.Time, step, timeConstant time.Duration) {
	next := l.value * math.Exp(-step.Seconds()/timeConstant.Seconds())
	if l.value > CriticalLevel && next <= CriticalLevel {
		l.pausedUntil = now.Add(ControlInterval)
	}
	if now.Before(l.pausedUntil) {
		next = max(next, min(l.value, CriticalLevel))
	}
	l.value = next
	if l.value < minLevel {
		l.value = 0
	}
}

// Value returns the level, from 0 to MaxLevel-1.
func (l *LevelController) Value() int {
	return int(l.value)
}

// riseFactor slows the rise of the level above CriticalLevel. Refusing calls of the
// most important class at the first node because of a short peak costs more than
// evicting them from the queue later.
func (l *LevelController) riseFactor() float64 {
	if l.value >= CriticalLevel {
		return criticalRiseFactor
	}
	return 1
}
