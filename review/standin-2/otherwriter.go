package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// recoveryTime is the bound of the rule after the machines are back.
const recoveryTime = 15 * time.Second

// otherWriter kills all nodes, as a final fault, and lets another writer send each node one
// heartbeat that lacks a field, after the machines are back.
func otherWriter(record string, trouble bool) int {
	services := []string{"catalogue", "orders"}
	w, err := newWorld(record, []string{"catalogue", "catalogue", "orders", "orders"}, "howrah")
	if err != nil {
		return cannotRun(err)
	}
	defer w.close()
	w.store.setConfig(4, services, []route{
		{name: "browse", prefix: "/browse/", service: "catalogue", kind: "idempotent", timeoutS: 1, aimS: 1, attempts: 2},
		{name: "order", prefix: "/order/", service: "orders", kind: "non_idempotent", timeoutS: 1.2, aimS: 2, attempts: 2},
	})
	for i, n := range w.nodes {
		if _, err := n.startUpstream(fmt.Sprintf("i-%d", i+1), time.Now().UnixMilli(), answerOK); err != nil {
			return cannotRun(err)
		}
		if err := n.start(); err != nil {
			return cannotRun(err)
		}
	}
	if err := w.awaitReady("/browse/1", "/order/1"); err != nil {
		return cannotRun(err)
	}
	var wait sync.WaitGroup
	var mu sync.Mutex
	var answers []answer
	stop := make(chan struct{})
	for _, n := range w.nodes {
		for i := range 4 {
			wait.Add(1)
			go func() {
				defer wait.Done()
				for {
					select {
					case <-time.After(100 * time.Millisecond):
					case <-stop:
						return
					}
					r := request{path: "/browse/1", deadline: 3 * time.Second}
					if i%2 == 1 {
						r = request{method: http.MethodPost, path: "/order/1", body: "wicks", deadline: 3 * time.Second}
					}
					a := w.send(n, r)
					mu.Lock()
					answers = append(answers, a)
					mu.Unlock()
				}
			}()
		}
	}
	time.Sleep(5 * time.Second)
	fault := time.Now()
	for _, n := range w.nodes {
		n.kill()
		if err := n.writeSettings("howrah", n.storeAddress, false); err != nil {
			return cannotRun(err)
		}
	}
	w.note("all processes are killed")
	time.Sleep(time.Second)
	for _, n := range w.nodes {
		if err := n.start(); err != nil {
			return cannotRun(err)
		}
	}
	back := time.Now()
	w.note("all processes are started again")
	time.Sleep(3 * time.Second)
	if trouble {
		for i, n := range w.nodes {
			body, _ := json.Marshal(map[string]any{
				"service": n.service, "address": n.app(), "version": "v1", "slots": 138, "state": "ready",
				"warmupLeftS": 0, "seq": 1, "born": time.Now().UnixMilli(),
			}) // zone is missing
			u := &upstream{node: n, id: fmt.Sprintf("x-%d", i+1)}
			status, err := u.call(http.MethodPut, body)
			w.note("another writer sends %s: PUT /instances/%s %s; answered %d%s", n.name, u.id, bytes.TrimSpace(body), status, errorText(err))
		}
	}
	time.Sleep(time.Until(back.Add(recoveryTime + 8*time.Second)))
	close(stop)
	wait.Wait()
	share := func(from, to time.Time) (int, int) {
		served, all := 0, 0
		for _, a := range answers {
			if a.sent.Before(from) || a.sent.After(to) {
				continue
			}
			all++
			if a.status == http.StatusOK {
				served++
			}
		}
		return served, all
	}
	servedBefore, before := share(w.began, fault)
	servedAfter, after := share(back.Add(recoveryTime), time.Now())
	w.note("served before the fault: %d of %d; later than %v after the machines are back: %d of %d", servedBefore, before, recoveryTime, servedAfter, after)
	fmt.Printf("served before: %d of %d, after: %d of %d\n", servedBefore, before, servedAfter, after)
	if servedBefore*4 >= before && servedAfter*4 < after {
		return broken
	}
	return held
}
