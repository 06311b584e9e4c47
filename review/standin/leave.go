package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// load sends requests from several clients of a machine until stop is closed, and passes
// each answer to seen.
func load(group *sync.WaitGroup, m *machine, clients int, gap time.Duration, stop chan struct{}, next func(i int) request, seen func(answer, request)) {
	for n := range clients {
		group.Go(func() {
			c := newClient(m)
			defer c.close()
			for i := n; ; i++ {
				select {
				case <-stop:
					return
				case <-time.After(gap):
				}
				q := next(i)
				seen(c.do(q), q)
			}
		})
	}
}

// playLeave: a node is killed and started again; before the next heartbeat of the upstream
// beside it, that upstream leaves with DELETE, which the node acknowledges.
func playLeave(w *world, trouble bool) ([]string, error) {
	b := behaviour{work: 60 * time.Millisecond, bytes: 2000}
	leaver, err := w.addMachine("howrah", "orders", b)
	if err != nil {
		return nil, err
	}
	other, err := w.addMachine("kolkata", "orders", b)
	if err != nil {
		return nil, err
	}
	front, err := w.addMachine("howrah", "catalogue", b)
	if err != nil {
		return nil, err
	}
	if err := w.setConfig(7, []route{
		{"browse", "/look/", "idempotent", "orders", 1, 2}, {"order", "/book/", "non_idempotent", "orders", 1.2, 0},
	}); err != nil {
		return nil, err
	}
	if err := w.startAll("/look/1"); err != nil {
		return nil, err
	}
	var group sync.WaitGroup
	stop := make(chan struct{})
	var mu sync.Mutex
	ends := make(map[string]int)
	next := func(i int) request {
		if i%4 == 0 {
			return request{method: http.MethodPost, path: "/book/1", body: []byte("order"), timeout: 3 * time.Second}
		}
		return request{method: http.MethodGet, path: "/look/1", timeout: 3 * time.Second}
	}
	seen := func(a answer, q request) {
		w.record.add("client: %s %s %s -> status %d, whole %v, error %v", a.id, q.method, q.path, a.status, a.whole, a.err)
		mu.Lock()
		defer mu.Unlock()
		ends[fmt.Sprintf("%s %d error=%v", q.method, a.status, a.err != nil)]++
	}
	load(&group, front, 4, 40*time.Millisecond, stop, next, seen)
	load(&group, other, 2, 40*time.Millisecond, stop, next, seen)
	time.Sleep(2 * time.Second)
	// The kill comes just after a heartbeat, so that the next one is due 1.5 s later.
	for beat := leaver.app.lastBeat(); !leaver.app.lastBeat().After(beat); time.Sleep(5 * time.Millisecond) {
	}
	beat := leaver.app.lastBeat()
	if trouble {
		leaver.kill()
		time.Sleep(restartDelay)
		if err := leaver.startNode(); err != nil {
			return nil, err
		}
	}
	time.Sleep(time.Until(beat.Add(1200 * time.Millisecond)))
	ackedAt, acked := leaver.app.leave()
	if !acked {
		return nil, fmt.Errorf("the node has not acknowledged the DELETE")
	}
	// The upstream goes on serving for drainS and some seconds more.
	time.Sleep(time.Until(ackedAt.Add(drainTime + 5*time.Second)))
	endedAt := time.Now()
	leaver.app.end()
	w.record.add("upstream %s: ended", leaver.app.identity)
	leaver.signal(syscall.SIGTERM)
	time.Sleep(time.Second)
	close(stop)
	group.Wait()
	// Counted are requests later than drainS after the ack, sent on by a machine in touch.
	from := ackedAt.Add(drainTime)
	if inTouch := leaver.startedAt().Add(stableWindow); trouble && inTouch.After(from) {
		from = inTouch
	}
	var breaks []string
	late := 0
	for _, one := range leaver.app.seen() {
		if one.at.After(ackedAt) {
			late++
		}
		if one.at.After(from) && one.at.Before(endedAt) {
			breaks = append(breaks, fmt.Sprintf("DRAIN: %s %s reached the upstream %.3f s after the acknowledged DELETE and %.3f s after the node's start",
				one.method, one.id, one.at.Sub(ackedAt).Seconds(), one.at.Sub(leaver.startedAt()).Seconds()))
		}
	}
	w.record.add("requests that reached the upstream after the ack: %d, of these later than drainS and from a machine in touch: %d", late, len(breaks))
	w.record.add("answers of clients: %v", ends)
	return breaks, nil
}
