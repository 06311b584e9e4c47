// Package sdcircuit limits the calls that one node sends to the platform. It
// combines token buckets, a circuit breaker that probes with jittered backoff,
// and a gradual increase of the rate after an outage. The package does no I/O.
package sdcircuit

import (
	"time"

	"golang.org/x/time/rate"

	"github.com/savorydeal/savorydeal"
)

// Kind determines the rate limit that applies to a call.
type Kind string

// Kinds of calls.
const (
	KindRead  Kind = "read"
	KindWrite Kind = "write"
	// KindWatch counts as one read, regardless of how long it waits for changes.
	KindWatch Kind = "watch"
)

// Result is how a call ended.
type Result string

// Results of calls.
const (
	// ResultAnswered means that the platform answered; a conflict is an answer
	// too.
	ResultAnswered Result = "answered"
	// ResultThrottled means that the platform refused the call because of the
	// call rate.
	ResultThrottled Result = "throttled"
	// ResultFailed means an error, a timeout or a broken connection.
	ResultFailed Result = "failed"
	// ResultAbandoned means that the caller gave up before the call ended. It
	// does not show whether the platform works.
	ResultAbandoned Result = "abandoned"
)

// State is the state of the circuit.
type State string

const (
	// StateClosed allows calls within the rate.
	StateClosed State = "closed"
	// StateOpen refuses all calls until the next probe is due.
	StateOpen State = "open"
	// StateHalfOpen refuses all calls until the result of one probe is known.
	StateHalfOpen State = "half_open"
)

// RefusalReason is the reason why a call must not be sent.
type RefusalReason string

const (
	// RefusedOpen means that the circuit is open or half open.
	RefusedOpen RefusalReason = "circuit_open"
	// RefusedRate means that the call would wait longer than MaxWait for a
	// token.
	RefusedRate RefusalReason = "rate_used_up"
)

const (
	// ReadsPerSecond bounds the reads and watches of one node. Usually only few
	// nodes call the platform; the bound limits the load if many do so at once.
	ReadsPerSecond = 10.0
	// WritesPerSecond bounds the writes of one node.
	WritesPerSecond = 5.0
	// readBurst and writeBurst are the bucket sizes in calls.
	readBurst  = 40
	writeBurst = 20
	// MaxWait is the longest wait for a token; a call that would wait longer
	// is refused.
	MaxWait = time.Second

	// failureThreshold is the number of consecutive failures that open the
	// circuit.
	failureThreshold = 3
	// MinBackoff is the mean time from the opening of the circuit to the first
	// probe.
	MinBackoff = 500 * time.Millisecond
	// MaxBackoff is the longest mean time between probes.
	MaxBackoff = 30 * time.Second
	// jitter spreads probes over 0.5 to 1.5 times the backoff, so that nodes
	// that lost the connection to the platform together do not probe it together.
	jitter = 0.5
	// StableDuration is how long the circuit must stay closed before the backoff
	// is reset to MinBackoff. It makes probes of an unstable platform rarer.
	StableDuration = 20 * time.Second

	// RampDuration is the time in which the rate share, the fraction of the full
	// call rate in force, grows from its minimum to 1.
	RampDuration = 10 * time.Second
	// minRateShare is the minimum rate share, in force after an outage and after
	// repeated throttling.
	minRateShare = 0.1
	// throttleFactor is the factor that a throttled call applies to the rate
	// share.
	throttleFactor = 0.5
)

// Permit allows one call. It must be passed once to Done or Cancel.
type Permit struct {
	kind  Kind
	epoch uint64
	probe bool
}

// Probe reports whether the call is the probe of a half-open circuit. A watch
// that is a probe should use a short timeout, because all other calls are
// refused until its result is known.
func (p Permit) Probe() bool {
	return p.probe
}

// Decision is the result of Allow.
type Decision struct {
	// Permit is valid only if Refused is empty.
	Permit Permit
	// Refused is the reason for a refusal. It is empty if the call may be sent
	// after Wait.
	Refused RefusalReason
	// Wait is the time until the token for the call is available, at most
	// MaxWait.
	Wait time.Duration
	// RetryAfter is the time for which further calls would be refused; 0 if
	// unknown or if the call is not refused.
	RetryAfter time.Duration
}

