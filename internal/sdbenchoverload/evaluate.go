package sdbenchoverload

import (
	"time"

	"github.com/savorydeal/savorydeal"
	"github.com/savorydeal/savorydeal/internal/sdstandtarget"
)

const (
	// maxSettleTime is the longest part at the start of an overload period in
	// which completions do not count, because requests that arrived before the
	// period still end in it.
	maxSettleTime = time.Second
	// controlInterval is how long an important request may be refused while
	// less important ones run.
	controlInterval = 250 * time.Millisecond
	// recoveryWindow and recoveryStep are the length and the step of the moving
	// windows in which recovery is looked for. A window has recovered if its
	// share of completed requests is at least recoveredShare of the share in the
	// calm phase.
	recoveryWindow = 500 * time.Millisecond
	recoveryStep   = 100 * time.Millisecond
	recoveredShare = 0.95
	// calmTail is the time at the end of the calm phase that runsCalm leaves out:
	// its requests may still be in flight when the overload period starts.
	calmTail = 500 * time.Millisecond
	// minCompletionsForFairness is the lowest mean number of completions per
	// caller for which Jain's index is computed: with a mean of n, chance alone
	// lowers the index to 1/(1+1/n).
	minCompletionsForFairness = 16
)

// measurement holds the ledgers of one execution of a scenario.
type measurement struct {
	topology topology
	scenario scenario
	variant  variant
	timing   timing
	start    time.Time
	entries  []*ledgerEntry
	// targetRuns holds the runs in the targets' ledgers, by service.
	targetRuns map[string][]sdstandtarget.Run
	// blockedLinks counts how often the partition closed a link or refused to open
	// one.
	blockedLinks int64
}

// result holds the figures computed from one measurement. Goodputs are shares;
// those relative to the capacity of the bottleneck can be slightly above 1.
type result struct {
	measurement      *measurement
	importantGoodput float64
	totalGoodput     float64
	// bypassGoodput covers the requests that do not pass the bottleneck.
	bypassGoodput float64
	// completedAfter is the share of the requests arriving after the overload
	// that completed.
	completedAfter float64
	classes        map[savorydeal.Class]classResult
	recoveryTime   time.Duration
	recovered      bool
	// runsCalm and runsOverload are the mean runs per request, maxRuns the most;
	// see runsPerRequest.
	runsCalm     float64
	runsOverload float64
	maxRuns      int
	wastedShare  float64
	fairness     float64
	// importantRefusals counts the refusals of important requests for overload, and
	// orderViolations those of them that break the order of classes.
	orderViolations   int
	importantRefusals int
	reasons           map[savorydeal.Reason]int
	// faultErr is set if the scenario's fault had no visible effect.
	faultErr error
}

// classResult counts the requests of one class that arrived in the overload
// periods.
type classResult struct {
	offered   int
	completed int
	// possible is the number that could complete if the class had all of the
	// bottleneck's capacity that more important classes leave.
	possible float64
}

func (m *measurement) sinceStart(t time.Time) time.Duration {
	return t.Sub(m.start)
}

func inPeriods(periods []period, offset time.Duration) bool {
	for _, p := range periods {
		if offset >= p.from && offset < p.to {
			return true
		}
	}
	return false
}

// evaluate computes all figures from the ledgers.
func (m *measurement) evaluate() result {
	periods := m.scenario.overloadPeriods(m.timing)
	res := result{measurement: m, classes: m.classResults(periods), reasons: make(map[savorydeal.Reason]int)}
	res.importantGoodput = m.importantGoodput(periods)
	res.totalGoodput, res.bypassGoodput = m.totalGoodput(periods)
	res.completedAfter = m.completedShare([]period{{m.timing.calm + m.timing.overload, m.timing.total()}})
	res.recoveryTime, res.recovered = m.recoveryTime(periods)
	res.runsCalm, _ = m.runsPerRequest([]period{{0, m.timing.calm - calmTail}})
	res.runsOverload, res.maxRuns = m.runsPerRequest(periods)
	res.wastedShare = m.wastedShare(periods)
	res.fairness = m.fairness(periods)
	res.orderViolations, res.importantRefusals = m.orderViolations()
	for _, entry := range m.entries {
		for _, reason := range entry.reasons {
			res.reasons[reason]++
		}
	}
	res.faultErr = m.checkFaults(periods)
	return res
}

// totalSeconds returns the total length of the periods in seconds.
func totalSeconds(periods []period) float64 {
	total := 0.0
	for _, p := range periods {
		total += (p.to - p.from).Seconds()
	}
	return total
}

// withLaterStart returns the periods with each start moved by the delay.
func withLaterStart(periods []period, delay time.Duration) []period {
	shortened := make([]period, 0, len(periods))
	for _, p := range periods {
		shortened = append(shortened, period{p.from + delay, p.to})
	}
	return shortened
}

// workCapacity returns the number of requests that the bottleneck's slots can
// serve in the periods, which last the given seconds in total. It uses the mean
// service time that the targets drew in them. A third of the slots does not
// count while targets are lost or misreport.
func (m *measurement) workCapacity(periods []period, seconds float64) float64 {
	service := m.topology.service(m.topology.bottleneck)
	slots := float64(service.slots * service.targets)
	if m.scenario.targetsLost || m.scenario.misreporting {
		slots *= 2.0 / 3
	}
	var serviceTimes time.Duration
	drawn := 0
	for _, run := range m.targetRuns[m.topology.bottleneck] {
		if run.ServiceTime > 0 && inPeriods(periods, m.sinceStart(run.Started)) {
			serviceTimes += run.ServiceTime
			drawn++
		}
	}
	if drawn == 0 {
		return slots * seconds / service.serviceTime.Seconds() / float64(m.scenario.slowdown)
	}
	return slots * seconds / (serviceTimes.Seconds() / float64(drawn))
}

