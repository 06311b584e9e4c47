package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const drainTime = 2 * time.Second

// bornBack lets an upstream crash just after its start, while the time of day jumps back, so
// that its second start under the same identity states an earlier time than the first. Later
// it drains.
func bornBack(record string, trouble bool) int {
	services := []string{"catalogue", "orders"}
	w, err := newWorld(record, []string{"catalogue", "catalogue", "orders"}, "howrah")
	if err != nil {
		return cannotRun(err)
	}
	defer w.close()
	w.store.setConfig(4, services, []route{{name: "order", prefix: "/order/", service: "catalogue", kind: "non_idempotent", timeoutS: 1.2, aimS: 1.2, attempts: 2}})
	for i, n := range w.nodes[1:] {
		if _, err := n.startUpstream(fmt.Sprintf("i-%d", i+2), time.Now().UnixMilli(), answerSlowly); err != nil {
			return cannotRun(err)
		}
	}
	for _, n := range w.nodes {
		if err := n.start(); err != nil {
			return cannotRun(err)
		}
	}
	if err := w.awaitReady("/order/1"); err != nil {
		return cannotRun(err)
	}
	var wait sync.WaitGroup
	var mu sync.Mutex
	var lost []answer // requests that have run, without their answer
	stop := make(chan struct{})
	for _, n := range w.nodes {
		for range 3 {
			wait.Add(1)
			go func() {
				defer wait.Done()
				for {
					select {
					case <-stop:
						return
					default:
					}
					a := w.send(n, request{method: http.MethodPost, path: "/order/1", body: "wicks"})
					if a.status != http.StatusOK && w.serviceOf(a.id) != "" {
						mu.Lock()
						lost = append(lost, a)
						mu.Unlock()
					}
					time.Sleep(50 * time.Millisecond)
				}
			}()
		}
	}
	first := w.nodes[0]
	u, err := first.startUpstream("i-1", time.Now().UnixMilli(), answerSlowly)
	if err != nil {
		return cannotRun(err)
	}
	step := int64(0)
	timeOfDay := func() int64 { return time.Now().UnixMilli() + step }
	restart := func(down time.Duration) error {
		u.crash()
		time.Sleep(down)
		u, err = first.startUpstream("i-1", timeOfDay(), answerSlowly)
		return err
	}
	time.Sleep(300 * time.Millisecond)
	if trouble {
		step = -2000
		w.note("the time of day of %s jumps back by 2 s", first.name)
	}
	if err := restart(600 * time.Millisecond); err != nil {
		return cannotRun(err)
	}
	time.Sleep(4200 * time.Millisecond)
	step = 0
	w.note("the time of day is right again")
	time.Sleep(8 * time.Second)
	acked, ok := u.drain()
	if !ok {
		return cannotRun(fmt.Errorf("draining was not acknowledged"))
	}
	w.noteAt(acked, "upstream i-1 has reported draining; acknowledged")
	// It goes on serving for drainS and 2 s more, then reports its end and exits.
	time.Sleep(time.Until(acked.Add(drainTime + 2*time.Second)))
	status, _ := u.call(http.MethodDelete, []byte(fmt.Sprintf(`{"born":%d}`, u.born)))
	w.note("upstream i-1 has reported its end: status %d", status)
	exited := time.Now()
	u.crash()
	time.Sleep(2 * time.Second)
	close(stop)
	wait.Wait()
	late := 0
	for _, r := range w.runsSince(acked.Add(drainTime)) {
		if r.instance == "i-1" {
			late++
			w.noteAt(r.at, "request %s reaches i-1 %.3f s after the ack", r.id, r.at.Sub(acked).Seconds())
		}
	}
	lostAtExit := 0
	for _, a := range lost {
		if a.sent.After(acked.Add(drainTime)) && a.ended.After(exited.Add(-10*time.Millisecond)) {
			lostAtExit++
			w.noteAt(a.sent, "request %s has run and is answered %d: its upstream has exited", a.id, a.status)
		}
	}
	w.note("requests lost with the exit of i-1, sent later than %v after the ack: %d", drainTime, lostAtExit)
	w.note("requests that reached i-1 later than %v after the ack: %d", drainTime, late)
	fmt.Println("late:", late, "lost:", lostAtExit)
	if late > 0 {
		return broken
	}
	return held
}

func answerSlowly(u *upstream, _ *http.Request) (int, []byte, bool) {
	time.Sleep(210 * time.Millisecond)
	return http.StatusOK, []byte("answer of " + u.id), true
}