// Counts holds the counters of a Circuit since its creation.
type Counts struct {
	// Sent counts the permits that were not cancelled.
	Sent        map[Kind]int64
	Results     map[Result]int64
	RefusedOpen int64
	RefusedRate int64
	// Opened counts the times that the circuit opened.
	Opened int64
}

// Circuit is the circuit breaker and rate limiter of one node. It is not safe
// for concurrent use.
type Circuit struct {
	random savorydeal.Random

	state State
	// epoch increases with every change of state. Results of calls from an
	// earlier epoch are counted but do not affect the state.
	epoch uint64
	// failures is the number of consecutive failures.
	failures int
	// backoff is the mean time between probes; 0 until the circuit opens and
	// after it has stayed closed for StableDuration.
	backoff     time.Duration
	nextProbeAt time.Time
	closedAt    time.Time

	reads  *rate.Limiter
	writes *rate.Limiter
	// rateShare is the rate share, in [0.1, 1], at rateShareSetAt; it grows from
	// there.
	rateShare      float64
	rateShareSetAt time.Time
	counts         Counts
}

// New returns a closed circuit with the full rate.
func New(random savorydeal.Random) *Circuit {
	return &Circuit{
		random:    random,
		state:     StateClosed,
		reads:     rate.NewLimiter(ReadsPerSecond, readBurst),
		writes:    rate.NewLimiter(WritesPerSecond, writeBurst),
		rateShare: 1,
		counts:    Counts{Sent: make(map[Kind]int64), Results: make(map[Result]int64)},
	}
}

// State returns the current state. An open circuit becomes half open only when
// Allow grants a probe.
func (c *Circuit) State() State {
	return c.state
}

// Failing reports whether the circuit is not closed or the last call has failed.
// Abandoned calls do not count.
func (c *Circuit) Failing() bool {
	return c.state != StateClosed || c.failures > 0
}

// Counts returns a copy of the counters.
func (c *Circuit) Counts() Counts {
	counts := c.counts
	counts.Sent = make(map[Kind]int64, len(c.counts.Sent))
	for kind, n := range c.counts.Sent {
		counts.Sent[kind] = n
	}
	counts.Results = make(map[Result]int64, len(c.counts.Results))
	for result, n := range c.counts.Results {
		counts.Results[result] = n
	}
	return counts
}

// Allow decides whether a call may be sent now, after a wait, or not at all. A
// call that is not refused holds a permit.
func (c *Circuit) Allow(now time.Time, kind Kind) Decision {
	switch {
	case c.state == StateHalfOpen:
		return c.refuse(RefusedOpen, 0)
	case c.state == StateOpen && now.Before(c.nextProbeAt):
		return c.refuse(RefusedOpen, c.nextProbeAt.Sub(now))
	case c.state == StateOpen && kind == KindWrite:
		// Writes are never probes: the outcome of a write that fails would be
		// unknown. A read tests the platform just as well and has no side
		// effects.
		return c.refuse(RefusedOpen, 0)
	case c.state == StateOpen:
		c.setState(StateHalfOpen)
		return c.grant(kind, 0)
	}
	return c.allowWithinRate(now, kind)
}

// allowWithinRate takes a token from the bucket of the kind, or refuses the call
// if the next token is more than MaxWait away.
func (c *Circuit) allowWithinRate(now time.Time, kind Kind) Decision {
	limiter := c.rateLimiter(now, kind)
	reservation := limiter.ReserveN(now, 1)
	wait := reservation.DelayFrom(now)
	if wait > MaxWait {
		reservation.CancelAt(now)
		c.counts.RefusedRate++
		return Decision{Refused: RefusedRate, RetryAfter: wait - MaxWait}
	}
	return c.grant(kind, wait)
}

// rateLimiter returns the token bucket of the kind, set to the current rate
// share.
func (c *Circuit) rateLimiter(now time.Time, kind Kind) *rate.Limiter {
	share := c.RateShare(now)
	limiter, fullRate := c.reads, ReadsPerSecond
	if kind == KindWrite {
		limiter, fullRate = c.writes, WritesPerSecond
	}
	limiter.SetLimitAt(now, rate.Limit(fullRate*share))
	return limiter
}

