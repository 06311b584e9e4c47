package sdpressure

import (
	"math"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/savorydeal/savorydeal"
)

const (
	// levelFullAge is the age of a report up to which its level applies in full.
	// From then on the level fades, until it is 0 at levelMaxAge. The calls
	// admitted meanwhile bring new reports.
	levelFullAge = 300 * time.Millisecond
	levelMaxAge  = 1500 * time.Millisecond
	// levelWeight is the weight of a new report in the average. The reports are
	// averaged because the targets of a service have different levels.
	levelWeight = 0.5
	// pathMaxAge is how long a downstream service counts as part of an
	// operation's path after a call last reached it.
	pathMaxAge = time.Minute
	// maxPaths and maxCallers bound the memory of a Shedder. At maxPaths all paths
	// are dropped and observed anew; maxCallers applies to each class.
	maxPaths   = 4096
	maxCallers = 4096
	// callerRateTime is the time constant of the callers' rates.
	callerRateTime = 2 * time.Second

	// retryAfterMin is the mean wait at level 0. It grows with the level by up to
	// retryAfterRange.
	retryAfterMin   = time.Second
	retryAfterRange = 9 * time.Second
)

// Shedder decides at a request's first node whether the request may start. It is
// safe for concurrent use.
type Shedder struct {
	// IgnoreCallerShares makes Rank return the request's own rank, whatever share
	// of the requests its caller sends.
	IgnoreCallerShares bool

	mu       sync.Mutex
	random   savorydeal.Random
	services map[string]*serviceLevel
	// paths holds, for each operation and downstream service, when a call of the
	// operation last reached the service.
	paths map[operationKey]map[string]time.Time
	// rates holds the request rates of the callers of each class.
	rates map[savorydeal.Class]*callerRates
}

// operationKey identifies an operation of a service.
type operationKey struct {
	service   string
	operation string
}

// serviceLevel is the reported level of a service.
type serviceLevel struct {
	// level is the moving average of the reports, as of reportedAt.
	level      float64
	reportedAt time.Time
	// lowest is the lowest level reported within about a ControlInterval, at
	// lowestAt.
	lowest   float64
	lowestAt time.Time
}

// New returns a Shedder without reports, which admits all requests. random draws
// the jitter of RetryAfter.
func New(random savorydeal.Random) *Shedder {
	return &Shedder{
		random:   random,
		services: make(map[string]*serviceLevel),
		paths:    make(map[operationKey]map[string]time.Time),
		rates:    make(map[savorydeal.Class]*callerRates),
	}
}

// Rank counts a new request for its caller and returns the request's rank. It
// lowers the ranks of callers with high rates: of a caller with twice the mean
// rate of its class, half of the requests rank below all requests of callers
// with the mean rate.
func (s *Shedder) Rank(now time.Time, chain savorydeal.Chain) uint32 {
	s.mu.Lock()
	defer s.mu.Unlock()
	rates := s.rates[chain.Class]
	if rates == nil {
		rates = newCallerRates()
		s.rates[chain.Class] = rates
	}
	ratio := rates.add(now, chain.Caller)
	if s.IgnoreCallerShares {
		return chain.Rank
	}
	// position is the request's random position in its caller's rate, in units
	// of the mean rate. Admitting all positions up to a bound gives every
	// caller the same rate, or its own rate if that is lower.
	position := (1 - float64(chain.Rank)/math.MaxUint32) * ratio
	return uint32(math.MaxUint32 / (1 + position))
}

// Admit reports whether a request may start, and the level that applies: the
// highest one of its service and of the downstream services on its path.
func (s *Shedder) Admit(now time.Time, service, operation string, chain savorydeal.Chain) (bool, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	levelOf := s.levelOf
	if chain.Class == savorydeal.ClassCritical {
		levelOf = s.criticalLevelOf
	}
	level := levelOf(now, service)
	for downstream, reachedAt := range s.paths[operationKey{service, operation}] {
		if now.Sub(reachedAt) < pathMaxAge {
			level = max(level, levelOf(now, downstream))
		}
	}
	return Admits(int(level), chain.Class, chain.Rank), int(level)
}

// levelOf returns a service's level, reduced by the age of the last report.
func (s *Shedder) levelOf(now time.Time, service string) float64 {
	state := s.services[service]
	if state == nil {
		return 0
	}
	age := now.Sub(state.reportedAt)
	switch {
	case age <= levelFullAge:
		return state.level
	case age >= levelMaxAge:
		return 0
	}
	return state.level * float64(levelMaxAge-age) / float64(levelMaxAge-levelFullAge)
}

// criticalLevelOf returns a service's level for the most important class. No call
// of this class is refused at the first node while any target of the service
// admits less important calls, since that target could run it, nor while there is
// no recent report.
func (s *Shedder) criticalLevelOf(now time.Time, service string) float64 {
	level := s.levelOf(now, service)
	state := s.services[service]
	switch {
	case state == nil:
		return 0
	case now.Sub(state.reportedAt) > ControlInterval:
		return min(level, CriticalLevel)
	case now.Sub(state.lowestAt) <= ControlInterval:
		return min(level, state.lowest)
	}
	return level
}

// Observe records the levels that the end of an answer or a refusal reports. A
// signal without a limit, and thus without a target, is ignored.
func (s *Shedder) Observe(now time.Time, service, operation string, end savorydeal.AnswerEnd) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if end.Signal.Limit > 0 {
		s.observe(now, service, end.Signal.DropLevel)
	}
	if len(end.AdmissionLevels) == 0 {
		return
	}
	key := operationKey{service, operation}
	reached := s.paths[key]
	if reached == nil {
		if len(s.paths) >= maxPaths {
			clear(s.paths)
		}
		reached = make(map[string]time.Time)
		s.paths[key] = reached
	}
	for _, level := range end.AdmissionLevels {
		reached[level.Service] = now
		s.observe(now, level.Service, level.DropLevel)
	}
}

// observe records one report of a service's level.
func (s *Shedder) observe(now time.Time, service string, level int) {
	state := s.services[service]
	if state == nil {
		s.services[service] = &serviceLevel{level: float64(level), reportedAt: now, lowest: float64(level), lowestAt: now}
		return
	}
	if float64(level) <= state.lowest || now.Sub(state.lowestAt) > ControlInterval {
		state.lowest = float64(level)
		state.lowestAt = now
	}
	state.level = levelWeight*float64(level) + (1-levelWeight)*s.levelOf(now, service)
	state.reportedAt = now
}

// RetryAfter returns the wait for a refused caller: 1 s at level 0 and 10 s at
// MaxLevel on average, with jitter of half the mean either way, so that callers
// refused together do not return together.
func (s *Shedder) RetryAfter(level int) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	mean := retryAfterMin + time.Duration(float64(retryAfterRange)*float64(min(level, MaxLevel))/MaxLevel)
	return time.Duration(float64(mean) * (0.5 + s.random.Float64()))
}

// Levels returns the services with a level above 0, sorted by name.
func (s *Shedder) Levels(now time.Time) []savorydeal.ServiceAdmissionLevel {
	s.mu.Lock()
	defer s.mu.Unlock()
	var levels []savorydeal.ServiceAdmissionLevel
	for service := range s.services {
		if level := int(s.levelOf(now, service)); level > 0 {
			levels = append(levels, savorydeal.ServiceAdmissionLevel{Service: service, DropLevel: level})
		}
	}
	slices.SortFunc(levels, func(a, b savorydeal.ServiceAdmissionLevel) int { return strings.Compare(a.Service, b.Service) })
	return levels
}
