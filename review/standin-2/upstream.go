package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// upstream is a stand-in for the application beside a node. Each start is a new incarnation.
type upstream struct {
	node     *node
	id       string
	born     int64
	mu       sync.Mutex
	seq      int64
	state    string
	ended    bool
	listener net.Listener
	server   *http.Server
	stop     chan struct{}
	// handle runs a request: it returns the status and the body of the answer, status 0 if the
	// upstream drops the request, and false if it crashes.
	handle func(u *upstream, r *http.Request) (int, []byte, bool)
}

func (n *node) startUpstream(id string, born int64, handle func(u *upstream, r *http.Request) (int, []byte, bool)) (*upstream, error) {
	listener, err := net.Listen("tcp", n.app())
	if err != nil {
		return nil, err
	}
	u := &upstream{node: n, id: id, born: born, state: "ready", listener: listener, stop: make(chan struct{}), handle: handle}
	u.server = &http.Server{Handler: u, ErrorLog: log.New(io.Discard, "", 0)}
	go func() { _ = u.server.Serve(listener) }()
	go u.beat()
	n.world.note("upstream %s of %s starts at %s, born %d", id, n.service, n.app(), born)
	return u, nil
}

// crash ends the upstream at once: its connections break and its port is closed.
func (u *upstream) crash() {
	u.mu.Lock()
	ended := u.ended
	u.ended = true
	u.mu.Unlock()
	if ended {
		return
	}
	close(u.stop)
	_ = u.server.Close()
	u.node.world.note("upstream %s has ended", u.id)
}

func (u *upstream) beat() {
	for {
		u.mu.Lock()
		state := u.state
		u.mu.Unlock()
		if state == "ready" || state == "draining" {
			_, _ = u.sendBeat()
		}
		select {
		case <-time.After(1500 * time.Millisecond):
		case <-u.stop:
			return
		}
	}
}

// sendBeat sends a heartbeat and returns the status of the answer.
func (u *upstream) sendBeat() (int, error) {
	u.mu.Lock()
	u.seq++
	body, _ := json.Marshal(map[string]any{
		"service": u.node.service, "address": u.node.app(), "zone": "howrah", "version": "v1", "slots": 138,
		"state": u.state, "warmupLeftS": 0, "seq": u.seq, "born": u.born,
	})
	u.mu.Unlock()
	return u.call(http.MethodPut, body)
}

// drain reports draining until a node acknowledges it, and returns the time of the ack.
func (u *upstream) drain() (time.Time, bool) {
	u.mu.Lock()
	u.state = "draining"
	u.mu.Unlock()
	for range 4 {
		if status, err := u.sendBeat(); err == nil && status/100 == 2 {
			return time.Now(), true
		}
	}
	return time.Time{}, false
}

func (u *upstream) call(method string, body []byte) (int, error) {
	request, err := http.NewRequest(method, fmt.Sprintf("http://%s/instances/%s", u.node.control(), u.id), bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	request.Header.Set("Content-Type", "application/json")
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return 0, err
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return response.StatusCode, nil
}

func (u *upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	header := w.Header()
	u.mu.Lock()
	state := u.state
	u.mu.Unlock()
	if r.URL.Path == "/health" {
		header.Set("Savorydeal-Instance-Id", u.id)
		if state != "ready" {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	id := r.Header.Get("Savorydeal-Request-Id")
	header.Set("Savorydeal-Request-Id", id)
	if expected := r.Header.Get("Savorydeal-Target-Instance"); expected != "" && expected != u.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		header.Set("Savorydeal-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	u.node.world.addRun(run{at: time.Now(), id: id, service: u.node.service, instance: u.id})
	status, answer, alive := u.handle(u, r)
	if !alive {
		u.crash()
	}
	if !alive || status == 0 {
		panic(http.ErrAbortHandler)
	}
	header.Set("Savorydeal-Response-Signature", "signed."+id)
	header.Set("Content-Length", strconv.Itoa(len(answer)))
	w.WriteHeader(status)
	_, _ = w.Write(answer)
}
