package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// behaviour is how an application answers.
type behaviour struct {
	// work is the time of a run, bytes the length of its answer.
	work  time.Duration
	bytes int
	// smallBytes, if not 0, is the length of the answer to a request under /small/.
	smallBytes int
}

// arrival is one request that reached an application, other than health probes and those
// that it answered with 421.
type arrival struct {
	id, method string
	at         time.Time
	// answered is true once the whole answer was written to the connection.
	answered bool
	failure  error
}

// app is the application upstream of a machine. It follows the users' protocol.
type app struct {
	machine  *machine
	identity string
	born     int64
	server   *http.Server
	client   *http.Client

	mu        sync.Mutex
	behaviour behaviour
	seq       int64
	leaving   bool
	beatAt    time.Time
	arrivals  []*arrival
	running   int
	stop      context.CancelFunc
}

const appSlots = 138

func startApp(m *machine, b behaviour) (*app, error) {
	listener, err := net.Listen("tcp", m.address(portApp))
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	now := time.Now()
	a := &app{
		machine: m, identity: fmt.Sprintf("i-%s-%d", m.name, now.UnixMilli()%100000), born: now.UnixMilli(), behaviour: b, stop: cancel,
		client: &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}},
	}
	a.server = &http.Server{Handler: http.HandlerFunc(a.serve), IdleTimeout: 10 * time.Second}
	go func() { _ = a.server.Serve(listener) }()
	go a.beat(ctx)
	return a, nil
}

func (a *app) setBehaviour(b behaviour) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.behaviour = b
}

// beat sends a heartbeat every beatInterval, sooner after one that was not acknowledged.
func (a *app) beat(ctx context.Context) {
	for ctx.Err() == nil {
		wait := beatInterval
		if !a.sendBeat() {
			wait = 300 * time.Millisecond
		}
		select {
		case <-time.After(wait):
		case <-ctx.Done():
		}
	}
}

// nextBeat returns the body of the next heartbeat.
func (a *app) nextBeat() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.seq++
	return fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":%d,"state":"ready","warmupLeftS":0,"seq":%d,"born":%d}`,
		a.machine.service, a.machine.address(portApp), a.machine.zone, appSlots, a.seq, a.born)
}

// sendBeat sends a heartbeat, unless the application is leaving, and reports whether it was
// acknowledged.
func (a *app) sendBeat() bool {
	a.mu.Lock()
	leaving := a.leaving
	a.mu.Unlock()
	if leaving {
		return true
	}
	acked := a.call(http.MethodPut, a.nextBeat())
	if acked {
		a.mu.Lock()
		a.beatAt = time.Now()
		a.mu.Unlock()
		a.machine.world.record.add("upstream %s: heartbeat acknowledged", a.identity)
	}
	return acked
}

// lastBeat returns when the last heartbeat was acknowledged.
func (a *app) lastBeat() time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.beatAt
}

// call sends a heartbeat or the leave call and reports whether it was acknowledged.
func (a *app) call(method, body string) bool {
	request, err := http.NewRequest(method, "http://"+a.machine.address(portControl)+"/instances/"+a.identity, bytes.NewReader([]byte(body)))
	if err != nil {
		return false
	}
	request.Header.Set("Content-Type", "application/json")
	answer, err := a.client.Do(request)
	if err != nil {
		return false
	}
	defer answer.Body.Close()
	return answer.StatusCode/100 == 2
}

// leave sends DELETE, as an upstream does that never reports draining, and returns when the
// call was acknowledged.
func (a *app) leave() (time.Time, error) {
	a.mu.Lock()
	a.leaving = true
	a.seq++
	body := fmt.Sprintf(`{"seq":%d,"born":%d}`, a.seq, a.born)
	a.mu.Unlock()
	if !a.call(http.MethodDelete, body) {
		return time.Time{}, errors.New("the node has not acknowledged the DELETE")
	}
	a.machine.world.record.add("upstream %s: DELETE acknowledged", a.identity)
	return time.Now(), nil
}

// end ends the application: it serves no more.
func (a *app) end() {
	a.stop()
	_ = a.server.Close()
}

// seen returns the requests that have reached the application.
func (a *app) seen() []arrival {
	a.mu.Lock()
	defer a.mu.Unlock()
	seen := make([]arrival, 0, len(a.arrivals))
	for _, one := range a.arrivals {
		seen = append(seen, *one)
	}
	return seen
}

func (a *app) serve(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Savorydeal-Instance-Id", a.identity)
	a.mu.Lock()
	leaving, b := a.leaving, a.behaviour
	a.mu.Unlock()
	if r.URL.Path == "/health" {
		if leaving {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	id := r.Header.Get("Savorydeal-Request-Id")
	w.Header().Set("Savorydeal-Request-Id", id)
	if expected := r.Header.Get("Savorydeal-Target-Instance"); expected != "" && expected != a.identity {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	a.mu.Lock()
	if a.running >= appSlots {
		a.mu.Unlock()
		w.Header().Set("Savorydeal-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	a.running++
	one := &arrival{id: id, method: r.Method, at: time.Now()}
	a.arrivals = append(a.arrivals, one)
	a.mu.Unlock()
	failure := a.run(w, r, b, id)
	a.mu.Lock()
	a.running--
	one.answered, one.failure = failure == nil, failure
	a.mu.Unlock()
	if failure != nil {
		panic(http.ErrAbortHandler)
	}
}

// run reads the body, works and writes the whole answer. It stops at the time that the
// request states and when its connection closes.
func (a *app) run(w http.ResponseWriter, r *http.Request, b behaviour, id string) error {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return err
	}
	timeoutMS, err := strconv.Atoi(r.Header.Get("Savorydeal-Timeout-Ms"))
	if err != nil {
		timeoutMS = 60000
	}
	select {
	case <-time.After(b.work):
	case <-time.After(time.Duration(timeoutMS) * time.Millisecond):
		w.WriteHeader(http.StatusGatewayTimeout)
		return nil
	case <-r.Context().Done():
		return r.Context().Err()
	}
	if b.smallBytes > 0 && strings.HasPrefix(r.URL.Path, "/small/") {
		b.bytes = b.smallBytes
	}
	body := answerBody(id, b.bytes)
	w.Header().Set("Savorydeal-Response-Signature", signature(body))
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, err = w.Write(body)
	return err
}

// answerBody returns the body of the answer to a request: the id, repeated up to length.
func answerBody(id string, length int) []byte {
	unit := []byte(id + "\n")
	return bytes.Repeat(unit, max(1, length/len(unit)))
}
