package sdlimit

import (
	"math"
	"slices"
	"time"

	"github.com/savorydeal/savorydeal"
)

const (
	// trialRuns is the number of saturated runs in the baseline phase and in the
	// trial phase. With this many samples of varying service times, the
	// interquartile mean distinguishes a latency lower by a quarter from an
	// unchanged one.
	trialRuns = 96
	// trialFraction is the fraction of the current limit that a trial uses.
	trialFraction = 0.75
	// kneeRatio is the ratio of trial to baseline latency below which the lower
	// limit is kept, because it has lost no throughput. It lies between
	// trialFraction, the ratio for a target that queued calls within itself, and
	// 1, the ratio for a target that was only slow.
	kneeRatio = 0.86
	// firstTrialWait is the number of saturated runs before the first trial. The
	// number doubles, up to maxTrialWait, with every trial that did not lower
	// the limit.
	firstTrialWait = 96
	maxTrialWait   = 64 * firstTrialWait
	// noLightLoadWait is the number of saturated runs before the first trial if
	// no run under light load has been observed.
	noLightLoadWait = 4 * firstTrialWait
	// overloadRatio is the ratio of the latency at the limit to the latency
	// under light load up to which no trial is made, because a trial costs
	// throughput.
	overloadRatio = 1.3
	// latencyEWMAWeight is the weight of a new sample in the moving averages of
	// latency.
	latencyEWMAWeight = 0.05
)

// phase is the state of a Trial limiter.
type phase string

const (
	// phaseIdle waits until a trial is due.
	phaseIdle phase = "idle"
	// phaseBaseline measures latency at the current limit.
	phaseBaseline phase = "baseline"
	// phaseTrial measures latency at a lower limit.
	phaseTrial phase = "trial"
)

// Trial is a limiter that finds the limit by experiments. Latency alone cannot
// distinguish a target with too many running calls from one that is slow
// because of a downstream service: in the first case a lower limit shortens each
// run and costs nothing, in the second it costs throughput. So the limiter runs
// a saturated target with a lower limit for a while, and keeps that limit only
// if runs became shorter in proportion. Shed calls and timeouts lower the limit
// at once, as with AIMD.
type Trial struct {
	slots int
	aimd  AIMD
	// foundLimit is the upper bound that trials have found; it equals slots if
	// no trial has lowered it.
	foundLimit int
	phase      phase
	// trialLimit is the limit of the current trial.
	trialLimit int
	// runs is the number of saturated runs in the current phase.
	runs int
	// latencies are the samples of the current baseline or trial phase.
	latencies []time.Duration
	// baseline is the interquartile mean latency before the current trial.
	baseline time.Duration
	// runsToTrial is the number of saturated runs in phaseIdle before the next
	// trial.
	runsToTrial int
	// lightLatency and saturatedLatency are moving averages, in seconds, of the
	// latency of runs that started at up to half of the limit and at the limit;
	// 0 until a run was observed.
	lightLatency     float64
	saturatedLatency float64
}

var _ savorydeal.Limiter = (*Trial)(nil)

// NewTrial returns a limiter whose first limit is the number of slots.
func NewTrial(slots int) *Trial {
	t := &Trial{}
	t.SetSlots(slots)
	return t
}

// SetSlots sets the upper bound of the limit. A change discards what earlier
// trials found.
func (t *Trial) SetSlots(slots int) {
	slots = max(1, slots)
	t.aimd.SetSlots(slots)
	if slots == t.slots {
		return
	}
	t.slots = slots
	t.foundLimit = slots
	t.runsToTrial = firstTrialWait
	t.enterPhase(phaseIdle)
}

// Limit returns the current limit, at least 1 and at most the slots.
func (t *Trial) Limit() int {
	limit := min(t.aimd.Limit(), t.foundLimit)
	if t.phase == phaseTrial {
		limit = min(limit, t.trialLimit)
	}
	return max(1, limit)
}

func (t *Trial) enterPhase(phase phase) {
	t.phase = phase
	t.runs = 0
	t.latencies = t.latencies[:0]
}

