package sdbalance

import (
	"math"
	"time"

	"github.com/savorydeal/savorydeal"
)

// How calls are placed between data centres.
const (
	// crossDataCentreDelay is the extra round-trip time of a call to another
	// data centre.
	crossDataCentreDelay = 4 * time.Millisecond
	// crossDataCentrePenalty is the relative cost added to targets in other data
	// centres, because traffic between data centres is charged for. It shrinks to 0
	// as the expected time of the best local target grows to tightObjectiveShare of
	// the route's latency objective: then the call goes wherever it is answered
	// soonest.
	crossDataCentrePenalty = 0.5
	// localityPenalty is added to crossDataCentrePenalty while the best local target
	// has room: in full up to a utilisation of roomyUtilisation, and less up to
	// saturatedUtilisation, where it is 0. Only the excess load of a data centre
	// leaves it, and it comes back as soon as there is room again.
	localityPenalty      = 1.5
	roomyUtilisation     = 0.9
	saturatedUtilisation = 1.3
	tightObjectiveShare  = 0.5
)

// pick chooses between the cheapest target in this data centre and the cheapest one
// in the others, each of a few drawn at random.
func (b *Balancer) pick(now time.Time, call Call, candidates []*target) (savorydeal.Member, bool) {
	if len(candidates) == 0 {
		return savorydeal.Member{}, false
	}
	mean := b.routeMean(call.Route)
	local, remote := b.partition(candidates)
	best, localCost := b.cheapest(now, local, mean)
	other, remoteCost := b.cheapest(now, remote, mean)
	switch {
	case best == nil:
		best = other
	case other != nil:
		charged := remoteCost*(1+b.leavingPenalty(now, best, mean, call.Objective)) + crossDataCentreDelay.Seconds()
		if charged < localCost {
			best = other
		}
	}
	best.inFlight++
	return best.member, true
}

// partition reorders targets so that those in this data centre come first, and
// returns both parts.
func (b *Balancer) partition(targets []*target) (local, remote []*target) {
	count := 0
	for i, t := range targets {
		if t.member.DataCentre == b.dataCentre {
			targets[count], targets[i] = targets[i], targets[count]
			count++
		}
	}
	return targets[:count], targets[count:]
}

// cheapest draws a few of the targets and returns the one with the lowest expected
// cost, and that cost; nil if there is none.
func (b *Balancer) cheapest(now time.Time, targets []*target, mean time.Duration) (*target, float64) {
	var best *target
	lowest := math.Inf(1)
	for i := range min(sampleSize, len(targets)) {
		j := i + b.random.IntN(len(targets)-i)
		targets[i], targets[j] = targets[j], targets[i]
		if cost := b.expectedCost(now, targets[i], mean) * (1 + costJitter*b.random.Float64()); best == nil || cost < lowest {
			best, lowest = targets[i], cost
		}
	}
	return best, lowest
}

// leavingPenalty returns the relative cost added to targets in other data centres
// for a call that would go to the target local in this one; 0 if the route has no
// objective. The failure rate of the local target does not reduce it: if the targets
// of all data centres fail, the call gains nothing elsewhere.
func (b *Balancer) leavingPenalty(now time.Time, local *target, mean, objective time.Duration) float64 {
	if objective <= 0 {
		return 0
	}
	slack := max(0, 1-b.expectedTime(now, local, mean)/(tightObjectiveShare*objective.Seconds()))
	room := (saturatedUtilisation - b.utilisation(now, local)) / (saturatedUtilisation - roomyUtilisation)
	return slack * (crossDataCentrePenalty + localityPenalty*min(1, max(0, room)))
}

// routeMean returns the mean run time of a route.
func (b *Balancer) routeMean(route string) time.Duration {
	if mean, ok := b.routeMeans[route]; ok {
		return mean
	}
	return initialRouteMean
}

// expectedTime returns the expected time of a call to the target in seconds, without
// the delay between data centres.
func (b *Balancer) expectedTime(now time.Time, t *target, mean time.Duration) float64 {
	runTime := mean.Seconds() * t.runTimeRatio
	utilisation := b.utilisation(now, t)
	expected := runTime * (1 + math.Pow(min(utilisation, 1), loadExponent))
	if utilisation > 1 {
		expected += runTime * (utilisation - 1) * 2
	}
	return expected
}

// expectedCost returns the expected time raised by the penalties for cold targets and
// failures.
func (b *Balancer) expectedCost(now time.Time, t *target, mean time.Duration) float64 {
	cost := b.expectedTime(now, t, mean)
	if age := now.Sub(t.member.ReadySince); !t.member.ReadySince.IsZero() && age < coldDuration {
		cost *= 1 + coldPenalty*(1-age.Seconds()/coldDuration.Seconds())
	}
	return cost * (1 + failurePenalty*t.decayedFailureRate(now))
}

// utilisation returns the estimated number of calls at a target as a multiple of
// its concurrency limit, or of its announced slots before the first report.
func (b *Balancer) utilisation(now time.Time, t *target) float64 {
	limit := t.reported.Limit
	if limit <= 0 {
		limit = max(1, t.member.Slots)
	}
	return b.estimatedLoad(now, t) / float64(limit)
}

// estimatedLoad returns the estimated number of calls at a target: its reported
// load, decayed by age, plus the change of this node's own calls in flight
// since the report. It is at least the number of these calls. Before the first
// report it assumes that half of the known nodes send as many calls as this one.
func (b *Balancer) estimatedLoad(now time.Time, t *target) float64 {
	reported := float64(t.reported.Running + t.reported.Queued)
	if t.reportedAt.IsZero() {
		return float64(t.inFlight) * float64(max(1, len(b.targets))) / 2
	}
	weight := math.Exp2(-now.Sub(t.reportedAt).Seconds() / loadHalfLife.Seconds())
	return max(float64(t.inFlight), reported*weight+float64(t.inFlight-t.inFlightAtReport))
}
