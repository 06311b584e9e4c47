package sdsoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/savorydeal/savorydeal"
	"github.com/savorydeal/savorydeal/internal/sdstandcaller"
)

const (
	// baseRate is the request rate of all callers together, in 1/s.
	baseRate = 60
	// surgeFactor multiplies baseRate during FaultSurge.
	surgeFactor = 5
	// callTimeout is the time until the deadline that callers send.
	callTimeout = 1500 * time.Millisecond
	// responseTimeout is how long a caller waits for its node. It is longer than
	// callTimeout because the node must answer at the deadline.
	responseTimeout = 2 * time.Second
	// maxAttempts is the number of attempts of a caller at one request.
	maxAttempts = 4
	// hardAttempts and hardResponseTimeout replace maxAttempts and
	// responseTimeout during FaultHardRetry.
	hardAttempts        = 8
	hardResponseTimeout = 8 * time.Millisecond
	// resendDelay is the minimum delay before a resend; the maximum is twice as
	// long.
	resendDelay = 100 * time.Millisecond
	// maxInFlight is the maximum number of requests in flight; further ones are
	// skipped.
	maxInFlight      = 2000
	drainLoadTimeout = 30 * time.Second
)

// loadGenerator sends the requests of all callers and keeps their ledger.
type loadGenerator struct {
	cluster *cluster
	random  *rand.Rand

	// rateFactor multiplies the base rate.
	rateFactor atomic.Int64
	hardRetry  atomic.Bool
	// phase is the number of the current phase, from 1; 0 is before the first.
	phase atomic.Int64

	// surgeRequests counts the requests beyond the base rate.
	surgeRequests atomic.Int64
	// failedHardAttempts counts the attempts that failed during FaultHardRetry.
	failedHardAttempts atomic.Int64
	inFlight           atomic.Int64
	skippedRequests    atomic.Int64

	mu       sync.Mutex
	requests []Request
}

func newLoadGenerator(c *cluster, random *rand.Rand) *loadGenerator {
	l := &loadGenerator{cluster: c, random: random}
	l.rateFactor.Store(1)
	return l
}

// run sends requests at the current rate until ctx ends, then waits until all
// requests have ended.
func (l *loadGenerator) run(ctx context.Context) {
	var wait sync.WaitGroup
	for n := 0; ctx.Err() == nil; n++ {
		factor := l.rateFactor.Load()
		time.Sleep(time.Second / time.Duration(baseRate*factor))
		if factor > 1 && n%surgeFactor > 0 {
			l.surgeRequests.Add(1)
		}
		request := l.drawRequest(n)
		entries, delays := l.drawEntryVMs()
		if len(entries) == 0 || l.inFlight.Load() >= maxInFlight {
			l.skippedRequests.Add(1)
			continue
		}
		wait.Add(1)
		l.inFlight.Add(1)
		go func() {
			defer wait.Done()
			defer l.inFlight.Add(-1)
			l.send(request, entries, delays)
		}()
	}
	wait.Wait()
}

// drawRequest chooses the n-th request at random. Requests to the front service
// cause runs at all three services.
func (l *loadGenerator) drawRequest(n int) sdstandcaller.Request {
	request := sdstandcaller.Request{
		LedgerID: fmt.Sprintf("r%d", n),
		Caller:   fmt.Sprintf("branch-%d", l.random.IntN(20)),
		Timeout:  callTimeout,
	}
	switch draw := l.random.Float64(); {
	case draw < 0.25:
		request.Service, request.Method, request.Path = serviceFront, http.MethodPost, signOffPath+"/41"
	case draw < 0.5:
		request.Service, request.Method, request.Path = serviceFront, http.MethodGet, signOffPath
	case draw < 0.65:
		request.Service, request.Method, request.Path = serviceMid, http.MethodPost, limitPath+"/7"
	default:
		request.Service, request.Method, request.Path = serviceDeep, http.MethodGet, limitPath+"/7"
	}
	if request.Method == http.MethodPost {
		request.Key = "key-" + request.LedgerID
		request.Body = "amount of " + request.LedgerID
	}
	return request
}

func classOf(request sdstandcaller.Request) savorydeal.Class {
	switch {
	case request.Service == serviceFront && request.Method == http.MethodPost:
		return savorydeal.ClassCritical
	case request.Service == serviceFront:
		return savorydeal.ClassLow
	case request.Service == serviceMid:
		return savorydeal.ClassHigh
	}
	return savorydeal.ClassNormal
}

// drawEntryVMs chooses the VM to which each attempt is sent and the delay after
// the attempt. It returns none if no VM accepts requests.
func (l *loadGenerator) drawEntryVMs() ([]*vm, []time.Duration) {
	available := l.cluster.entryVMs()
	if len(available) == 0 {
		return nil, nil
	}
	var entries []*vm
	var delays []time.Duration
	for range hardAttempts {
		entries = append(entries, available[l.random.IntN(len(available))])
		delays = append(delays, resendDelay+time.Duration(l.random.Float64()*float64(resendDelay)))
	}
	return entries, delays
}

// send sends a request and resends it with the same key until it has a complete
// answer or the attempts are used up. It adds the request to the ledger.
func (l *loadGenerator) send(request sdstandcaller.Request, entries []*vm, delays []time.Duration) {
	request.Key = entries[0].key(request.Key)
	record := Request{ID: request.LedgerID, Service: request.Service, Method: request.Method, Class: classOf(request)}
	for n := range hardAttempts {
		hardRetry := l.hardRetry.Load()
		if n >= maxAttempts && !hardRetry {
			break
		}
		attempt := l.sendOnce(request, entries[n], hardRetry)
		record.Attempts = append(record.Attempts, attempt)
		if attempt.Result.Complete() {
			break
		}
		if !hardRetry {
			time.Sleep(delays[n])
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests = append(l.requests, record)
}

// sendOnce sends one attempt. With hardRetry the caller waits for its response only
// hardResponseTimeout.
func (l *loadGenerator) sendOnce(request sdstandcaller.Request, entry *vm, hardRetry bool) Attempt {
	timeout := responseTimeout
	if hardRetry {
		timeout = hardResponseTimeout
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	phase := int(l.phase.Load())
	result := entry.caller.Send(ctx, request)
	if hardRetry && result.Err != nil {
		l.failedHardAttempts.Add(1)
	}
	return Attempt{Entry: entry.dataCentre + "/" + entry.service, Phase: phase, Result: result}
}

// ledger returns a copy of the callers' records.
func (l *loadGenerator) ledger() []Request {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Request(nil), l.requests...)
}
