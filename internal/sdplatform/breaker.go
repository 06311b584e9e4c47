package sdplatform

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/savorydeal/savorydeal"
	"github.com/savorydeal/savorydeal/internal/sdcircuit"
)

// probeWait is the longest wait of a watch that is a probe, because other calls
// are refused until the probe ends.
const probeWait = 500 * time.Millisecond

// CircuitBreaker is a savorydeal.Platform that passes calls to another Platform as
// its circuit and its rate limiter allow. A call that it refuses with
// savorydeal.ErrPlatformRefused was not sent.
type CircuitBreaker struct {
	next  savorydeal.Platform
	clock savorydeal.Clock

	mu      sync.Mutex
	circuit *sdcircuit.Circuit
}

var _ savorydeal.Platform = (*CircuitBreaker)(nil)

// NewCircuitBreaker returns a circuit breaker for the platform. random adds jitter
// to the times of the probes.
func NewCircuitBreaker(next savorydeal.Platform, clock savorydeal.Clock, random savorydeal.Random) *CircuitBreaker {
	return &CircuitBreaker{next: next, clock: clock, circuit: sdcircuit.New(random)}
}

// Status is the state of a CircuitBreaker.
type Status struct {
	State sdcircuit.State
	// Failing reports whether the circuit is not closed or the last call with a
	// result has failed.
	Failing bool
	// RateShare is the fraction of the full call rate that is in force, from
	// 0.1 to 1.
	RateShare float64
	Counts    sdcircuit.Counts
}

// Status returns the current state.
func (b *CircuitBreaker) Status() Status {
	b.mu.Lock()
	defer b.mu.Unlock()
	return Status{
		State:     b.circuit.State(),
		Failing:   b.circuit.Failing(),
		RateShare: b.circuit.RateShare(b.clock.Now()),
		Counts:    b.circuit.Counts(),
	}
}

// Get reads one object.
func (b *CircuitBreaker) Get(ctx context.Context, kind, name string) (object savorydeal.Object, err error) {
	err = b.call(ctx, sdcircuit.KindRead, func(sdcircuit.Permit) error {
		object, err = b.next.Get(ctx, kind, name)
		return err
	})
	return object, err
}

// Put writes one object if its current version is the expected one.
func (b *CircuitBreaker) Put(ctx context.Context, kind, name string, expected int64, value []byte) (object savorydeal.Object, err error) {
	err = b.call(ctx, sdcircuit.KindWrite, func(sdcircuit.Permit) error {
		object, err = b.next.Put(ctx, kind, name, expected, value)
		return err
	})
	return object, err
}

// Delete deletes one object if its current version is the expected one.
func (b *CircuitBreaker) Delete(ctx context.Context, kind, name string, expected int64) (object savorydeal.Object, err error) {
	err = b.call(ctx, sdcircuit.KindWrite, func(sdcircuit.Permit) error {
		object, err = b.next.Delete(ctx, kind, name, expected)
		return err
	})
	return object, err
}

// List reads all objects of a kind.
func (b *CircuitBreaker) List(ctx context.Context, kind string) (list savorydeal.ObjectList, err error) {
	err = b.call(ctx, sdcircuit.KindRead, func(sdcircuit.Permit) error {
		list, err = b.next.List(ctx, kind)
		return err
	})
	return list, err
}

// Watch waits up to the given time for changes after a revision, at most
// probeWait if the call is a probe.
func (b *CircuitBreaker) Watch(ctx context.Context, kind string, after int64, wait time.Duration) (list savorydeal.ObjectList, err error) {
	err = b.call(ctx, sdcircuit.KindWatch, func(permit sdcircuit.Permit) error {
		if permit.Probe() {
			wait = min(wait, probeWait)
		}
		list, err = b.next.Watch(ctx, kind, after, wait)
		return err
	})
	return list, err
}

// call sends one call if the circuit allows it and reports the result to the
// circuit.
func (b *CircuitBreaker) call(ctx context.Context, kind sdcircuit.Kind, send func(sdcircuit.Permit) error) error {
	permit, err := b.admit(ctx, kind)
	if err != nil {
		return err
	}
	result := sdcircuit.ResultFailed
	// The result is reported even if send panics. Without the result of its probe
	// the circuit would stay half open.
	defer func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.circuit.Done(b.clock.Now(), permit, result)
	}()
	err = send(permit)
	result = resultOf(ctx, err)
	return err
}

// admit requests a permit and waits until it may be used. If the circuit opens
// during the wait, the call is refused.
func (b *CircuitBreaker) admit(ctx context.Context, kind sdcircuit.Kind) (sdcircuit.Permit, error) {
	decision := b.allow(kind)
	if decision.Refused != "" {
		return sdcircuit.Permit{}, refusalError(kind, decision)
	}
	if decision.Wait == 0 {
		return decision.Permit, nil
	}
	select {
	case <-b.clock.After(decision.Wait):
	case <-ctx.Done():
		b.cancel(decision.Permit)
		return sdcircuit.Permit{}, fmt.Errorf("wait for the rate limit of calls to the platform: %w: %w", ctx.Err(), savorydeal.ErrPlatformRefused)
	}
	if !b.stale(decision.Permit) {
		return decision.Permit, nil
	}
	b.cancel(decision.Permit)
	return sdcircuit.Permit{}, refusalError(kind, sdcircuit.Decision{Refused: sdcircuit.RefusedOpen})
}

func (b *CircuitBreaker) allow(kind sdcircuit.Kind) sdcircuit.Decision {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.circuit.Allow(b.clock.Now(), kind)
}

func (b *CircuitBreaker) stale(permit sdcircuit.Permit) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.circuit.Stale(permit)
}

func (b *CircuitBreaker) cancel(permit sdcircuit.Permit) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.circuit.Cancel(b.clock.Now(), permit)
}

func refusalError(kind sdcircuit.Kind, decision sdcircuit.Decision) error {
	if decision.Refused == sdcircuit.RefusedRate {
		return fmt.Errorf("%s not sent: this node has used up its rate limit of calls to the platform; retry in %v: %w",
			kind, decision.RetryAfter.Round(time.Millisecond), savorydeal.ErrPlatformRefused)
	}
	return fmt.Errorf("%s not sent: recent calls to the platform failed; the next probe is in %v: %w",
		kind, decision.RetryAfter.Round(time.Millisecond), savorydeal.ErrPlatformRefused)
}

func resultOf(ctx context.Context, err error) sdcircuit.Result {
	switch {
	case err == nil, errors.Is(err, savorydeal.ErrObjectNotFound), errors.Is(err, savorydeal.ErrVersionConflict):
		return sdcircuit.ResultAnswered
	case errors.Is(err, savorydeal.ErrPlatformRefused):
		return sdcircuit.ResultThrottled
	case errors.Is(ctx.Err(), context.Canceled):
		return sdcircuit.ResultAbandoned
	}
	return sdcircuit.ResultFailed
}
