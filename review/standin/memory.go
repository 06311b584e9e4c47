package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// orderBytes is the length of a large order, about half of the config's maxBodyBytes.
	orderBytes = 36 << 20
	// orderWork is the time of an order's run, slowFactor that by which it grows.
	orderWork  = 400 * time.Millisecond
	slowFactor = 12
)

// watchMemory does what the platform does: it kills a node whose memory exceeds the limit
// of its settings, and starts it again. It reports the kills and the most memory seen.
func watchMemory(m *machine, stop chan struct{}) (kills, peak int) {
	for {
		select {
		case <-stop:
			return kills, peak
		case <-time.After(20 * time.Millisecond):
		}
		used := m.residentMB()
		peak = max(peak, used)
		if used <= memoryMB {
			continue
		}
		kills++
		m.world.record.add("platform: the node of %s uses %d MB, its limit is %d MB", m.name, used, memoryMB)
		if err := m.restart(); err != nil {
			m.world.record.add("platform: %v", err)
			return kills, peak
		}
	}
}

// playMemory: clients send large orders, each within the config's limits, two a second; the
// upstream that runs them turns slow. Other clients of the machine send small requests to an
// upstream that is not slow.
func playMemory(w *world, trouble bool) ([]string, error) {
	small := behaviour{work: 200 * time.Millisecond, bytes: 2000}
	order := behaviour{work: orderWork, bytes: 2000}
	front, err := w.addMachine("howrah", "catalogue", small)
	if err != nil {
		return nil, err
	}
	slow, err := w.addMachine("howrah", "orders", order)
	if err != nil {
		return nil, err
	}
	sound, err := w.addMachine("kolkata", "dispatch", small)
	if err != nil {
		return nil, err
	}
	if err := w.setConfig(7, []route{
		{"order", "/book/", "non_idempotent", "orders", 6, 0}, {"track", "/track/", "idempotent", "dispatch", 1, 1},
	}); err != nil {
		return nil, err
	}
	if err := w.startAll("/track/1"); err != nil {
		return nil, err
	}
	var group, watches sync.WaitGroup
	stop, stopWatches := make(chan struct{}), make(chan struct{})
	kills, peaks := make([]int, len(w.machines)), make([]int, len(w.machines))
	for i, m := range w.machines {
		watches.Go(func() { kills[i], peaks[i] = watchMemory(m, stopWatches) })
	}
	var mu sync.Mutex
	var answers []answer
	seen := func(a answer, q request) {
		w.record.add("client: %s %s %s, %d bytes -> kept connection %v, status %d, whole %v, error %v", a.id, q.method, q.path, len(q.body), a.kept, a.status, a.whole, a.err)
		mu.Lock()
		defer mu.Unlock()
		answers = append(answers, a)
	}
	load(&group, front, 24, 20*time.Millisecond, stop, func(int) request {
		return request{method: http.MethodGet, path: "/track/1", timeout: 800 * time.Millisecond}
	}, seen)
	body := make([]byte, orderBytes)
	group.Go(func() {
		tick := time.NewTicker(500 * time.Millisecond)
		defer tick.Stop()
		var orders sync.WaitGroup
		defer orders.Wait()
		for {
			select {
			case <-stop:
				return
			case <-tick.C:
			}
			orders.Go(func() {
				c := newClient(front)
				defer c.close()
				q := request{method: http.MethodPost, path: "/book/1", body: body, timeout: 6 * time.Second}
				seen(c.do(q), q)
			})
		}
	})
	time.Sleep(6 * time.Second)
	if trouble {
		order.work *= slowFactor
		slow.app.setBehaviour(order)
		w.record.add("upstream %s: turns slow, %d times as long", slow.app.identity, slowFactor)
	}
	time.Sleep(9 * time.Second)
	if trouble {
		order.work = orderWork
		slow.app.setBehaviour(order)
		w.record.add("upstream %s: no longer slow", slow.app.identity)
	}
	time.Sleep(2 * time.Second)
	close(stop)
	group.Wait()
	close(stopWatches)
	watches.Wait()
	for i, m := range w.machines {
		w.record.add("node of %s: at most %d MB of %d MB, killed %d times for it", m.name, peaks[i], memoryMB, kills[i])
	}
	return cutKept(w, answers, sound), nil
}

// cutKept returns the requests of kept connections that were passed on to the sound upstream
// and whose connection was closed without an answer, nil if they are no more than three.
func cutKept(w *world, answers []answer, sound *machine) []string {
	reached := make(map[string]bool)
	for _, one := range sound.app.seen() {
		reached[one.id] = true
	}
	var breaks []string
	whole := 0
	for _, a := range answers {
		if a.whole {
			whole++
		}
		if a.kept && a.err != nil && a.bytes == 0 && reached[a.id] {
			breaks = append(breaks, fmt.Sprintf("LOST: request %s of a kept connection was passed on to %s, which is sound; its connection ended without an answer: %v",
				a.id, sound.app.identity, a.err))
		}
	}
	w.record.add("answers of %s: %d of %d whole; requests of kept connections cut: %d", sound.name, whole, len(answers), len(breaks))
	if len(breaks) <= 3 { // the rule allows three
		return nil
	}
	return breaks
}
