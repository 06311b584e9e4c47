package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

const (
	stableWindow = 3 * time.Second
	// downTime is how long an upstream is down after a crash.
	downTime = 3 * time.Second
)

// crashingRequest sends a request that crashes each upstream that begins to run it, from
// machines of one service. Requests with the same path from machines of another service are
// sound.
func crashingRequest(record string, trouble bool) int {
	services := []string{"catalogue", "orders"}
	w, err := newWorld(record, []string{"catalogue", "catalogue", "catalogue", "catalogue", "orders", "orders"}, "howrah")
	if err != nil {
		return cannotRun(err)
	}
	defer w.close()
	w.store.setConfig(4, services, []route{{name: "browse", prefix: "/browse/", service: "catalogue", kind: "idempotent", timeoutS: 1, aimS: 1, attempts: 2}})
	const path = "/browse/wicks"
	var mu sync.Mutex
	var crashes []time.Time
	var start func(n *node, incarnation int) error
	start = func(n *node, incarnation int) error {
		_, err := n.startUpstream(fmt.Sprintf("i-%d-%d", n.index+1, incarnation), time.Now().UnixMilli(), func(u *upstream, r *http.Request) (int, []byte, bool) {
			if trouble && r.URL.Path == path && r.Header.Get("Savorydeal-Caller-Service") == "orders" {
				mu.Lock()
				crashes = append(crashes, time.Now())
				mu.Unlock()
				w.note("request %s from orders crashes upstream %s", r.Header.Get("Savorydeal-Request-Id"), u.id)
				time.AfterFunc(downTime, func() { _ = start(n, incarnation+1) })
				return 0, nil, false
			}
			time.Sleep(160 * time.Millisecond)
			return http.StatusOK, []byte("answer of " + u.id), true
		})
		return err
	}
	for i, n := range w.nodes {
		if i < 4 {
			err = start(n, 1)
		} else {
			_, err = n.startUpstream(fmt.Sprintf("i-%d-1", i+1), time.Now().UnixMilli(), answerOK)
		}
		if err == nil {
			err = n.start()
		}
		if err != nil {
			return cannotRun(err)
		}
	}
	if err := w.awaitReady("/browse/1"); err != nil {
		return cannotRun(err)
	}
	stop := time.Now().Add(40 * time.Second)
	var wait sync.WaitGroup
	client := func(n *node, pause time.Duration, path string) {
		wait.Add(1)
		go func() {
			defer wait.Done()
			for time.Now().Before(stop) {
				w.send(n, request{path: path})
				time.Sleep(pause/2 + rand.N(pause))
			}
		}()
	}
	// The sound requests come from the machines of catalogue, in the same path and others.
	for i := range 4 {
		for range 5 {
			client(w.nodes[i], 200*time.Millisecond, path)
			client(w.nodes[i], 200*time.Millisecond, "/browse/"+fmt.Sprint(i))
		}
	}
	time.Sleep(2 * time.Second)
	// The request that crashes its upstreams comes again every 5 s, at one machine of orders
	// and then at the other.
	for i := 0; time.Now().Before(stop); i++ {
		w.send(w.nodes[4+i%2], request{path: path})
		time.Sleep(5 * time.Second)
	}
	wait.Wait()
	mu.Lock()
	defer mu.Unlock()
	reached := 0
	if len(crashes) >= 3 {
		third := crashes[2]
		for _, at := range crashes {
			if at.Sub(third) > stableWindow {
				reached++
			}
		}
	}
	w.note("crashes: %d; runs of the crashing request later than %v after the third crash: %d", len(crashes), stableWindow, reached)
	fmt.Println("crashes:", len(crashes), "later runs:", reached)
	if reached > 3 {
		return broken
	}
	return held
}
