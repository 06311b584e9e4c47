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
	return playLeaving(w, func(leaver *machine) (time.Time, error) {
		beat := leaver.app.lastBeat()
		if trouble {
			if err := leaver.restart(); err != nil {
				return time.Time{}, err
			}
		}
		time.Sleep(time.Until(beat.Add(1200 * time.Millisecond)))
		return leaver.app.leave()
	})
}

// playLate: an upstream leaves with DELETE, which its node acknowledges. The node is killed
// and started again. A heartbeat that the upstream had sent before arrives late.
func playLate(w *world, trouble bool) ([]string, error) {
	return playLeaving(w, func(leaver *machine) (time.Time, error) {
		late := leaver.app.nextBeat()
		ackedAt, err := leaver.app.leave()
		if err != nil {
			return ackedAt, err
		}
		time.Sleep(300 * time.Millisecond)
		if trouble {
			if err := leaver.restart(); err != nil {
				return ackedAt, err
			}
		}
		time.Sleep(time.Until(ackedAt.Add(2500 * time.Millisecond)))
		w.record.add("upstream %s: heartbeat of before the DELETE arrives, acknowledged: %v", leaver.app.identity, leaver.app.call(http.MethodPut, late))
		return ackedAt, nil
	})
}

// playLeaving plays a case in which the upstream of one machine leaves. leave begins just
// after a heartbeat of it was acknowledged, and returns when its DELETE was acknowledged.
func playLeaving(w *world, leave func(leaver *machine) (time.Time, error)) ([]string, error) {
	b := behaviour{work: 250 * time.Millisecond, bytes: 2000}
	var machines []*machine
	for _, place := range [][2]string{{"howrah", "orders"}, {"kolkata", "orders"}, {"howrah", "catalogue"}} {
		m, err := w.addMachine(place[0], place[1], b)
		if err != nil {
			return nil, err
		}
		machines = append(machines, m)
	}
	leaver, other, front := machines[0], machines[1], machines[2]
	err := w.setConfig(7, []route{
		{"browse", "/look/", "idempotent", "orders", 1, 2}, {"order", "/book/", "non_idempotent", "orders", 1.2, 0},
	})
	if err != nil {
		return nil, err
	}
	if err := w.startAll("/look/1"); err != nil {
		return nil, err
	}
	var group sync.WaitGroup
	stop := make(chan struct{})
	var mu sync.Mutex
	ends := make(map[string]int)
	failed := make(map[string]int)
	next := func(i int) request {
		if i%2 == 0 {
			return request{method: http.MethodPost, path: "/book/1", body: []byte("order"), timeout: 3 * time.Second}
		}
		return request{method: http.MethodGet, path: "/look/1", timeout: 3 * time.Second}
	}
	seen := func(a answer, q request) {
		w.record.add("client: %s %s %s -> status %d, whole %v, error %v", a.id, q.method, q.path, a.status, a.whole, a.err)
		mu.Lock()
		defer mu.Unlock()
		ends[fmt.Sprintf("%s %d error=%v", q.method, a.status, a.err != nil)]++
		if !a.whole {
			failed[a.id] = a.status
		}
	}
	load(&group, front, 8, 40*time.Millisecond, stop, next, seen)
	load(&group, other, 4, 40*time.Millisecond, stop, next, seen)
	time.Sleep(2 * time.Second)
	for beat := leaver.app.lastBeat(); !leaver.app.lastBeat().After(beat); time.Sleep(5 * time.Millisecond) {
	}
	ackedAt, err := leave(leaver)
	if err != nil {
		return nil, err
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
	if inTouch := leaver.startedAt().Add(stableWindow); inTouch.After(from) {
		from = inTouch
	}
	var breaks []string
	late := 0
	for _, one := range leaver.app.seen() {
		if status, ok := failed[one.id]; ok && one.method == http.MethodPost && one.at.After(ackedAt) {
			w.record.add("lost: order %s, begun %.3f s after the ack, ended with the upstream; the client got status %d", one.id, one.at.Sub(ackedAt).Seconds(), status)
		}
	}
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
