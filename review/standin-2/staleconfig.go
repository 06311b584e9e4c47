package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	configApply = 2 * time.Second
	// cutTime is the length of core_cut on the site's own list of troubles.
	cutTime = 5500 * time.Millisecond
)

func answerOK(u *upstream, _ *http.Request) (int, []byte, bool) {
	time.Sleep(20 * time.Millisecond)
	return http.StatusOK, []byte("answer of " + u.id), true
}

// staleConfig cuts the two nodes that watch the store off from it, and changes the config
// meanwhile. The other nodes are in touch all the while.
func staleConfig(record string, trouble bool) int {
	services := []string{"catalogue", "orders"}
	w, err := newWorld(record, []string{"catalogue", "orders", "catalogue", "orders"}, "howrah")
	if err != nil {
		return cannotRun(err)
	}
	defer w.close()
	before := []route{{name: "browse", prefix: "/browse/", service: "catalogue", kind: "idempotent", timeoutS: 1, aimS: 1, attempts: 2}}
	after := []route{{name: "browse", prefix: "/browse/", service: "orders", kind: "idempotent", timeoutS: 1, aimS: 1, attempts: 2}}
	w.store.setConfig(4, services, before)
	for i, n := range w.nodes {
		if _, err := n.startUpstream(fmt.Sprintf("i-%d", i+1), time.Now().UnixMilli(), answerOK); err != nil {
			return cannotRun(err)
		}
		if err := n.start(); err != nil {
			return cannotRun(err)
		}
	}
	if err := w.awaitReady("/browse/1"); err != nil {
		return cannotRun(err)
	}
	late, version := 0, 4
	for round := range 2 {
		next, old, fresh := after, "catalogue", "orders"
		if round%2 == 1 {
			next, old, fresh = before, "orders", "catalogue"
		}
		version += 3
		n, err := w.changeDuringCut(trouble, version, services, next, old, fresh)
		if err != nil {
			return cannotRun(err)
		}
		late += n
		time.Sleep(6 * time.Second)
	}
	w.note("requests that machines in touch handled as only an older version allows, over %v after the ack: %d", configApply, late)
	fmt.Println("late:", late)
	if late > 0 {
		return broken
	}
	return held
}

// changeDuringCut returns the number of requests that were sent to machines in touch over
// configApply after the ack and were run by the old service.
func (w *world) changeDuringCut(trouble bool, version int, services []string, next []route, old, fresh string) (int, error) {
	watchers := make(map[int]bool)
	w.store.mu.Lock()
	for index, at := range w.store.watches {
		if time.Since(at) < 2*time.Second {
			watchers[index] = true
		}
	}
	w.store.mu.Unlock()
	if len(watchers) == 0 || len(watchers) > 2 {
		return 0, fmt.Errorf("%d nodes watch the store, want 1 or 2", len(watchers))
	}
	read := make(chan int, 64)
	w.store.mu.Lock()
	w.store.onRead = func(index int) {
		if !watchers[index] {
			select {
			case read <- index:
			default:
			}
		}
	}
	w.store.mu.Unlock()
	began := time.Now()
	for index := range watchers {
		w.note("%s watches the store", w.nodes[index].name)
		if trouble {
			w.store.setCut(index, true)
			w.note("%s is cut off from the store, for %v", w.nodes[index].name, cutTime)
		}
	}
	// The operator changes the config a moment after a node has read the old one.
	select {
	case index := <-read:
		w.note("%s has read the config of the store", w.nodes[index].name)
		time.Sleep(350 * time.Millisecond)
	case <-time.After(3 * time.Second):
	}
	acked := w.store.setConfig(version, services, next)
	w.noteAt(acked, "config %08x acked: /browse/ moves from %s to %s", version, old, fresh)
	var wait sync.WaitGroup
	var mu sync.Mutex
	late := 0
	stop := time.Now().Add(4500 * time.Millisecond)
	for index, n := range w.nodes {
		if watchers[index] {
			continue
		}
		wait.Add(1)
		go func() {
			defer wait.Done()
			for time.Now().Before(stop) {
				a := w.send(n, request{path: "/browse/" + fmt.Sprint(index), quiet: true})
				ranBy := w.serviceOf(a.id)
				w.noteAt(a.sent, "GET /browse/%d %s sent to %s, %.3f s after the ack: status %d, run by %s", index, a.id, n.name, a.sent.Sub(acked).Seconds(), a.status, ranBy)
				if a.sent.Sub(acked) > configApply && ranBy == old {
					mu.Lock()
					late++
					mu.Unlock()
				}
				time.Sleep(20 * time.Millisecond)
			}
		}()
	}
	time.Sleep(time.Until(began.Add(cutTime)))
	for index := range watchers {
		w.store.setCut(index, false)
	}
	w.note("the cuts have ended")
	wait.Wait()
	w.store.mu.Lock()
	w.store.onRead = nil
	w.store.mu.Unlock()
	return late, nil
}

// serviceOf returns the service that ran a request, empty if none did.
func (w *world) serviceOf(id string) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i := len(w.runs) - 1; i >= 0; i-- {
		if w.runs[i].id == id {
			return w.runs[i].service
		}
	}
	return ""
}
