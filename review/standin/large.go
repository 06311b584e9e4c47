package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// largeBytes is the length of a large answer: above 1 MiB.
const largeBytes = 3 << 20

// playLarge: the operator's config moves a route of large answers from the service of the
// clients' own machine to another service, whose upstreams are on other machines. The next
// config, 2.8 s later, moves it back.
func playLarge(w *world, trouble bool) ([]string, error) {
	b := behaviour{work: 30 * time.Millisecond, bytes: largeBytes, smallBytes: 500}
	front, err := w.addMachine("howrah", "payments", b)
	if err != nil {
		return nil, err
	}
	second, err := w.addMachine("howrah", "dispatch", b)
	if err != nil {
		return nil, err
	}
	third, err := w.addMachine("kolkata", "dispatch", b)
	if err != nil {
		return nil, err
	}
	routeTo := func(service string) []route {
		return []route{{"invoice", "/invoice/", "download", service, 3, 2}, {"small", "/small/", "idempotent", service, 3, 2}}
	}
	if err := w.setConfig(7, routeTo("payments")); err != nil {
		return nil, err
	}
	for _, m := range w.machines {
		if err := m.startNode(); err != nil {
			return nil, err
		}
	}
	time.Sleep(8 * time.Second) // traffic starts 8 s after the machines do
	for _, m := range w.machines {
		if !m.ready() {
			return nil, fmt.Errorf("node of %s is not ready", m.name)
		}
	}
	var group sync.WaitGroup
	stop := make(chan struct{})
	var mu sync.Mutex
	var answers []answer
	// Every large answer is asked for on a connection that has just carried a small one.
	next := func(i int) request {
		path := "/invoice/1"
		if i%2 == 0 {
			path = "/small/1"
		}
		return request{method: http.MethodGet, path: path, timeout: 4 * time.Second}
	}
	load(&group, front, 4, 100*time.Millisecond, stop, next, func(a answer, q request) {
		w.record.add("client: %s %s %s -> kept connection %v, status %d, %d bytes, whole %v, error %v", a.id, q.method, q.path, a.kept, a.status, a.bytes, a.whole, a.err)
		mu.Lock()
		defer mu.Unlock()
		answers = append(answers, a)
	})
	time.Sleep(4 * time.Second)
	changed := time.Now()
	if trouble {
		if err := w.setConfig(9, routeTo("dispatch")); err != nil {
			return nil, err
		}
	}
	time.Sleep(2800 * time.Millisecond)
	movedBack := time.Now()
	if trouble {
		if err := w.setConfig(12, routeTo("payments")); err != nil {
			return nil, err
		}
	}
	time.Sleep(7 * time.Second)
	close(stop)
	group.Wait()
	reached := make(map[string]string)
	for _, m := range []*machine{front, second, third} {
		for _, one := range m.app.seen() {
			reached[one.id] = m.app.identity
		}
	}
	var breaks []string
	whole, other, outside := 0, 0, 0
	for _, a := range answers {
		switch {
		case a.whole:
			whole++
		case a.kept && a.err != nil && reached[a.id] != "":
			// Planned work lasts until configApplyS + 1 s after the ack of a config.
			if a.sent.Before(changed) || a.done.After(movedBack.Add(configApply+time.Second)) {
				outside++
			}
			breaks = append(breaks, fmt.Sprintf("LOST: request %s, sent %.3f s after the change on a kept connection, was passed on to %s; its connection ended after %d of %d bytes: %v",
				a.id, a.sent.Sub(changed).Seconds(), reached[a.id], a.bytes, len(answerBody(a.id, largeBytes)), a.err))
		default:
			other++
		}
	}
	w.record.add("answers: %d whole, %d with a connection that ended early (%d of them not beside a config), %d others", whole, len(breaks), outside, other)
	if len(breaks) <= 3 { // the rule allows three
		return nil, nil
	}
	return breaks, nil
}
