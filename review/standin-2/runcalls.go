package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

const (
	tenantKey = "k-7d1f3c9b5a2e4860"
	// leaveAfter is when a client that gives up closes its connection.
	leaveAfter = 200 * time.Millisecond
)

// callsOfRuns lets some clients leave before their deadline. One upstream of three goes on
// with a request whose connection has closed, and makes the call that the request needs.
func callsOfRuns(record string, trouble bool) int {
	services := []string{"map-store", "hire-ledger"}
	w, err := newWorld(record, []string{"hire-ledger", "hire-ledger", "hire-ledger", "map-store", "map-store"}, "dk-east-a")
	if err != nil {
		return cannotRun(err)
	}
	defer w.close()
	w.store.tenants = []map[string]any{{"name": "docks-1", "apiKeys": []string{tenantKey}, "priority": 1, "ratePerS": 0, "burst": 0}}
	w.store.setConfig(4, services, []route{
		{name: "hire", prefix: "/hire/", service: "hire-ledger", kind: "non_idempotent", timeoutS: 2, aimS: 3, attempts: 2},
		{name: "tile", prefix: "/tile/", service: "map-store", kind: "idempotent", timeoutS: 2, aimS: 0.8, attempts: 2},
	})
	var mu sync.Mutex
	statuses := make(map[int]int)
	for i, n := range w.nodes {
		handle := answerOK
		if n.service == "hire-ledger" {
			handle = func(u *upstream, r *http.Request) (int, []byte, bool) {
				goesOn := n.index == 0
				if !u.work(r, goesOn, 400*time.Millisecond) {
					return 0, nil, true // the connection has closed, and this upstream drops the request
				}
				id := r.Header.Get("Savorydeal-Request-Id")
				status := u.callOnward(id+".1", "/tile/1", r.Header.Get("Savorydeal-Timeout-Ms"))
				w.note("run %s at %s calls /tile/1 as %s.1: status %d; its own connection is %s", id, u.id, id, status, openOrClosed(r))
				mu.Lock()
				statuses[status]++
				mu.Unlock()
				if status != http.StatusOK {
					return http.StatusInternalServerError, nil, true
				}
				return http.StatusOK, []byte("hire of " + id), true
			}
		}
		if _, err := n.startUpstream(fmt.Sprintf("i-%d", i+1), time.Now().UnixMilli(), handle); err != nil {
			return cannotRun(err)
		}
		if err := n.start(); err != nil {
			return cannotRun(err)
		}
	}
	if err := w.awaitReady("/hire/1", "/tile/1"); err != nil {
		return cannotRun(err)
	}
	mu.Lock()
	clear(statuses)
	mu.Unlock()
	requests := 0
	var wait sync.WaitGroup
	began := time.Now()
	stop := began.Add(20 * time.Second)
	leaving := func() bool { // for 4 s of every 8 s
		return trouble && time.Since(began)%(8*time.Second) < 4*time.Second && rand.Float64() < 0.3
	}
	for _, n := range w.nodes {
		for range 4 {
			wait.Add(1)
			go func() {
				defer wait.Done()
				for time.Now().Before(stop) {
					r := request{method: http.MethodPost, path: "/hire/" + fmt.Sprint(rand.IntN(900)), body: "bike 17"}
					if leaving() {
						r.leaveAfter = leaveAfter
					}
					w.send(n, r)
					mu.Lock()
					requests++
					mu.Unlock()
					time.Sleep(rand.N(300 * time.Millisecond))
				}
			}()
		}
	}
	wait.Wait()
	time.Sleep(time.Second)
	mu.Lock()
	defer mu.Unlock()
	calls := 0
	for _, count := range statuses {
		calls += count
	}
	denied, allowed := statuses[http.StatusUnauthorized]+statuses[http.StatusForbidden], 5+(requests+calls)/500
	w.note("requests %d, calls %d by status %v; refused with 401 or 403: %d, allowed %d", requests, calls, statuses, denied, allowed)
	fmt.Println("calls by status:", statuses, "denied:", denied, "allowed:", allowed)
	if denied > allowed {
		return broken
	}
	return held
}

func openOrClosed(r *http.Request) string {
	if r.Context().Err() != nil {
		return "closed"
	}
	return "open"
}

// work takes its time. It returns false if the connection closes and the upstream drops the
// request then.
func (u *upstream) work(r *http.Request, goesOn bool, duration time.Duration) bool {
	if goesOn {
		time.Sleep(duration)
		return true
	}
	select {
	case <-time.After(duration):
		return true
	case <-r.Context().Done():
		return false
	}
}

// callOnward makes a call of a run through the node of the upstream's machine and returns
// the status of the answer. Calls carry no key.
func (u *upstream) callOnward(id, path, timeoutMS string) int {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+u.node.outbound()+path, nil)
	if err != nil {
		return 0
	}
	request.Host = host
	request.Header.Set("Savorydeal-Request-Id", id)
	request.Header.Set("Savorydeal-Timeout-Ms", timeoutMS)
	response, err := transport.RoundTrip(request)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return response.StatusCode
}