// Observe updates the limit from one finished run.
func (t *Trial) Observe(now time.Time, sample savorydeal.LimitSample) {
	t.aimd.Observe(now, sample)
	t.recordLatency(sample)
	// Only runs that started while the target was saturated count, and only if
	// they spent their time on this target and not on a downstream service.
	if sample.Result != savorydeal.RunSucceeded || sample.Onward || !sample.Queued || sample.Running < t.Limit() {
		return
	}
	if t.phase == phaseTrial && sample.Running > t.trialLimit {
		return
	}
	t.runs++
	if t.phase != phaseIdle {
		t.latencies = append(t.latencies, sample.Latency)
	}
	switch {
	case t.phase == phaseIdle && t.runs >= t.runsToTrial && t.needsTrial():
		t.enterPhase(phaseBaseline)
	case t.phase == phaseBaseline && t.runs >= trialRuns:
		t.startTrial()
	case t.phase == phaseTrial && t.runs >= trialRuns:
		t.finishTrial()
	}
}

// recordLatency updates the mean latency under light load or at the limit.
func (t *Trial) recordLatency(sample savorydeal.LimitSample) {
	if sample.Result != savorydeal.RunSucceeded || sample.Onward {
		return
	}
	latency := sample.Latency.Seconds()
	switch {
	case sample.Running >= t.Limit():
		t.saturatedLatency = ewma(t.saturatedLatency, latency)
	case sample.Running <= max(1, t.Limit()/2):
		t.lightLatency = ewma(t.lightLatency, latency)
	}
}

// ewma returns the moving average updated with one latency. The first sample
// replaces an average of 0.
func ewma(average, latency float64) float64 {
	if average == 0 {
		return latency
	}
	return average + latencyEWMAWeight*(latency-average)
}

// needsTrial reports whether the target is possibly running more calls than it
// has capacity for. A target that is only slow looks the same; the trial
// distinguishes them.
func (t *Trial) needsTrial() bool {
	if t.foundLimit < t.slots {
		return true
	}
	if t.lightLatency == 0 {
		return t.runs >= noLightLoadWait
	}
	return t.saturatedLatency > overloadRatio*t.lightLatency
}

// startTrial ends the baseline phase and starts a trial, unless no lower limit
// is possible.
func (t *Trial) startTrial() {
	t.baseline = interquartileMean(t.latencies)
	t.trialLimit = int(math.Ceil(float64(t.Limit()) * trialFraction))
	if t.trialLimit < 1 || t.trialLimit == t.Limit() {
		t.enterPhase(phaseIdle)
		return
	}
	t.enterPhase(phaseTrial)
}

// finishTrial keeps the lower limit if it shortened runs enough, and otherwise
// restores the previous limit, raised by a quarter if it is below the slots.
func (t *Trial) finishTrial() {
	mean := interquartileMean(t.latencies)
	if float64(mean) < kneeRatio*float64(t.baseline) {
		t.foundLimit = t.trialLimit
		t.runsToTrial = firstTrialWait
		// Start the trial of the next lower limit at once.
		t.enterPhase(phaseBaseline)
		return
	}
	t.runsToTrial = min(maxTrialWait, 2*t.runsToTrial)
	if t.foundLimit < t.slots {
		// The capacity of the target may have grown: raise the limit by a
		// quarter until a later trial shows again that it is too high.
		t.foundLimit = min(t.slots, t.foundLimit+max(1, t.foundLimit/4))
	}
	t.enterPhase(phaseIdle)
}

// interquartileMean returns the mean of the middle half of the latencies, which
// it sorts. A few calls of another kind that take ten times as long must not
// determine the result of a trial.
func interquartileMean(latencies []time.Duration) time.Duration {
	slices.Sort(latencies)
	quarter := len(latencies) / 4
	middle := latencies[quarter : len(latencies)-quarter]
	var sum time.Duration
	for _, latency := range middle {
		sum += latency
	}
	return sum / time.Duration(len(middle))
}
