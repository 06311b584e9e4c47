package sdbenchoverload

import (
	"fmt"
	"sort"
	"time"

	"github.com/savorydeal/savorydeal"
)

// runsPerRequest returns the mean and the maximum number of runs per request, over
// the requests that arrived in the periods and ran at least once. For each request,
// the service with the most runs counts.
func (m *measurement) runsPerRequest(periods []period) (float64, int) {
	counts := make(map[string]int)
	for _, runs := range m.targetRuns {
		byRequest := make(map[string]int)
		for _, run := range runs {
			byRequest[run.LedgerID]++
		}
		for ledgerID, count := range byRequest {
			counts[ledgerID] = max(counts[ledgerID], count)
		}
	}
	sum, requests, maximum := 0, 0, 0
	for _, entry := range m.entries {
		if count := counts[entry.id]; count > 0 && inPeriods(periods, m.sinceStart(entry.arrived)) {
			sum += count
			requests++
			maximum = max(maximum, count)
		}
	}
	return ratio(float64(sum), float64(requests)), maximum
}

// wastedShare returns the share of the targets' slot time in the periods that was
// spent on requests that did not complete, on cancelled runs and on repeated runs.
func (m *measurement) wastedShare(periods []period) float64 {
	completed := make(map[string]bool)
	for _, entry := range m.entries {
		completed[entry.id] = entry.completed
	}
	var total, wasted time.Duration
	for _, runs := range m.targetRuns {
		seen := make(map[string]bool)
		for _, run := range runs {
			if !inPeriods(periods, m.sinceStart(run.Started)) || run.Ended.IsZero() {
				continue
			}
			work := min(run.ServiceTime, run.Ended.Sub(run.Started))
			total += work
			if !completed[run.LedgerID] || run.Canceled || seen[run.LedgerID] {
				wasted += work
			}
			seen[run.LedgerID] = true
		}
	}
	return ratio(wasted.Seconds(), total.Seconds()+1e-9)
}

// orderViolations returns the number of refusals for overload of important requests
// that break the order of classes, and the number of all such refusals. A refusal
// breaks the order if a less important run started at the bottleneck within the
// control interval before it, and another important request was refused within
// the interval before that, which means that important requests have been refused
// for longer than one control interval.
func (m *measurement) orderViolations() (int, int) {
	var refused []time.Duration
	classOf := make(map[string]savorydeal.Class)
	for _, entry := range m.entries {
		classOf[entry.id] = entry.operation.class
		if entry.operation.class == savorydeal.ClassCritical {
			for _, t := range entry.refusedAt {
				refused = append(refused, m.sinceStart(t))
			}
		}
	}
	var lessImportant []time.Duration
	for _, run := range m.targetRuns[m.topology.bottleneck] {
		if class, ok := classOf[run.LedgerID]; ok && class != savorydeal.ClassCritical {
			lessImportant = append(lessImportant, m.sinceStart(run.Started))
		}
	}
	sortTimes(refused)
	sortTimes(lessImportant)
	count := 0
	for _, offset := range refused {
		if anyBetween(refused, offset-2*controlInterval, offset-controlInterval) && anyBetween(lessImportant, offset-controlInterval, offset) {
			count++
		}
	}
	return count, len(refused)
}

func sortTimes(times []time.Duration) {
	sort.Slice(times, func(i, j int) bool { return times[i] < times[j] })
}

// anyBetween reports whether one of the sorted times lies in [from, to].
func anyBetween(times []time.Duration, from, to time.Duration) bool {
	i := sort.Search(len(times), func(i int) bool { return times[i] >= from })
	return i < len(times) && times[i] <= to
}

// checkFaults returns an error if the ledgers show no effect of the scenario's
// fault.
func (m *measurement) checkFaults(periods []period) error {
	calm := []period{{0, m.timing.calm}}
	if m.scenario.surge > 1 {
		before := float64(m.arrivals(calm)) / totalSeconds(calm)
		during := float64(m.arrivals(periods)) / totalSeconds(periods)
		if during < before*m.scenario.surge/2 {
			return fmt.Errorf("demand rose only from %.0f to %.0f requests/s during the overload", before, during)
		}
	}
	if m.scenario.slowdown > 1 {
		before, during := m.meanServiceTime(calm), m.meanServiceTime(periods)
		if during < before*time.Duration(m.scenario.slowdown)/2 {
			return fmt.Errorf("mean service time rose only from %v to %v during the overload", before, during)
		}
	}
	if m.scenario.dataCentrePartitioned && m.blockedLinks == 0 {
		return fmt.Errorf("the partition of the data centre blocked no link")
	}
	return nil
}

func (m *measurement) arrivals(periods []period) int {
	return m.count(periods, func(*ledgerEntry) bool { return true })
}

// meanServiceTime returns the mean service time that the bottleneck's targets drew
// for runs started in the periods, or 0 without any.
func (m *measurement) meanServiceTime(periods []period) time.Duration {
	var sum time.Duration
	count := 0
	for _, run := range m.targetRuns[m.topology.bottleneck] {
		if run.ServiceTime > 0 && inPeriods(periods, m.sinceStart(run.Started)) {
			sum += run.ServiceTime
			count++
		}
	}
	if count == 0 {
		return 0
	}
	return sum / time.Duration(count)
}
