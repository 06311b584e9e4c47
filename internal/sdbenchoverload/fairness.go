package sdbenchoverload

import (
	"sort"

	"github.com/savorydeal/savorydeal"
)

// fairness is Jain's index over the callers of one data centre, who share its
// targets, of what each got of its max-min fair share: the worst over classes
// and data centres.
func (r *run) fairness(spans []span) float64 {
	worst := 1.0
	for _, class := range savorydeal.Classes() {
		for dataCentre := range dataCentres {
			demand := make([]float64, callerCount)
			got := make([]float64, callerCount)
			sum := 0.0
			for _, one := range r.entries {
				if one.operation.class != class || one.caller%dataCentres != dataCentre ||
					!one.operation.passes(r.shape.bottleneck) || !within(spans, r.since(one.arrived)) {
					continue
				}
				demand[one.caller]++
				if one.completed {
					got[one.caller]++
					sum++
				}
			}
			if sum >= leastForFairness*callerCount/dataCentres {
				worst = min(worst, jain(got, maxMin(demand, sum)))
			}
		}
	}
	return worst
}

// maxMin shares an amount so that no caller gets more than it asks for and the
// others share the rest equally.
func maxMin(demand []float64, amount float64) []float64 {
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

func jain(got, shares []float64) float64 {
	sum, squares, n := 0.0, 0.0, 0.0
	for i, share := range shares {
		if share <= 0 {
			continue
		}
		x := got[i] / share
		sum += x
		squares += x * x
		n++
	}
	if squares == 0 {
		return 1
	}
	return sum * sum / (n * squares)
}
