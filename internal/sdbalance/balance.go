// Package sdbalance chooses the target of a call: of a few drawn at random, the
// one with the lowest expected time. The estimate follows from the target's run
// times, its last reported load, its recent failures and the delay to its data
// centre. Package sdsidecar uses it; package sdnode uses sdplacement. It does no
// I/O.
package sdbalance

import (
	"math"
	"slices"
	"time"

	"github.com/savorydeal/savorydeal"
)

const (
	// sampleSize bounds the targets that are compared for one call. Drawing a
	// few at random keeps nodes with the same view from all choosing the same
	// target.
	sampleSize = 4
	// runTimeRatioWeight is the weight of a new report in a target's runTimeRatio,
	// routeMeanWeight that in the mean run time of a route. Reports are means already.
	runTimeRatioWeight = 0.4
	routeMeanWeight    = 0.03
	// failureWeight is the weight of one call in a target's failure rate.
	failureWeight = 0.15
	// failureHalfLife is the half-life of a failure rate that no further call
	// updates. The decay lets a target that failed get calls again.
	failureHalfLife = 2 * time.Second
	// failurePenalty scales the cost of failures: at a failure rate of 1, the
	// expected time counts 1 + failurePenalty times.
	failurePenalty = 20.0
	// coldPenalty is the relative cost added to a target that has just become
	// ready. It shrinks to 0 over coldDuration.
	coldPenalty = 1.0
	// coldDuration is how long a target counts as cold after it has become
	// ready.
	coldDuration = 3 * time.Second
	// loadHalfLife is the age at which a target's reported load counts half.
	loadHalfLife = 300 * time.Millisecond
	// minReadyAdvance is the minimum by which a member's ReadySince must
	// advance to show that its target has become ready again. Smaller advances
	// result from the varying delay of membership messages.
	minReadyAdvance = time.Second
	// maxServiceLoadAge is the age from which a target's reported load no
	// longer counts in the load of its service.
	maxServiceLoadAge = time.Second
	// costJitter is the largest random increase of a cost, as a fraction of it.
	// It keeps targets of nearly equal cost all in use, so that their reported
	// loads stay recent.
	costJitter = 0.1
	// loadExponent is the exponent of the utilisation in the expected time of a
	// target up to its limit. Above the limit the time grows linearly.
	loadExponent = 3
	// initialRouteMean is the assumed mean run time of a route before its first
	// answer.
	initialRouteMean = 50 * time.Millisecond
	// minBackoff and maxBackoff bound the time for which a node that cannot be
	// reached gets no calls. The time doubles with each further such call until
	// one is answered.
	minBackoff = 200 * time.Millisecond
	maxBackoff = 2 * time.Second
)

// Load is the load of a target as its node reports it with an answer.
type Load struct {
	// Running, Queued and Limit count calls. Limit is the concurrency limit, 0
	// if the load is unknown.
	Running int
	Queued  int
	Limit   int
	// Demand is the concurrency that the arriving calls need, as a multiple of
	// Limit; it can exceed 1.
	Demand float64
}

// target is the state that a balancer keeps of one member's target.
type target struct {
	member savorydeal.Member
	// inFlight is the number of calls that this node has sent there and that
	// have not ended.
	inFlight int
	// reported is the last reported load, reportedAt the time it was received
	// and inFlightAtReport the value of inFlight at that time. reportedAt is
	// zero before the first report.
	reported         Load
	reportedAt       time.Time
	inFlightAtReport int
	// runTimeRatio is the moving average of the target's run times relative to
	// the means of their routes: above 1 it is slower than the mean.
	runTimeRatio float64
	// failureRate is the moving average of failed calls at failureRateAt, in
	// [0, 1]; decayedFailureRate returns the current one.
	failureRate   float64
	failureRateAt time.Time
	// unavailableUntil is the time before which the node gets no calls, since
	// it could not be reached; backoff is the last such pause.
	unavailableUntil time.Time
	backoff          time.Duration
	// unresponsive is true while the node does not respond at all.
	unresponsive bool
	// leaving is the start of the target that has stated in an answer that it is
	// leaving, zero if none has.
	leaving savorydeal.TargetStart
}

// isLeaving reports whether the present target has stated that it is leaving.
func (t *target) isLeaving() bool {
	return t.leaving.Identity != "" && t.leaving.Matches(t.member.TargetStart)
}

