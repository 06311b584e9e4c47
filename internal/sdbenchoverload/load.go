package sdbenchoverload

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/savorydeal/savorydeal"
	"github.com/savorydeal/savorydeal/internal/sdstandcaller"
)

const (
	callerCount = 12
	// burstCallers is the number of callers that send burstShare of the extra
	// requests of a surge.
	burstCallers = 2
	burstShare   = 0.5
	// Callers retry aggressively: up to four attempts with hardly a pause,
	// ignoring Retry-After.
	maxCallerAttempts = 4
	minRetryWait      = 10 * time.Millisecond
	maxRetryWait      = 30 * time.Millisecond
	// giveUpAfter is the time since the arrival of a request after which the
	// caller starts no further attempt.
	giveUpAfter = 6 * time.Second
	// callerTimeoutMargin is how much longer than attemptTimeout a caller waits
	// for an answer.
	callerTimeoutMargin = 200 * time.Millisecond
)

// ledgerEntry is one request in the callers' ledger.
type ledgerEntry struct {
	id        string
	operation operationSpec
	caller    int
	arrived   time.Time
	ended     time.Time
	completed bool
	attempts  int
	// refusedAt holds the times at which attempts were refused for overload.
	refusedAt []time.Time
	// reasons holds the reason of every attempt that did not complete.
	reasons []savorydeal.Reason
}

// loadGenerator sends the callers' requests and keeps their ledger.
type loadGenerator struct {
	deployment *deployment
	random     *rand.Rand
	// rate is the mean number of requests per second in the calm phase.
	rate float64
	// rateFactor returns the factor of the rate at a time since the start.
	rateFactor func(time.Duration) float64
	// targetsFaulty is true in scenarios whose faults make targets fail.
	targetsFaulty bool

	pending sync.WaitGroup
	mu      sync.Mutex
	entries []*ledgerEntry
}

// runOpenLoop sends requests with exponentially distributed gaps until the duration
// is over, regardless of the answers, and waits for all of them to end.
func (g *loadGenerator) runOpenLoop(ctx context.Context, start time.Time, duration time.Duration) {
	offset := time.Duration(0)
	for count := 0; ; count++ {
		factor := g.rateFactor(offset)
		offset += time.Duration(g.random.ExpFloat64() / (g.rate * factor) * float64(time.Second))
		if offset >= duration || ctx.Err() != nil {
			break
		}
		time.Sleep(time.Until(start.Add(offset)))
		entry := &ledgerEntry{
			id:        fmt.Sprintf("r-%d", count),
			operation: g.drawOperation(),
			caller:    g.drawCaller(factor),
			arrived:   time.Now(),
		}
		dataCentre := entry.caller % dataCentres
		seed := g.random.Uint64()
		g.mu.Lock()
		g.entries = append(g.entries, entry)
		g.mu.Unlock()
		g.pending.Add(1)
		go func() {
			defer g.pending.Done()
			g.send(ctx, entry, dataCentre, rand.New(rand.NewPCG(seed, 1)))
		}()
	}
	g.pending.Wait()
}

// drawOperation picks an operation at random by the operations' shares.
func (g *loadGenerator) drawOperation() operationSpec {
	point := g.random.Float64()
	for _, operation := range g.deployment.topology.operations {
		if point < operation.share {
			return operation
		}
		point -= operation.share
	}
	return g.deployment.topology.operations[0]
}

// drawCaller picks the sending caller. Without a surge all callers are equally
// likely; in a surge, burstShare of the extra requests comes from burstCallers.
func (g *loadGenerator) drawCaller(factor float64) int {
	burstProbability := burstShare * (factor - 1) / factor
	if burstProbability > 0 && g.random.Float64() < burstProbability {
		return g.random.IntN(burstCallers)
	}
	return g.random.IntN(callerCount)
}

// send sends a request, with retries, until it completes or the caller gives up.
func (g *loadGenerator) send(ctx context.Context, entry *ledgerEntry, dataCentre int, random *rand.Rand) {
	entryVMs := g.deployment.vmsIn(dataCentre)
	request := sdstandcaller.Request{
		LedgerID: entry.id,
		Service:  entry.operation.chain[0],
		Method:   entry.operation.method,
		Path:     entry.operation.path(),
		Caller:   fmt.Sprintf("caller-%d", entry.caller),
		Timeout:  attemptTimeout,
	}
	if entry.operation.method == http.MethodPost {
		// Like real callers, which are advised to do so, they use the key prefix
		// from the node's answers, and the same key for all attempts.
		request.Key = entryVMs[random.IntN(len(entryVMs))].caller.OwnedKey(entry.id)
	}
	for entry.attempts < maxCallerAttempts {
		entry.attempts++
		result := g.attempt(ctx, entryVMs[random.IntN(len(entryVMs))], request)
		entry.ended = time.Now()
		if result.Complete() {
			entry.completed = true
			return
		}
		entry.reasons = append(entry.reasons, reasonOf(result))
		if g.overloaded(result) {
			entry.refusedAt = append(entry.refusedAt, entry.ended)
		}
		if entry.ended.Sub(entry.arrived) > giveUpAfter {
			return
		}
		time.Sleep(minRetryWait + time.Duration(random.Float64()*float64(maxRetryWait-minRetryWait)))
	}
}

func (g *loadGenerator) attempt(ctx context.Context, v *vm, request sdstandcaller.Request) sdstandcaller.Result {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout+callerTimeoutMargin)
	defer cancel()
	return v.caller.Send(ctx, request)
}

// reasonOf returns the reason of an attempt that did not complete, or a
// substitute for one that ended without a reason.
func reasonOf(result sdstandcaller.Result) savorydeal.Reason {
	switch {
	case result.Err != nil:
		return "caller_timeout"
	case result.Outcome == savorydeal.OutcomeAnswered:
		return savorydeal.Reason(fmt.Sprintf("answered_%d", result.Status))
	}
	return result.Reason
}

// overloaded reports whether an attempt was refused for overload. A target's
// answer that a downstream service failed counts too, except in scenarios in
// which targets fail for another reason.
func (g *loadGenerator) overloaded(result sdstandcaller.Result) bool {
	switch result.Reason {
	case savorydeal.ReasonOverloaded, savorydeal.ReasonQueueFull, savorydeal.ReasonEvicted:
		return true
	default:
		return !g.targetsFaulty && result.Status == http.StatusBadGateway && result.Outcome == savorydeal.OutcomeAnswered
	}
}