// importantGoodput returns the share of the important requests arriving in the
// periods that completed. If more arrived than the bottleneck can serve, it is
// the number completed after the settle time, relative to the capacity in that
// time, since requests that arrive late in a period complete after it.
func (m *measurement) importantGoodput(periods []period) float64 {
	important := func(entry *ledgerEntry) bool { return entry.operation.class == savorydeal.ClassCritical }
	settled := withLaterStart(periods, m.settleTime(periods))
	if capacity := m.workCapacity(settled, totalSeconds(settled)); float64(m.count(settled, important)) > capacity {
		completed := func(entry *ledgerEntry) bool {
			return important(entry) && entry.completed && inPeriods(settled, m.sinceStart(entry.ended))
		}
		return ratio(float64(m.count([]period{{0, m.timing.total()}}, completed)), capacity)
	}
	completed := func(entry *ledgerEntry) bool { return important(entry) && entry.completed }
	return ratio(float64(m.count(periods, completed)), float64(m.count(periods, important)))
}

// count returns the number of matching requests that arrived in the periods.
func (m *measurement) count(periods []period, matches func(*ledgerEntry) bool) int {
	count := 0
	for _, entry := range m.entries {
		if inPeriods(periods, m.sinceStart(entry.arrived)) && matches(entry) {
			count++
		}
	}
	return count
}

// settleTime returns the time at the start of each period in which completions do
// not count.
func (m *measurement) settleTime(periods []period) time.Duration {
	return min(maxSettleTime, (periods[0].to-periods[0].from)/4)
}

// totalGoodput returns two shares for the time after the settle time: of the
// requests that pass the bottleneck, those completed relative to its capacity,
// and of the requests that bypass it, those completed relative to those that
// arrived. One common share would hide that hardly any request at the bottleneck
// completes, because many requests bypass it.
func (m *measurement) totalGoodput(periods []period) (float64, float64) {
	settled := withLaterStart(periods, m.settleTime(periods))
	arrivedBottleneck, arrivedBypass, completedBottleneck, completedBypass := 0, 0, 0, 0
	for _, entry := range m.entries {
		passes := entry.operation.passes(m.topology.bottleneck)
		if inPeriods(settled, m.sinceStart(entry.arrived)) {
			if passes {
				arrivedBottleneck++
			} else {
				arrivedBypass++
			}
		}
		if entry.completed && inPeriods(settled, m.sinceStart(entry.ended)) {
			if passes {
				completedBottleneck++
			} else {
				completedBypass++
			}
		}
	}
	possible := min(float64(arrivedBottleneck), m.workCapacity(settled, totalSeconds(settled)))
	return ratio(float64(completedBottleneck), possible), min(1, ratio(float64(completedBypass), float64(arrivedBypass)))
}

// classResults counts the requests of each class that arrived in the periods.
func (m *measurement) classResults(periods []period) map[savorydeal.Class]classResult {
	classes := make(map[savorydeal.Class]classResult)
	atBottleneck := make(map[savorydeal.Class]float64)
	for _, entry := range m.entries {
		if !inPeriods(periods, m.sinceStart(entry.arrived)) {
			continue
		}
		class := classes[entry.operation.class]
		class.offered++
		if entry.completed {
			class.completed++
		}
		classes[entry.operation.class] = class
		if entry.operation.passes(m.topology.bottleneck) {
			atBottleneck[entry.operation.class]++
		}
	}
	capacity := m.workCapacity(periods, totalSeconds(periods))
	for _, name := range savorydeal.Classes() {
		class := classes[name]
		allowed := min(atBottleneck[name], capacity)
		capacity -= allowed
		class.possible = float64(class.offered) - atBottleneck[name] + allowed
		classes[name] = class
	}
	return classes
}

// ratio returns part / total, or 1 if total is not positive.
func ratio(part, total float64) float64 {
	if total <= 0 {
		return 1
	}
	return part / total
}

// completedShare returns the share of the requests arriving in the periods that
// completed.
func (m *measurement) completedShare(periods []period) float64 {
	offered, completed := 0, 0
	for _, entry := range m.entries {
		if inPeriods(periods, m.sinceStart(entry.arrived)) {
			offered++
			if entry.completed {
				completed++
			}
		}
	}
	return ratio(float64(completed), float64(offered))
}

// recoveryTime returns the longest time from the end of an overload period until
// the share of arriving requests that complete is back at 95% of its value in the
// calm phase, in two successive windows. The second result is false if that does not
// happen before the next period or the end; the time is then a lower bound.
func (m *measurement) recoveryTime(periods []period) (time.Duration, bool) {
	required := recoveredShare * m.completedShare([]period{{0, m.timing.calm}})
	longest := time.Duration(0)
	for i, p := range periods {
		end := m.timing.total()
		if i+1 < len(periods) {
			end = periods[i+1].from
		}
		found := false
		for from := p.to; from+recoveryWindow <= end; from += recoveryStep {
			window := []period{{from, from + recoveryWindow}}
			next := []period{{from + recoveryStep, min(end, from+recoveryStep+recoveryWindow)}}
			if m.completedShare(window) >= required && m.completedShare(next) >= required {
				longest = max(longest, from-p.to)
				found = true
				break
			}
		}
		if !found {
			return end - p.to, false
		}
	}
	return longest, true
}
