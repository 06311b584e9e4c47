package sdpressure_test

import (
	"sort"
	"time"

	"github.com/savorydeal/savorydeal"
)

type driveResult struct {
	important, total     float64
	recovery             time.Duration
	recovered            bool
	violations, refusals int
	fairness             float64
}

// judged reports whether a time is in a trigger and past its settling.
func (d *driver) judged(at time.Duration) bool {
	for _, span := range d.c.spans {
		if at >= span[0]+time.Second && at < span[1] {
			return true
		}
	}
	return false
}

func (d *driver) judge() driveResult {
	res := driveResult{recovered: true}
	offered, done, importantOffered, importantDone, importantEnded, length := 0, 0, 0, 0, 0, 0.0
	for _, span := range d.c.spans {
		length += (span[1] - span[0] - time.Second).Seconds()
	}
	for _, one := range d.requests {
		if d.judged(one.arrived) {
			offered++
			if one.class == savorydeal.ClassCritical {
				importantOffered++
				if one.completed {
					importantDone++
				}
			}
		}
		if one.completed && d.judged(one.ended) {
			done++
			if one.class == savorydeal.ClassCritical {
				importantEnded++
			}
		}
	}
	// The service times are drawn: what the slots allowed follows from them.
	capacity := float64(driveTargets*d.c.slots) * length / (d.work / max(1, d.judgedRuns))
	res.total = float64(done) / min(capacity, float64(offered))
	res.important = float64(importantDone) / float64(importantOffered)
	if float64(importantOffered) > capacity {
		res.important = float64(importantEnded) / capacity
	}
	for i, span := range d.c.spans {
		until := d.c.total
		if i+1 < len(d.c.spans) {
			until = d.c.spans[i+1][0]
		}
		found := false
		for at := span[1]; at+500*time.Millisecond <= until; at += 100 * time.Millisecond {
			if d.part(at, at+500*time.Millisecond) >= 0.95 && d.part(at+100*time.Millisecond, at+600*time.Millisecond) >= 0.95 {
				res.recovery = max(res.recovery, at-span[1])
				found = true
				break
			}
		}
		res.recovered = res.recovered && found
	}
	res.violations, res.refusals = d.violations()
	res.fairness = d.fairness()
	return res
}

func (d *driver) part(from, to time.Duration) float64 {
	offered, done := 0, 0
	for _, one := range d.requests {
		if one.arrived >= from && one.arrived < to {
			offered++
			if one.completed {
				done++
			}
		}
	}
	return float64(done) / max(1, float64(offered))
}

func (d *driver) violations() (int, int) {
	count, refusals := 0, 0
	for _, refusal := range d.refused {
		if refusal.class != savorydeal.ClassCritical {
			continue
		}
		refusals++
		lesser := anyWithin(d.begun, refusal.at-driveInterval, refusal.at, func(c savorydeal.Class) bool { return c != savorydeal.ClassCritical })
		lasting := anyWithin(d.refused, refusal.at-2*driveInterval, refusal.at-driveInterval, func(c savorydeal.Class) bool { return c == savorydeal.ClassCritical })
		if lesser && lasting {
			count++
		}
	}
	return count, refusals
}

// anyWithin reports whether the list, which is in the order of time, has a match
// between two times.
func anyWithin(list []driveRefusal, from, to time.Duration, matches func(savorydeal.Class) bool) bool {
	first := sort.Search(len(list), func(i int) bool { return list[i].at >= from })
	for _, one := range list[first:] {
		if one.at > to {
			return false
		}
		if matches(one.class) {
			return true
		}
	}
	return false
}

// fairness is Jain's index of completions of low requests over the callers
// that ask for at least an equal share.
func (d *driver) fairness() float64 {
	worst := 1.0
	for _, class := range savorydeal.Classes() {
		got, asked, all := map[string]float64{}, map[string]float64{}, 0.0
		for _, one := range d.requests {
			if one.class != class || !d.judged(one.arrived) {
				continue
			}
			asked[one.caller]++
			if one.completed {
				got[one.caller]++
				all++
			}
		}
		if all < 8*driveCallers {
			continue
		}
		sum, squares, n := 0.0, 0.0, 0.0
		for caller, want := range asked {
			share := min(1, got[caller]/min(want, all/driveCallers))
			sum += share
			squares += share * share
			n++
		}
		worst = min(worst, sum*sum/(n*squares))
	}
	return worst
}
