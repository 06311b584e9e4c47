package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// run is one request that an upstream began to run.
type run struct {
	at                             time.Time
	id, path, upstream, tenant, by string
}

// upstream is a stand-in for the application beside a node.
type upstream struct {
	w        *world
	machine  *machine
	id       string
	born     int64
	work     time.Duration
	listener net.Listener
	server   *http.Server
	mu       sync.Mutex
	seq      int
	state    string
	stop     chan struct{}
	connMu   sync.Mutex
	conns    map[net.Conn]struct{}
	// onRun, if set, is called when a request begins to run.
	onRun func(run)
	// serve, if set, answers a request that runs.
	serve func(http.ResponseWriter, *http.Request, []byte)
}

func (w *world) newUpstream(m *machine, id string, work time.Duration) *upstream {
	return &upstream{
		w: w, machine: m, id: id, born: time.Now().UnixMilli(), work: work, state: "ready", stop: make(chan struct{}), conns: map[net.Conn]struct{}{},
	}
}

func (w *world) startUpstream(m *machine, id string, work time.Duration) *upstream {
	u := w.newUpstream(m, id, work)
	u.start()
	return u
}

func (u *upstream) start() {
	var err error
	u.listener, err = net.Listen("tcp", u.machine.appAddr())
	check(err)
	u.server = &http.Server{Handler: u, ConnState: func(c net.Conn, state http.ConnState) {
		u.connMu.Lock()
		defer u.connMu.Unlock()
		if state == http.StateClosed {
			delete(u.conns, c)
		} else {
			u.conns[c] = struct{}{}
		}
	}}
	go func() { _ = u.server.Serve(u.listener) }()
	go func() {
		for {
			u.beat()
			select {
			case <-time.After(1500 * time.Millisecond):
			case <-u.stop:
				return
			}
		}
	}()
}

// beat sends one heartbeat and reports whether it was acknowledged.
func (u *upstream) beat() bool {
	u.mu.Lock()
	u.seq++
	body, err := json.Marshal(map[string]any{
		"service": u.machine.service, "address": u.machine.appAddr(), "zone": u.machine.zone, "version": "v1", "slots": 138,
		"state": u.state, "warmupLeftS": 0, "seq": u.seq, "born": u.born,
	})
	u.mu.Unlock()
	check(err)
	return u.tell(http.MethodPut, body)
}

func (u *upstream) tell(method string, body []byte) bool {
	request, err := http.NewRequest(method, "http://"+u.machine.control()+"/instances/"+u.id, bytes.NewReader(body))
	check(err)
	if len(body) > 0 {
		request.Header.Set("Content-Type", "application/json")
	}
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	answer, err := client.Do(request)
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, answer.Body)
	_ = answer.Body.Close()
	return answer.StatusCode/100 == 2
}

func (u *upstream) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		rw.Header().Set("Savorydeal-Instance-Id", u.id)
		u.mu.Lock()
		ready := u.state == "ready"
		u.mu.Unlock()
		if !ready {
			rw.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	id := r.Header.Get("Savorydeal-Request-Id")
	if named := r.Header.Get("Savorydeal-Target-Instance"); named != "" && named != u.id {
		rw.Header().Set("Savorydeal-Instance-Id", u.id)
		rw.Header().Set("Savorydeal-Request-Id", id)
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, _ := io.ReadAll(r.Body)
	began := run{at: time.Now(), id: id, path: r.URL.Path, upstream: u.id, tenant: r.Header.Get("Savorydeal-Tenant-Id"), by: r.Header.Get("Savorydeal-Caller-Service")}
	u.w.ran(began)
	if u.onRun != nil {
		u.onRun(began)
	}
	if u.serve != nil {
		u.serve(rw, r, body)
		return
	}
	select {
	case <-time.After(u.work):
	case <-r.Context().Done():
		return
	}
	u.answer(rw, r)
}

// answer answers a request that has run.
func (u *upstream) answer(rw http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Savorydeal-Request-Id")
	text := []byte(fmt.Sprintf("answer to %s by %s", id, u.id))
	rw.Header().Set("Savorydeal-Request-Id", id)
	rw.Header().Set("Savorydeal-Response-Signature", fmt.Sprintf("%x", len(text)))
	_, _ = rw.Write(text)
}
