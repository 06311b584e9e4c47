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
	baseRate    = 60
	surgeFactor = 5
	callTimeout = 1500 * time.Millisecond
	// callerPatience is how long a caller waits for its node, which should
	// have answered at the deadline.
	callerPatience   = 2 * time.Second
	maxAttempts      = 4
	hardAttempts     = 8
	hardPatience     = 8 * time.Millisecond
	resendWait       = 100 * time.Millisecond
	maxInFlight      = 2000
	drainLoadTimeout = 30 * time.Second
)

// load is all callers together, with their ledger.
type load struct {
	world  *world
	random *rand.Rand

	factor atomic.Int64
	hard   atomic.Bool
	phase  atomic.Int64

	extra   atomic.Int64
	resent  atomic.Int64
	flying  atomic.Int64
	skipped atomic.Int64

	mu       sync.Mutex
	requests []Request
}

func newLoad(w *world, random *rand.Rand) *load {
	l := &load{world: w, random: random}
	l.factor.Store(1)
	return l
}

// run sends requests at the present rate until ctx ends, then waits for all
// that are out.
func (l *load) run(ctx context.Context) {
	var wait sync.WaitGroup
	for n := 0; ctx.Err() == nil; n++ {
		factor := l.factor.Load()
		time.Sleep(time.Second / time.Duration(baseRate*factor))
		if factor > 1 && n%surgeFactor > 0 {
			l.extra.Add(1)
		}
		request := l.draw(n)
		entries, waits := l.drawEntries()
		if len(entries) == 0 || l.flying.Load() >= maxInFlight {
			l.skipped.Add(1)
			continue
		}
		wait.Add(1)
		l.flying.Add(1)
		go func() {
			defer wait.Done()
			defer l.flying.Add(-1)
			l.send(request, entries, waits)
		}()
	}
	wait.Wait()
}

// draw picks the next request. Sign-offs cross all three services.
func (l *load) draw(n int) sdstandcaller.Request {
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

// drawEntries picks the node of every attempt and the wait before it.
func (l *load) drawEntries() ([]*vm, []time.Duration) {
	up := l.world.entries()
	if len(up) == 0 {
		return nil, nil
	}
	var entries []*vm
	var waits []time.Duration
	for range hardAttempts {
		entries = append(entries, up[l.random.IntN(len(up))])
		waits = append(waits, resendWait+time.Duration(l.random.Float64()*float64(resendWait)))
	}
	return entries, waits
}

// send sends a request and resends it, under the same key, until it has a
// whole answer or the caller gives up.
func (l *load) send(request sdstandcaller.Request, entries []*vm, waits []time.Duration) {
	request.Key = entries[0].key(request.Key)
	entered := Request{ID: request.LedgerID, Service: request.Service, Method: request.Method, Class: classOf(request)}
	for n := range hardAttempts {
		hard := l.hard.Load()
		if n >= maxAttempts && !hard {
			break
		}
		attempt := l.attempt(request, entries[n], hard)
		entered.Attempts = append(entered.Attempts, attempt)
		if attempt.Result.Complete() {
			break
		}
		if !hard {
			time.Sleep(waits[n])
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests = append(l.requests, entered)
}

func (l *load) attempt(request sdstandcaller.Request, entry *vm, hard bool) Attempt {
	patience := callerPatience
	if hard {
		patience = hardPatience
	}
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	phase := int(l.phase.Load())
	result := entry.caller.Send(ctx, request)
	if hard && result.Err != nil {
		l.resent.Add(1)
	}
	return Attempt{Entry: entry.dataCentre + "/" + entry.service, Phase: phase, Result: result}
}

func (l *load) ledger() []Request {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Request(nil), l.requests...)
}
