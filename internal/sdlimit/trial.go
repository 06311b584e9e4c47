package sdlimit

import (
	"slices"
	"time"

	"github.com/savorydeal/savorydeal"
)

const (
	// trialRuns is the number of saturated runs on each side of a trial. The
	// middle of so many varied service times tells a quarter less from the
	// same.
	trialRuns = 96
	// trialPart is the part of the limit that a trial runs with.
	trialPart = 0.75
	// kneeRatio: below this ratio of the latencies the lower limit has lost no
	// throughput. It lies between trialPart, where the queue was within the
	// target, and 1, where the target was only slow.
	kneeRatio = 0.86
	// firstTrial is the number of saturated runs before the first trial. The
	// wait doubles with every trial that changed nothing.
	firstTrial   = 96
	maxTrialWait = 64 * firstTrial
)

// phase is what a Trial limiter is doing.
type phase string

const (
	phaseRest  phase = "rest"
	phaseBase  phase = "base"
	phaseTrial phase = "trial"
)

// Trial finds the limit by trying. Latency alone cannot tell a target that is
// overrun from one that is slow because a deeper service is: with the former a
// lower limit shortens each run and costs nothing, with the latter it costs
// throughput. So a saturated target is run with a lower limit for a while, and
// the lower limit is kept only if runs became shorter in proportion. Shedding
// and timeouts of the target lower the limit at once, as with AIMD.
type Trial struct {
	slots int
	aimd  AIMD
	// cap is the limit that trials have found; slots if none was.
	cap   int
	phase phase
	tried int
	runs  int
	// latencies are those of the base or the trial that is under way.
	latencies []time.Duration
	base      time.Duration
	wait      int
}

var _ savorydeal.Limiter = (*Trial)(nil)

// NewTrial returns a limiter that starts at the slots.
func NewTrial(slots int) *Trial {
	t := &Trial{}
	t.SetSlots(slots)
	return t
}

// SetSlots bounds the limit.
func (t *Trial) SetSlots(slots int) {
	slots = max(1, slots)
	t.aimd.SetSlots(slots)
	if slots == t.slots {
		return
	}
	t.slots = slots
	t.cap = slots
	t.wait = firstTrial
	t.enter(phaseRest)
}

// Limit returns the present limit.
func (t *Trial) Limit() int {
	limit := min(t.aimd.Limit(), t.cap)
	if t.phase == phaseTrial {
		limit = min(limit, t.tried)
	}
	return max(1, limit)
}

func (t *Trial) enter(phase phase) {
	t.phase = phase
	t.runs = 0
	t.latencies = t.latencies[:0]
}

// Observe learns from one finished run.
func (t *Trial) Observe(now time.Time, sample savorydeal.LimitSample) {
	t.aimd.Observe(now, sample)
	// Only a run that began while the target was full tells of its limit, and
	// only if its time was spent here.
	if sample.Result != savorydeal.RunSucceeded || sample.Onward || !sample.Queued || sample.Running < t.Limit() {
		return
	}
	if t.phase == phaseTrial && sample.Running > t.tried {
		return
	}
	t.runs++
	if t.phase != phaseRest {
		t.latencies = append(t.latencies, sample.Latency)
	}
	switch {
	case t.phase == phaseRest && t.runs >= t.wait:
		t.enter(phaseBase)
	case t.phase == phaseBase && t.runs >= trialRuns:
		t.begin()
	case t.phase == phaseTrial && t.runs >= trialRuns:
		t.end()
	}
}

// begin starts a trial if there is a lower limit to try.
func (t *Trial) begin() {
	t.base = middleMean(t.latencies)
	t.tried = int(float64(t.Limit()) * trialPart)
	if t.tried < 1 || t.tried == t.Limit() {
		t.enter(phaseRest)
		return
	}
	t.enter(phaseTrial)
}

func (t *Trial) end() {
	mean := middleMean(t.latencies)
	if float64(mean) < kneeRatio*float64(t.base) {
		t.cap = t.tried
		t.wait = firstTrial
		// The next lower limit is tried at once.
		t.enter(phaseBase)
		return
	}
	t.wait = min(maxTrialWait, 2*t.wait)
	if t.cap < t.slots {
		// The target may have grown since: open by a step until a later trial
		// shows it overrun again.
		t.cap = min(t.slots, t.cap+max(1, t.cap/4))
	}
	t.enter(phaseRest)
}

// middleMean is the mean of the middle half: a few calls of another kind, ten
// times as long, must not decide a trial.
func middleMean(latencies []time.Duration) time.Duration {
	slices.Sort(latencies)
	quarter := len(latencies) / 4
	middle := latencies[quarter : len(latencies)-quarter]
	var sum time.Duration
	for _, latency := range middle {
		sum += latency
	}
	return sum / time.Duration(len(middle))
}
