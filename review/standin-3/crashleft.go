package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// crash ends the upstream as the end of its process would: its address refuses connections, and
// those that are open are reset.
func (u *upstream) crash() {
	close(u.stop)
	_ = u.listener.Close()
	u.connMu.Lock()
	defer u.connMu.Unlock()
	for c := range u.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}

func init() { cases["crash-left"] = crashLeft }

// crashLeft sends a request that crashes each upstream some time after it has begun to run it.
// Its client leaves before that, as clients do that give up.
func crashLeft(record string, trouble bool) int {
	const (
		stableWindow = 3 * time.Second
		machines     = 6
		objective    = 1500 * time.Millisecond
		leaveAfter   = objective / 2 // give_up: within half the objective
		crashAfter   = time.Second   // of the run
		backAfter    = 3 * time.Second
		attempts     = 12
		pause        = 5 * time.Second
	)
	w := newWorld(record)
	for i := range machines {
		w.addMachine([]string{"howrah", "kolkata", "hooghly"}[i%3], "catalogue")
	}
	w.store.operatorPut("config", "main", map[string]any{
		"version":  "0000000c",
		"services": []any{map[string]any{"name": "catalogue", "healthPath": "/health", "maxConnections": 928, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutS": 3, "idleTimeoutS": 15},
		"virtualHosts": []any{map[string]any{"host": "hulo84.example", "routePaths": []any{map[string]any{
			"name": "r-y3mzh8j", "pathPrefix": "/leny950/", "kind": "idempotent", "timeoutS": 5, "targetLatencyS": objective.Seconds(), "priority": 1,
			"service": "catalogue", "maxAttempts": 2,
		}}}},
	})
	for _, m := range w.machines {
		m.start()
	}
	w.awaitReady(10 * time.Second)
	var mu sync.Mutex
	var crashes []time.Time
	started := map[string]time.Time{} // arrivals of the crashing request, by id
	var begin func(m *machine, generation int)
	begin = func(m *machine, generation int) {
		u := w.newUpstream(m, fmt.Sprintf("i-%04x%04x", m.index, generation), 20*time.Millisecond)
		u.onRun = func(r run) {
			if r.path != "/leny950/crash" {
				return
			}
			mu.Lock()
			started[r.id] = r.at
			mu.Unlock()
			w.note("upstream %s runs the crashing request, id %s", u.id, r.id)
			// This upstream goes on with a request whose connection is closed.
			time.AfterFunc(crashAfter, func() {
				mu.Lock()
				crashes = append(crashes, time.Now())
				mu.Unlock()
				w.note("upstream %s crashes", u.id)
				u.crash()
				time.AfterFunc(backAfter, func() { begin(m, generation+1) })
			})
		}
		u.serve = func(rw http.ResponseWriter, r *http.Request, _ []byte) {
			if r.URL.Path == "/leny950/crash" {
				time.Sleep(2 * crashAfter) // it never gets to an answer
				panic(http.ErrAbortHandler)
			}
			u.answer(rw, r)
		}
		u.start()
	}
	for _, m := range w.machines {
		begin(m, 0)
	}
	time.Sleep(4 * time.Second)
	sent := map[string]time.Time{}
	for i := range attempts {
		m := w.machines[i%machines]
		id := fmt.Sprintf("%016x", 0xc0+i)
		timeout := 5 * time.Second
		if trouble {
			timeout = leaveAfter
		}
		client := &http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true}}
		sent[id] = time.Now()
		began := time.Now()
		a := m.send(client, http.MethodGet, "hulo84.example", "/leny950/crash", id, "", 5*time.Second, "")
		w.note("attempt %s at node %d: status %d after %v (0: the client has left, or has got no answer)", id, m.index, a.status, time.Since(began).Round(time.Millisecond))
		time.Sleep(pause - time.Since(began))
	}
	time.Sleep(crashAfter)
	mu.Lock()
	defer mu.Unlock()
	late := 0
	for id, at := range started {
		if len(crashes) >= 3 && at.After(crashes[2]) && sent[id].After(crashes[2].Add(stableWindow)) {
			late++
		}
	}
	w.note("crashes %d; arrivals of retries sent more than %v after the third: %d, allowed are 3", len(crashes), stableWindow, late)
	fmt.Printf("crashes %d; arrivals of retries sent more than %v after the third: %d, allowed are 3\n", len(crashes), stableWindow, late)
	if late > 3 {
		return 1
	}
	return 0
}
