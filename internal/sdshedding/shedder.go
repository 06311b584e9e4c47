// Package sdshedding decides which new requests the first node refuses because a
// service that they would call is overloaded. It refuses the least important
// requests first, and never a call of a request that has already started. Package
// sdsidecar uses it; package sdnode uses sdpressure. The package does no I/O.
package sdshedding

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/savorydeal/savorydeal"
)

const (
	// overloadLoad is the load of a service (see savorydeal.Pressure) above which
	// its level starts to rise: all of its capacity is in use and a short queue
	// has formed.
	overloadLoad = 1.5
	// targetLoad is the load at which a service is kept while requests are
	// refused: no capacity is idle and few calls are queued.
	targetLoad = 1.2
	// maxLoad and maxDemand limit the effect of a single report.
	maxLoad   = 3.0
	maxDemand = 2.0
	// queueWeight converts the difference between load and targetLoad into
	// demand that has to be refused or admitted in addition. minQueueTerm and
	// maxQueueTerm bound the result, because a queue grows and drains within the
	// time until a change of the level becomes visible.
	queueWeight  = 0.1
	maxQueueTerm = 0.3
	minQueueTerm = -0.1
	// riseRate and fallRate are the change of the level, in ranks per second, for
	// each unit of excess demand. A change of the level becomes visible in the
	// reports after about 0.5 s; with these rates the level moves by less than
	// one rank in that time.
	riseRate = 1.0
	fallRate = 1.2
	// minStepScale is the smallest factor for a step of the level, reached when
	// nearly all of a rank is refused. The requests still admitted are then a
	// small part of a large demand, and a full step would change their number by
	// a multiple of it.
	minStepScale = 0.3
	// reportWeight is the weight of a new report in the moving average.
	reportWeight = 0.3
	// maxReportAge is the age from which a service's load counts as unknown.
	maxReportAge = 2 * time.Second
	// maxRiseAge is the age from which a report no longer raises the level.
	maxRiseAge = 400 * time.Millisecond
	// unknownFallRate is the fall of the level, in ranks per second, while the
	// load is unknown.
	unknownFallRate = 0.5
)

type service struct {
	// Pressure is the moving average of the reports.
	savorydeal.Pressure
	reportedAt time.Time
	// level is the number of ranks refused, the last one in part.
	level float64
	mix   mix
}

// Shedder holds the refusal level of every service as one node computes it. It is
// not safe for concurrent use.
type Shedder struct {
	byName map[string]*service
	// priorities are the distinct priorities of the routes, the most important
	// first.
	priorities []int
	lastTick   time.Time
}

// New returns a Shedder that admits all requests.
func New() *Shedder {
	return &Shedder{byName: make(map[string]*service)}
}

// SetPriorities sets the priorities of the routes. Each distinct priority is one
// rank.
func (sh *Shedder) SetPriorities(priorities []int) {
	sh.priorities = slices.Compact(slices.Sorted(slices.Values(priorities)))
}

// Observe adds a report of the pressure on a service to its moving average.
func (sh *Shedder) Observe(now time.Time, name string, report savorydeal.Pressure) {
	report = savorydeal.Pressure{Load: min(report.Load, maxLoad), Demand: min(report.Demand, maxDemand)}
	s := sh.byName[name]
	if s == nil {
		s = &service{Pressure: report}
		sh.byName[name] = s
	}
	if now.Sub(s.reportedAt) > maxReportAge {
		s.Pressure = report
	}
	s.Load += reportWeight * (report.Load - s.Load)
	s.Demand += reportWeight * (report.Demand - s.Demand)
	s.reportedAt = now
}

// Pressure returns the averaged pressure on a service. It reports false if there
// is no recent report.
func (sh *Shedder) Pressure(now time.Time, name string) (savorydeal.Pressure, bool) {
	s := sh.byName[name]
	if s == nil || now.Sub(s.reportedAt) > maxReportAge {
		return savorydeal.Pressure{}, false
	}
	return s.Pressure, true
}

// ReportAge returns the time since the last report on a service, 0 if there was
// none.
func (sh *Shedder) ReportAge(now time.Time, name string) time.Duration {
	s := sh.byName[name]
	if s == nil {
		return 0
	}
	return now.Sub(s.reportedAt)
}

