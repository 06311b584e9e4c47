package sdbenchoverload

import (
	"sort"

	"github.com/savorydeal/savorydeal"
)

// fairness returns Jain's index of the completions of each caller relative to its
// max-min fair share, over the callers of one data centre, who share its targets.
// It is the lowest index over all classes and data centres, 1 at best.
func (m *measurement) fairness(periods []period) float64 {
	lowest := 1.0
	for _, class := range savorydeal.Classes() {
		for dataCentre := range dataCentres {
			demand := make([]float64, callerCount)
			completed := make([]float64, callerCount)
			total := 0.0
			for _, entry := range m.entries {
				if entry.operation.class != class || entry.caller%dataCentres != dataCentre ||
					!entry.operation.passes(m.topology.bottleneck) || !inPeriods(periods, m.sinceStart(entry.arrived)) {
					continue
				}
				demand[entry.caller]++
				if entry.completed {
					completed[entry.caller]++
					total++
				}
			}
			if total >= minCompletionsForFairness*callerCount/dataCentres {
				lowest = min(lowest, jainIndex(completed, maxMinShares(demand, total)))
			}
		}
	}
	return lowest
}

// maxMinShares divides an amount by max-min fairness: no caller gets more than its
// demand, and the remainder is divided equally among the others.
func maxMinShares(demand []float64, amount float64) []float64 {
	order := make([]int, len(demand))
	for i := range order {
		order[i] = i
	}
	sort.Slice(order, func(i, j int) bool { return demand[order[i]] < demand[order[j]] })
	shares := make([]float64, len(demand))
	for i, caller := range order {
		shares[caller] = min(demand[caller], amount/float64(len(order)-i))
		amount -= shares[caller]
	}
	return shares
}

// jainIndex returns Jain's fairness index of the ratios of completions to shares.
// Callers without a share do not count.
func jainIndex(completed, shares []float64) float64 {
	sum, squares, n := 0.0, 0.0, 0.0
	for i, share := range shares {
		if share <= 0 {
			continue
		}
		relative := completed[i] / share
		sum += relative
		squares += relative * relative
		n++
	}
	if squares == 0 {
		return 1
	}
	return sum * sum / (n * squares)
}
