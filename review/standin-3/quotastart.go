package main

import (
	"fmt"
	"net/http"
	"os"
	"sort"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["quota-start"] = quotaStart }

// quotaStart kills the nodes one after another, each of which is started again at once, while a
// tenant asks for more than its quota. Each kill that strikes the node which keeps the tenant's
// quota shows whether the new process of that node holds the quota from its first moment on.
func quotaStart(record string, trouble bool) int {
	const (
		rate, burst = 100.0, 100.0
		// usual x 1.6 is the quota, and a hot tenant sends 7.5 times its usual.
		demand      = rate / 1.6 * 7.5
		window      = 5.0
		over, slack = 0.1, 20.0
		machines    = 6
		killEvery   = 9 * time.Second
	)
	slow := os.Getenv("SLOW") != "0"
	w := newWorld(record)
	for i := range machines {
		w.addMachine([]string{"howrah", "kolkata", "hooghly"}[i%3], "catalogue")
	}
	w.store.operatorPut("config", "main", map[string]any{
		"version":  "0000000c",
		"services": []any{map[string]any{"name": "catalogue", "healthPath": "/health", "maxConnections": 928, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutS": 3, "idleTimeoutS": 15},
		"tenants": []any{
			map[string]any{"name": "pulo780", "apiKeys": []string{"3nax7u27gxprymh2rryt"}, "priority": 1, "ratePerS": rate, "burst": burst},
		},
		"virtualHosts": []any{map[string]any{"host": "hulo84.example", "routePaths": []any{map[string]any{
			"name": "r-y3mzh8j", "pathPrefix": "/leny950/", "kind": "idempotent", "timeoutS": 1.5, "targetLatencyS": 1.5, "priority": 1,
			"service": "catalogue", "maxAttempts": 2, "public": false,
		}}}},
	})
	for _, m := range w.machines {
		m.start()
	}
	w.awaitReady(10 * time.Second)
	for _, m := range w.machines {
		m.up = w.startUpstream(m, fmt.Sprintf("i-%08x", 0x1000+m.index), 20*time.Millisecond)
	}
	time.Sleep(4 * time.Second) // traffic starts later than the machines

	var stopping atomic.Bool
	var group sync.WaitGroup
	var mu sync.Mutex
	sent := map[string]time.Time{}
	statuses := map[int]int{}
	var last atomic.Int64
	down := make([]atomic.Bool, machines)
	attempt := func(m *machine, client *http.Client) answer {
		id := fmt.Sprintf("%016x", last.Add(1))
		mu.Lock()
		sent[id] = time.Now()
		mu.Unlock()
		a := m.send(client, http.MethodGet, "hulo84.example", "/leny950/2f", id, "3nax7u27gxprymh2rryt", 5*time.Second, "")
		mu.Lock()
		statuses[a.status]++
		mu.Unlock()
		return a
	}
	for i, m := range w.machines {
		transport := &http.Transport{MaxIdleConnsPerHost: 200, IdleConnTimeout: 5 * time.Second}
		client := &http.Client{Timeout: 5 * time.Second, Transport: transport}
		group.Add(1)
		go func() {
			defer group.Done()
			tick := time.NewTicker(time.Duration(float64(time.Second) * machines / demand))
			defer tick.Stop()
			for range tick.C {
				if stopping.Load() {
					return
				}
				if down[i].Load() {
					continue // the platform sends no new work to a machine that is not ready
				}
				group.Add(1)
				go func() {
					defer group.Done()
					a := attempt(m, client)
					if a.status == 429 || a.status == 503 { // one retry, as the answer says
						time.Sleep(time.Duration(min(a.retryAfter, 1.6) * float64(time.Second)))
						if !stopping.Load() && !down[i].Load() {
							attempt(m, client)
						}
					}
				}()
			}
		}()
	}
	time.Sleep(7 * time.Second)
	for i, m := range w.machines {
		if trouble {
			w.note("node %d is killed", i)
			down[i].Store(true)
			if slow {
				w.store.setSlow(60)
			}
			m.kill()
			time.Sleep(w.restartGap)
			m.start()
			w.note("node %d is started again", i)
			go func() {
				for !m.isReady() {
					time.Sleep(20 * time.Millisecond)
				}
				w.note("node %d is ready", i)
				down[i].Store(false)
			}()
			if slow {
				time.AfterFunc(4500*time.Millisecond-w.restartGap, func() { w.store.setSlow(1) })
			}
		}
		time.Sleep(killEvery)
	}
	stopping.Store(true)
	group.Wait()

	// A request counts in a window if it was sent and arrived at an upstream within it.
	type span struct{ sent, ran float64 }
	var spans []span
	w.mu.Lock()
	seen := map[string]bool{}
	for _, r := range w.runs {
		if at, ok := sent[r.id]; ok && !seen[r.id] {
			seen[r.id] = true
			spans = append(spans, span{at.Sub(w.startedAt).Seconds(), r.at.Sub(w.startedAt).Seconds()})
		}
	}
	w.mu.Unlock()
	sort.Slice(spans, func(i, j int) bool { return spans[i].ran < spans[j].ran })
	worst, worstEnd := 0, 0.0
	for _, end := range spans {
		count := 0
		for _, s := range spans {
			if s.ran <= end.ran && s.sent > end.ran-window {
				count++
			}
		}
		if count > worst {
			worst, worstEnd = count, end.ran
		}
	}
	bound := (rate*window+burst)*(1+over) + slack
	w.note("requests sent %d, run %d, answers by status %v", len(sent), len(spans), statuses)
	for second := 0.0; second < time.Since(w.startedAt).Seconds(); second++ {
		count := 0
		for _, s := range spans {
			if s.ran >= second && s.ran < second+1 {
				count++
			}
		}
		w.note("runs in second %3.0f: %d", second, count)
	}
	w.note("worst window of %g s: %d requests run, ended at %.3f; allowed are %.0f", window, worst, worstEnd, bound)
	fmt.Printf("worst window of %g s: %d requests run, allowed are %.0f\n", window, worst, bound)
	if float64(worst) > bound {
		return 1
	}
	return 0
}