// Tick updates the levels for the time since the last Tick, of which at most
// maxReportAge counts. It has to be called regularly, several times per second.
func (sh *Shedder) Tick(now time.Time) {
	if sh.lastTick.IsZero() {
		sh.lastTick = now
	}
	elapsed := min(now.Sub(sh.lastTick), maxReportAge).Seconds()
	sh.lastTick = now
	maxLevel := float64(len(sh.priorities))
	for _, s := range sh.byName {
		s.mix.advance(elapsed, s.level, len(sh.priorities))
		age := now.Sub(s.reportedAt)
		switch {
		case age > maxReportAge:
			s.level -= unknownFallRate * elapsed
		case s.level == 0 && s.Load <= overloadLoad:
		case s.mix.known():
			s.level = s.mix.nextLevel(elapsed, s.level, s.Demand, s.goal(), age > maxRiseAge)
		default:
			s.level += s.integratedStep(elapsed, age > maxRiseAge)
		}
		s.level = min(maxLevel, max(0, s.level))
	}
}

// integratedStep returns the change of the level while it is not known which requests
// would call the service.
func (s *service) integratedStep(elapsed float64, outdated bool) float64 {
	excess := s.excess() * s.stepScale()
	switch {
	case excess < 0:
		return fallRate * excess * elapsed
	case outdated:
		// Reports come with answers, and are rare while most requests are
		// refused. An old report is no reason to refuse even more.
		return 0
	}
	return riseRate * excess * elapsed
}

// goal returns the demand that fits, as a share of the capacity: all of it, less what the
// queue has to drain, or more if it is short.
func (s *service) goal() float64 {
	return 1 - min(maxQueueTerm, max(minQueueTerm, queueWeight*(s.Load-targetLoad)))
}

// excess returns the demand that has to be refused, as a share of the capacity.
// Below 0 there is spare capacity. The load alone would react too late, because a
// queue is the sum of the excess demand over time.
func (s *service) excess() float64 { return s.Demand - s.goal() }

// stepScale returns the factor for a step of the level. It falls from 1 to
// minStepScale with the part of the current rank that is still admitted.
func (s *service) stepScale() float64 {
	_, refused := math.Modf(s.level)
	return 1 - (1-minStepScale)*refused
}

// Level returns the number of ranks refused because of a service. Its fraction is
// the refused part of the last of them.
func (sh *Shedder) Level(name string) float64 {
	if s := sh.byName[name]; s != nil {
		return s.level
	}
	return 0
}

// Levels returns the levels above 0 by service, and the pressures on these
// services as far as they are known. Both are nil if all requests are admitted.
func (sh *Shedder) Levels(now time.Time) (levels map[string]float64, pressures map[string]savorydeal.Pressure) {
	for name, s := range sh.byName {
		if s.level <= 0 {
			continue
		}
		if levels == nil {
			levels, pressures = make(map[string]float64), make(map[string]savorydeal.Pressure)
		}
		levels[name] = s.level
		if pressure, known := sh.Pressure(now, name); known {
			pressures[name] = pressure
		}
	}
	return levels, pressures
}

// RelativeRank returns the rank of a priority among those in use, scaled from 0
// for the most important to 1 for the least.
func (sh *Shedder) RelativeRank(priority int) float64 {
	if len(sh.priorities) < 2 {
		return 0
	}
	rank, _ := slices.BinarySearch(sh.priorities, priority)
	return min(1, float64(rank)/float64(len(sh.priorities)-1))
}

// ShouldRefuse reports whether to refuse a new request, and because of which
// service. first is the service that the request is sent to, calls holds the
// downstream services that its run is expected to call. draw is a random number,
// uniform in [0, 1), that decides among the requests of a rank refused in part.
func (sh *Shedder) ShouldRefuse(priority int, first string, calls map[string]float64, draw float64) (string, bool) {
	rank, _ := slices.BinarySearch(sh.priorities, priority)
	fromLeast := len(sh.priorities) - 1 - rank
	refusing := sh.refusing(first, calls, float64(fromLeast)+draw)
	sh.offer(first, 1+calls[first], fromLeast, refusing)
	for name, count := range calls {
		if name != first {
			sh.offer(name, count, fromLeast, refusing)
		}
	}
	if len(refusing) == 0 {
		return "", false
	}
	return refusing[0], true
}

// refusing returns the services because of which a request of an importance is refused, the
// first service that it calls before the others.
func (sh *Shedder) refusing(first string, calls map[string]float64, importance float64) []string {
	var names []string
	if sh.Level(first) > importance {
		names = append(names, first)
	}
	for _, name := range slices.Sorted(maps.Keys(calls)) {
		if name != first && sh.Level(name) > importance {
			names = append(names, name)
		}
	}
	return names
}

// offer counts the calls of a new request in the mix of a service. A request that another
// service refuses is no demand on this one.
func (sh *Shedder) offer(name string, count float64, fromLeast int, refusing []string) {
	s := sh.byName[name]
	if s == nil || len(refusing) > 1 || len(refusing) == 1 && refusing[0] != name {
		return
	}
	s.mix.offer(fromLeast, count)
}
