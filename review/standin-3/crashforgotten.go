package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["crash-forgotten"] = crashForgotten }

// crashForgotten sends a request that crashes each upstream that runs it. Between the times that
// it comes, the processes of all nodes of its service are killed at once and started again.
func crashForgotten(record string, trouble bool) int {
	const (
		stableWindow = 3 * time.Second
		machines     = 5 // two of the service that is called, three of the caller's
		called       = 2
		crashAfter   = 50 * time.Millisecond
		backAfter    = 3 * time.Second
		downFor      = 300 * time.Millisecond
		rounds       = 8
	)
	w := newWorld(record)
	for i := range machines {
		service := "catalogue"
		if i < called {
			service = "orders"
		}
		w.addMachine([]string{"howrah", "kolkata", "hooghly"}[i%3], service)
	}
	w.store.operatorPut("config", "main", map[string]any{
		"version": "0000000c",
		"services": []any{
			map[string]any{"name": "catalogue", "healthPath": "/health", "maxConnections": 928, "protocol": "h1", "tls": false},
			map[string]any{"name": "orders", "healthPath": "/health", "maxConnections": 1210, "protocol": "h1", "tls": false},
		},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutS": 3, "idleTimeoutS": 15},
		"virtualHosts": []any{map[string]any{"host": "hulo84.example", "routePaths": []any{map[string]any{
			"name": "r-y3mzh8j", "pathPrefix": "/leny950/", "kind": "idempotent", "timeoutS": 5, "targetLatencyS": 1.5, "priority": 1,
			"service": "orders", "maxAttempts": 2,
		}}}},
	})
	for _, m := range w.machines {
		m.start()
	}
	w.awaitReady(10 * time.Second)
	var mu sync.Mutex
	var crashes []time.Time
	type arrival struct {
		id string
		at time.Time
	}
	var arrivals []arrival
	var begin func(m *machine, generation int)
	begin = func(m *machine, generation int) {
		u := w.newUpstream(m, fmt.Sprintf("i-%04x%04x", m.index, generation), 20*time.Millisecond)
		u.serve = func(rw http.ResponseWriter, r *http.Request, _ []byte) {
			if r.URL.Path != "/leny950/crash" {
				u.answer(rw, r)
				return
			}
			mu.Lock()
			arrivals = append(arrivals, arrival{r.Header.Get("Savorydeal-Request-Id"), time.Now()})
			mu.Unlock()
			time.Sleep(crashAfter)
			mu.Lock()
			crashes = append(crashes, time.Now())
			mu.Unlock()
			w.note("upstream %s crashes, running %s", u.id, r.Header.Get("Savorydeal-Request-Id"))
			u.crash()
			time.AfterFunc(backAfter, func() { begin(m, generation+1) })
			panic(http.ErrAbortHandler)
		}
		u.start()
	}
	for _, m := range w.machines {
		begin(m, 0)
	}
	time.Sleep(4 * time.Second)
	sent := map[string]time.Time{}
	client := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for i := range rounds {
		m := w.machines[called+i%(machines-called)]
		id := fmt.Sprintf("%016x", 0xc0+i)
		sent[id] = time.Now()
		a := m.send(client, http.MethodGet, "hulo84.example", "/leny950/crash", id, "", 5*time.Second, "")
		sound := m.send(client, http.MethodGet, "hulo84.example", "/leny950/sound", fmt.Sprintf("%016x", 0xd0+i), "", 5*time.Second, "")
		w.note("attempt %s at node %d: status %d; a sound request right after it: %d", id, m.index, a.status, sound.status)
		time.Sleep(4 * time.Second) // the upstreams are back
		if trouble && i < rounds-1 {
			w.note("the processes of nodes 0 to %d are killed at once", called-1)
			for _, node := range w.machines[:called] {
				node.kill()
			}
			time.Sleep(downFor)
			for _, node := range w.machines[:called] {
				node.start()
			}
		}
		time.Sleep(stableWindow + 1500*time.Millisecond) // all machines are in touch again
	}
	mu.Lock()
	defer mu.Unlock()
	late, requests := 0, map[string]bool{}
	for _, a := range arrivals {
		if len(crashes) >= 3 && sent[a.id].After(crashes[2].Add(stableWindow)) {
			late++
			requests[a.id] = true
		}
	}
	w.note("crashes %d; sent later than %v after the third: %d requests that reached upstreams %d times, allowed are 3", len(crashes), stableWindow, len(requests), late)
	fmt.Printf("crashes %d; sent later than %v after the third: %d requests that reached upstreams %d times, allowed are 3\n", len(crashes), stableWindow, len(requests), late)
	if len(requests) > 3 {
		return 1
	}
	return 0
}