// available reports whether the target may get calls now.
func (t *target) available(now time.Time) bool {
	return !t.unresponsive && !now.Before(t.unavailableUntil)
}

// Balancer chooses targets for one node. It is not safe for concurrent use.
type Balancer struct {
	random     savorydeal.Random
	dataCentre string
	// targets holds the targets of all members in the view, usable or not.
	targets map[savorydeal.NodeID]*target
	// services holds the usable targets of each service.
	services map[string][]*target
	// routeMeans holds the mean run time of each route, by its name.
	routeMeans map[string]time.Duration
}

// New returns a balancer without targets for a node in the data centre.
func New(dataCentre string, random savorydeal.Random) *Balancer {
	return &Balancer{
		random:     random,
		dataCentre: dataCentre,
		targets:    make(map[savorydeal.NodeID]*target),
		services:   make(map[string][]*target),
		routeMeans: make(map[string]time.Duration),
	}
}

// Update replaces the view of members. A target keeps its state unless its node
// has a new generation or another service; if it has become ready again, its
// failures and backoff are cleared. One that has stated that it is leaving stays unused
// until its next start.
func (b *Balancer) Update(members []savorydeal.Member) {
	b.services = make(map[string][]*target)
	inView := make(map[savorydeal.NodeID]bool, len(members))
	for _, member := range members {
		inView[member.Node] = true
		t := b.targets[member.Node]
		if t == nil || t.member.Generation != member.Generation || t.member.Service != member.Service {
			next := &target{runTimeRatio: 1}
			if t != nil {
				next.inFlight, next.leaving = t.inFlight, t.leaving
			}
			t = next
			b.targets[member.Node] = t
		}
		if member.ReadySince.Sub(t.member.ReadySince) > minReadyAdvance {
			t.failureRate, t.unavailableUntil, t.backoff = 0, time.Time{}, 0
		}
		t.member = member
		if usable(member) && !t.isLeaving() {
			b.services[member.Service] = append(b.services[member.Service], t)
		}
	}
	for node := range b.targets {
		if !inView[node] {
			delete(b.targets, node)
		}
	}
}

// usable reports whether a member's target may get calls. Suspect members may:
// this node's own calls show better than reports of other nodes whether a
// member can be reached.
func usable(member savorydeal.Member) bool {
	reachable := member.State == savorydeal.MemberAlive || member.State == savorydeal.MemberSuspect
	return reachable && member.TargetState == savorydeal.TargetReady
}

// SetUnresponsive records whether a node does not respond at all. An unresponsive
// node gets calls only if no target of the service is available and the call has
// not been tried elsewhere.
func (b *Balancer) SetUnresponsive(node savorydeal.NodeID, unresponsive bool) {
	if t := b.targets[node]; t != nil {
		t.unresponsive = unresponsive
	}
}

// SetLeaving records that the start of a node's target has stated that it is leaving. It
// gets no more calls, whatever its node advertises.
func (b *Balancer) SetLeaving(node savorydeal.NodeID, start savorydeal.TargetStart) {
	t := b.targets[node]
	if t == nil {
		return
	}
	t.leaving = start
	if t.isLeaving() {
		b.services[t.member.Service] = slices.DeleteFunc(b.services[t.member.Service], func(other *target) bool { return other == t })
	}
}

// Call describes a call for which a target is chosen.
type Call struct {
	Service string
	Route   string
	// Objective is the route's latency objective, 0 if it has none.
	Objective time.Duration
}

// ChooseTried picks an available target among those in tried and counts the
// call as in flight.
func (b *Balancer) ChooseTried(now time.Time, call Call, tried []savorydeal.NodeID) (savorydeal.Member, bool) {
	var candidates []*target
	for _, t := range b.services[call.Service] {
		if slices.Contains(tried, t.member.Node) && t.available(now) {
			candidates = append(candidates, t)
		}
	}
	return b.pick(now, call, candidates)
}

// Choose picks an available target that is not in tried and counts the call as
// in flight. If tried is empty and no target is available, it picks one that is
// not.
func (b *Balancer) Choose(now time.Time, call Call, tried []savorydeal.NodeID) (savorydeal.Member, bool) {
	all := b.services[call.Service]
	candidates := make([]*target, 0, len(all))
	for _, t := range all {
		if !slices.Contains(tried, t.member.Node) && t.available(now) {
			candidates = append(candidates, t)
		}
	}
	if len(candidates) == 0 && len(tried) == 0 {
		// No target is available: try one anyway, it may have recovered.
		for _, t := range all {
			if !slices.Contains(tried, t.member.Node) {
				candidates = append(candidates, t)
			}
		}
	}
	return b.pick(now, call, candidates)
}

