package sdstandtarget

import (
	"context"
	"math"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/savorydeal/savorydeal"
	"github.com/savorydeal/savorydeal/internal/sdheader"
)

// Behaviour sets how a target's service time varies, whether it announces its real
// number of slots and whether it refuses requests by itself. The zero value is a
// target with constant service time that announces its slots and refuses nothing.
type Behaviour struct {
	// Seed is the seed of the random service times.
	Seed uint64
	// LogNormalSigma is the standard deviation of the logarithm of the service
	// time, which is log-normal with mean Options.ServiceTime. Zero is constant.
	LogNormalSigma float64
	// SlowShare is the share of requests, in [0, 1], that take SlowFactor times as
	// long.
	SlowShare  float64
	SlowFactor float64
	// WarmUpTime is the time after the start for which the service time is
	// multiplied by WarmUpFactor.
	WarmUpTime   time.Duration
	WarmUpFactor float64
	// AnnouncedSlots is the number of slots that the target announces; 0 announces
	// Options.Slots.
	AnnouncedSlots int
	// ShedAbove is the number of requests waiting for a slot above which the
	// target refuses further ones by itself; 0 refuses none.
	ShedAbove int
}

// behaviourState is the state of a target's Behaviour.
type behaviourState struct {
	mu      sync.Mutex
	random  *rand.Rand
	started time.Time
	// admitted counts requests that hold or wait for a slot.
	admitted atomic.Int64
	// refused counts requests that the target refused by itself.
	refused atomic.Int64
}

func (b *behaviourState) start(options Options) {
	b.random = rand.New(rand.NewPCG(options.Behaviour.Seed, uint64(options.Slots)))
	b.started = time.Now()
}

// drawServiceTime draws the time for which the next request holds its slot before
// its onward calls.
func (t *Target) drawServiceTime() time.Duration {
	behaviour := t.options.Behaviour
	factor := float64(t.slowdown.Load())
	t.behaviour.mu.Lock()
	defer t.behaviour.mu.Unlock()
	if behaviour.LogNormalSigma > 0 {
		// The mean of exp(N(m, s)) is exp(m + s^2/2).
		sigma := behaviour.LogNormalSigma
		factor *= math.Exp(t.behaviour.random.NormFloat64()*sigma - sigma*sigma/2)
	}
	if behaviour.SlowShare > 0 && t.behaviour.random.Float64() < behaviour.SlowShare {
		factor *= behaviour.SlowFactor
	}
	if behaviour.WarmUpTime > 0 && time.Since(t.behaviour.started) < behaviour.WarmUpTime {
		factor *= behaviour.WarmUpFactor
	}
	return time.Duration(float64(t.options.ServiceTime) * factor)
}

func (t *Target) announcedSlots() int {
	if t.options.Behaviour.AnnouncedSlots > 0 {
		return t.options.Behaviour.AnnouncedSlots
	}
	return t.options.Slots
}

// refuseIfOverloaded refuses the request and returns true if too many requests wait
// for a slot. Otherwise it counts the request as admitted.
func (t *Target) refuseIfOverloaded(w http.ResponseWriter) bool {
	admitted := t.behaviour.admitted.Add(1)
	maxWaiting := t.options.Behaviour.ShedAbove
	if maxWaiting == 0 || admitted <= int64(t.options.Slots+maxWaiting) {
		return false
	}
	t.behaviour.admitted.Add(-1)
	t.behaviour.refused.Add(1)
	w.Header().Set(sdheader.Outcome, string(savorydeal.OutcomeNotRun))
	http.Error(w, "busy", http.StatusServiceUnavailable)
	return true
}

// ShedCount returns how many requests the target has refused by itself.
func (t *Target) ShedCount() int {
	return int(t.behaviour.refused.Load())
}

func (t *Target) onwardCallsOf(path string) []OnwardCall {
	if t.options.OnwardCallsOf != nil {
		return t.options.OnwardCallsOf(path)
	}
	return t.options.OnwardCalls
}

// callWithRetries makes an onward call and retries it after a failure up to
// Options.OnwardRetries times while the request is not cancelled.
func (t *Target) callWithRetries(r *http.Request, call OnwardCall) error {
	var err error
	for attempt := 0; attempt <= t.options.OnwardRetries && r.Context().Err() == nil; attempt++ {
		if err = t.callWithTimeout(r, call); err == nil {
			return nil
		}
	}
	if err == nil {
		err = r.Context().Err()
	}
	return err
}

// callWithTimeout makes an onward call within Options.OnwardTimeout.
func (t *Target) callWithTimeout(r *http.Request, call OnwardCall) error {
	if t.options.OnwardTimeout == 0 {
		return t.callOnward(r.Context(), r, call)
	}
	ctx, cancel := context.WithTimeout(r.Context(), t.options.OnwardTimeout)
	defer cancel()
	return t.callOnward(ctx, r, call)
}