// RateShare returns the fraction of the full call rate that is in force, from
// 0.1 to 1. It is below 1 for up to RampDuration after an outage or a throttled
// call.
func (c *Circuit) RateShare(now time.Time) float64 {
	grown := c.rateShare + (1-minRateShare)*now.Sub(c.rateShareSetAt).Seconds()/RampDuration.Seconds()
	return min(1, max(minRateShare, grown))
}

func (c *Circuit) setRateShare(now time.Time, share float64) {
	c.rateShare = max(minRateShare, share)
	c.rateShareSetAt = now
}

// grant counts a call as sent and returns its permit.
func (c *Circuit) grant(kind Kind, wait time.Duration) Decision {
	c.counts.Sent[kind]++
	permit := Permit{kind: kind, epoch: c.epoch, probe: c.state == StateHalfOpen}
	return Decision{Permit: permit, Wait: wait}
}

func (c *Circuit) refuse(reason RefusalReason, retryAfter time.Duration) Decision {
	c.counts.RefusedOpen++
	return Decision{Refused: reason, RetryAfter: retryAfter}
}

// Stale reports whether the state has changed since the permit was granted. A
// call that has waited for its token must then request a new permit.
func (c *Circuit) Stale(permit Permit) bool {
	return permit.epoch != c.epoch
}

// Cancel returns a permit whose call was not sent.
func (c *Circuit) Cancel(now time.Time, permit Permit) {
	c.counts.Sent[permit.kind]--
	c.applyResult(now, permit, ResultAbandoned)
}

// Done records how a call ended. It must be called once for every permit that
// was not cancelled.
func (c *Circuit) Done(now time.Time, permit Permit, result Result) {
	c.counts.Results[result]++
	c.applyResult(now, permit, result)
}

// applyResult updates the state, the backoff and the rate share from the result
// of a call. It ignores results of calls from an earlier epoch.
func (c *Circuit) applyResult(now time.Time, permit Permit, result Result) {
	if permit.epoch != c.epoch {
		return
	}
	if permit.probe {
		c.applyProbeResult(now, result)
		return
	}
	switch result {
	case ResultAnswered:
		c.failures = 0
		if c.backoff > 0 && now.Sub(c.closedAt) >= StableDuration {
			c.backoff = 0
		}
	case ResultThrottled:
		// The platform works but requires a lower call rate.
		c.failures = 0
		c.setRateShare(now, c.RateShare(now)*throttleFactor)
	case ResultFailed:
		c.failures++
		if c.failures >= failureThreshold {
			c.open(now)
		}
	}
}

// applyProbeResult closes the circuit if the platform answered the probe, and
// opens it again if not.
func (c *Circuit) applyProbeResult(now time.Time, result Result) {
	switch result {
	case ResultAnswered, ResultThrottled:
		c.setState(StateClosed)
		c.failures = 0
		c.closedAt = now
		c.startRamp(now)
	case ResultFailed:
		c.open(now)
	case ResultAbandoned:
		// The probe time has passed already, so the next read or watch probes.
		c.setState(StateOpen)
	}
}

// startRamp sets the rate share to its minimum and empties the buckets, because
// the tokens accumulated during the outage would allow a burst.
func (c *Circuit) startRamp(now time.Time) {
	c.setRateShare(now, minRateShare)
	for limiter, fullRate := range map[*rate.Limiter]float64{c.reads: ReadsPerSecond, c.writes: WritesPerSecond} {
		limiter.SetLimitAt(now, rate.Limit(fullRate*minRateShare))
		limiter.ReserveN(now, int(limiter.TokensAt(now)))
	}
}

// open opens the circuit, doubles the backoff and schedules the next probe.
func (c *Circuit) open(now time.Time) {
	c.counts.Opened++
	c.backoff = min(MaxBackoff, max(MinBackoff, 2*c.backoff))
	spread := 1 - jitter + 2*jitter*c.random.Float64()
	c.nextProbeAt = now.Add(time.Duration(float64(c.backoff) * spread))
	c.setState(StateOpen)
}

func (c *Circuit) setState(state State) {
	c.state = state
	c.epoch++
}
