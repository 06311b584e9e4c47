package main

import (
	"fmt"
	"math/rand"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["route-drop"] = routeDrop }

// routeDrop removes and adds the least urgent route again and again while a tenant asks for more
// than its quota on that route, so that some of its requests wait for a token at that moment.
func routeDrop(record string, trouble bool) int {
	const (
		machines    = 3
		rate, burst = 300.0, 300.0
		demand      = rate / 1.6 * 7.5 // hot_tenant: 7.5 times the usual, which is the quota / 1.6
		timeout     = 1500 * time.Millisecond
		late        = 500 * time.Millisecond
		changes     = 22
		between     = 3 * time.Second
	)
	w := newWorld(record)
	for i := range machines {
		w.addMachine([]string{"howrah", "kolkata", "hooghly"}[i%3], "catalogue")
	}
	route := func(name, prefix string, priority int) map[string]any {
		return map[string]any{
			"name": name, "pathPrefix": prefix, "kind": "idempotent", "timeoutS": timeout.Seconds(), "targetLatencyS": 1.5, "priority": priority,
			"service": "catalogue", "maxAttempts": 2, "public": false,
		}
	}
	version := 11
	put := func(withLast bool) {
		version++
		routes := []any{route("r-qpf3c4a", "/puka111/", 0)}
		if withLast {
			routes = append(routes, route("r-y3mzh8j", "/leny950/", 2))
		}
		w.store.operatorPut("config", "main", map[string]any{
			"version":  fmt.Sprintf("%08x", version),
			"services": []any{map[string]any{"name": "catalogue", "healthPath": "/health", "maxConnections": 928, "protocol": "h1", "tls": false}},
			"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutS": 3, "idleTimeoutS": 15},
			"tenants": []any{
				map[string]any{"name": "pulo780", "apiKeys": []string{"3nax7u27gxprymh2rryt"}, "priority": 1, "ratePerS": rate, "burst": burst},
				map[string]any{"name": "vemi114", "apiKeys": []string{"apjsujqurtyiikdrbn4r"}, "priority": 0, "ratePerS": 50.0, "burst": 50.0},
			},
			"virtualHosts": []any{map[string]any{"host": "hulo84.example", "routePaths": routes}},
		})
		w.note("the operator writes version %08x, with the route /leny950/: %t", version, withLast)
	}
	put(true)
	for _, m := range w.machines {
		m.start()
	}
	w.awaitReady(10 * time.Second)
	for _, m := range w.machines {
		m.up = w.startUpstream(m, fmt.Sprintf("i-%08x", 0x1000+m.index), 20*time.Millisecond)
	}
	time.Sleep(4 * time.Second)

	var stopping atomic.Bool
	var group sync.WaitGroup
	var mu sync.Mutex
	var last, open atomic.Int64
	statuses := make([]map[int]int, machines)
	atTimeout, atLate := make([]int, machines), make([]int, machines)
	firstLate := make([]time.Duration, machines)
	attempt := func(i int, client *http.Client, path, key string) answer {
		id := fmt.Sprintf("%016x", last.Add(1))
		sent := time.Now()
		a := w.machines[i].send(client, http.MethodGet, "hulo84.example", path, id, key, 5*time.Second, "")
		took := time.Since(sent)
		mu.Lock()
		defer mu.Unlock()
		statuses[i][a.status]++
		if took > timeout {
			atTimeout[i]++
		}
		if took > timeout+late {
			atLate[i]++
			if firstLate[i] == 0 {
				firstLate[i] = sent.Sub(w.startedAt)
			}
		}
		return a
	}
	sending := func(i int, perSecond float64, path, key string) {
		client := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 100, IdleConnTimeout: 5 * time.Second}}
		tick := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
		defer tick.Stop()
		for range tick.C {
			if stopping.Load() {
				return
			}
			if open.Load() > 3000 { // the clients of a small deployment have as many requests open at most
				continue
			}
			open.Add(1)
			group.Go(func() {
				defer open.Add(-1)
				attempt(i, client, path, key)
			})
		}
	}
	for i := range machines {
		statuses[i] = map[int]int{}
		group.Go(func() { sending(i, demand/machines, "/leny950/2f", "3nax7u27gxprymh2rryt") })
		group.Go(func() { sending(i, 1, "/puka111/2f", "apjsujqurtyiikdrbn4r") })
	}
	time.Sleep(between)
	for change := range changes {
		if trouble {
			put(change%2 == 1)
		}
		// Nothing ties the operator's changes to the nodes' clocks.
		time.Sleep(between + time.Duration(rand.Intn(200))*time.Millisecond)
	}
	ready := make([]bool, machines)
	for i, m := range w.machines {
		ready[i] = m.isReady()
	}
	stopping.Store(true)
	group.Wait()
	broken := false
	for i := range machines {
		w.note("node %d: answers by status %v (0: none within 5 s); unanswered %v after they were sent: %d, %v later: %d, the first of these sent at %.3f; says at the end that it is ready: %t",
			i, statuses[i], timeout, atTimeout[i], late, atLate[i], firstLate[i].Seconds(), ready[i])
		broken = broken || atLate[i] >= 8 && 2*atLate[i] > atTimeout[i]
	}
	total, totalLate := 0, 0
	for i := range machines {
		total, totalLate = total+atTimeout[i], totalLate+atLate[i]
	}
	w.note("unanswered at their route's timeoutS: %d, of which half a second later: %d", total, totalLate)
	fmt.Printf("unanswered at their route's timeoutS: %d, of which half a second later: %d\n", total, totalLate)
	if broken && 2*totalLate > total {
		return 1
	}
	return 0
}