// decayedFailureRate returns the failure rate decayed to now.
func (t *target) decayedFailureRate(now time.Time) float64 {
	if t.failureRate == 0 {
		return 0
	}
	return t.failureRate * math.Exp2(-now.Sub(t.failureRateAt).Seconds()/failureHalfLife.Seconds())
}

// Result is how a call ended.
type Result string

// Results of calls.
const (
	ResultAnswered Result = "answered"
	// ResultFailed means that the target failed the call.
	ResultFailed Result = "failed"
	// ResultRefused means that the target's node refused the call for lack of
	// capacity.
	ResultRefused Result = "refused"
	// ResultUnreachable means that the target's node cannot be reached.
	ResultUnreachable Result = "unreachable"
	// ResultAbandoned means that the call ended early and shows nothing about
	// the target.
	ResultAbandoned Result = "abandoned"
)

// Observation is the end of a call that Choose or ChooseTried has counted.
type Observation struct {
	Node   savorydeal.NodeID
	Route  string
	Result Result
	// RunTime is the mean time of the route's runs on the target, 0 if unknown.
	RunTime time.Duration
	// Load is the load that came with the answer; its Limit is 0 if none came.
	Load Load
}

// Observe ends a call and updates its target's load, failure rate, run times
// and backoff. It ignores targets that are no longer in the view.
func (b *Balancer) Observe(now time.Time, o Observation) {
	t := b.targets[o.Node]
	if t == nil {
		return
	}
	t.inFlight = max(0, t.inFlight-1)
	if o.Load.Limit > 0 {
		t.reported, t.reportedAt, t.inFlightAtReport = o.Load, now, t.inFlight
	}
	switch o.Result {
	case ResultAnswered:
		t.recordOutcome(now, 0)
		t.backoff = 0
		b.recordRunTime(t, o)
	case ResultFailed:
		t.recordOutcome(now, 1)
	case ResultUnreachable:
		t.backoff = min(maxBackoff, max(minBackoff, 2*t.backoff))
		t.unavailableUntil = now.Add(t.backoff)
	}
}

// recordOutcome updates the failure rate with one call: failed is 1 for a
// failed call, 0 for a successful one.
func (t *target) recordOutcome(now time.Time, failed float64) {
	rate := t.decayedFailureRate(now)
	t.failureRate = rate + failureWeight*(failed-rate)
	t.failureRateAt = now
}

// recordRunTime updates the mean of the route and the relative run time of the
// target with a report of its run time. A report's ratio is limited to [0.25, 4].
func (b *Balancer) recordRunTime(t *target, o Observation) {
	if o.RunTime <= 0 {
		return
	}
	mean, ok := b.routeMeans[o.Route]
	if !ok {
		b.routeMeans[o.Route] = o.RunTime
		return
	}
	ratio := min(4, max(0.25, o.RunTime.Seconds()/max(0.001, mean.Seconds())))
	t.runTimeRatio += runTimeRatioWeight * (ratio - t.runTimeRatio)
	b.routeMeans[o.Route] = mean + time.Duration(routeMeanWeight*float64(o.RunTime-mean))
}

// ServiceLoad returns the combined load of a service's targets from their
// reports of the last maxServiceLoadAge, weighted by their limits. It returns
// false if there is none.
func (b *Balancer) ServiceLoad(now time.Time, service string) (savorydeal.Pressure, bool) {
	calls, capacity, demand := 0, 0, 0.0
	for _, t := range b.services[service] {
		if t.reported.Limit > 0 && now.Sub(t.reportedAt) < maxServiceLoadAge {
			calls += t.reported.Running + t.reported.Queued
			capacity += t.reported.Limit
			demand += t.reported.Demand * float64(t.reported.Limit)
		}
	}
	if capacity == 0 {
		return savorydeal.Pressure{}, false
	}
	return savorydeal.Pressure{Load: float64(calls) / float64(capacity), Demand: demand / float64(capacity)}, true
}
