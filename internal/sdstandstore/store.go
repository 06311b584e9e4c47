// Package sdstandstore is a stand-in for the object store of the users'
// platform. It keeps objects by kind and name, with revisions, conditional writes
// and watches, and it injects faults. Tests and the platform demonstration use it.
package sdstandstore

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/savorydeal/savorydeal/platform"
)

// Fault is a fault that the store injects into calls.
type Fault string

// Values of Fault.
const (
	FaultNone Fault = ""
	// FaultBusy refuses calls with status 503, FaultThrottle with 429.
	FaultBusy     Fault = "busy"
	FaultThrottle Fault = "throttle"
	// FaultHang accepts calls and never answers them.
	FaultHang Fault = "silent"
	// FaultReset resets the connection of each call before the call takes effect.
	FaultReset Fault = "reset"
	// FaultLostAnswer applies writes and resets the connection in place of the
	// answer.
	FaultLostAnswer Fault = "lost_answer"
	// FaultLateWrite resets the connection of a write at once and applies the
	// write LateWriteDelay later.
	FaultLateWrite Fault = "late_write"
	// FaultLostEvents applies writes without reporting them to watches, which
	// wait until their timeout. It applies to all callers, whatever the addresses
	// given to SetFault.
	FaultLostEvents Fault = "deaf"
)

// LateWriteDelay is the delay of a write under FaultLateWrite.
const LateWriteDelay = 300 * time.Millisecond

const maxBodyBytes = 1 << 20

// Object is an object in the JSON form of the store's API.
type Object struct {
	Metadata struct {
		Name     string `json:"name"`
		Revision int64  `json:"revision"`
	} `json:"metadata"`
	Spec json.RawMessage `json:"spec"`
}

type event struct {
	Kind    string `json:"-"`
	Object  Object `json:"object"`
	Removed bool   `json:"removed"`
}

// Store is an HTTP handler that serves the objects. It is safe for concurrent
// use.
type Store struct {
	mu       sync.Mutex
	revision int64
	objects  map[string]map[string]Object
	events   []event
	// compacted is the revision up to which events have been dropped. A watch
	// after an earlier revision is answered with status 410.
	compacted int64
	// changed is closed, and replaced, at the next event.
	changed chan struct{}
	fault   Fault
	// faultyHosts are the IP addresses of the callers to which the fault applies;
	// empty means all callers.
	faultyHosts []string
	calls       int
	stop        chan struct{}
	// era rises each time the store has come back from a copy.
	era uint64
}

// New returns an empty store.
func New() *Store {
	return &Store{
		revision: 1, objects: make(map[string]map[string]Object), changed: make(chan struct{}), stop: make(chan struct{}),
	}
}

// Close ends watches and the calls that FaultHang holds. It must be called only
// once.
func (s *Store) Close() {
	close(s.stop)
}

// SetFault sets the fault for callers at the given IP addresses, or for all
// callers if none is given.
func (s *Store) SetFault(fault Fault, hosts ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault, s.faultyHosts = fault, hosts
}

// CompactHistory drops all events. Watches after an earlier revision are then
// answered with status 410.
func (s *Store) CompactHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events, s.compacted = nil, s.revision
}

// CallCount returns the number of calls received so far.
func (s *Store) CallCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Set writes an object regardless of its revision, as operators' tools do.
func (s *Store) Set(kind, name string, spec []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.set(kind, name, spec)
}

func (s *Store) set(kind, name string, spec []byte) Object {
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]Object)
	}
	object := s.objects[kind][name]
	s.revision++
	object.Metadata.Name, object.Metadata.Revision, object.Spec = name, s.revision, spec
	s.objects[kind][name] = object
	s.addEvent(event{Kind: kind, Object: object})
	return object
}

// addEvent records an event and wakes the watches. Under FaultLostEvents it drops
// all events instead.
func (s *Store) addEvent(e event) {
	s.events = append(s.events, e)
	if s.fault == FaultLostEvents {
		s.events, s.compacted = nil, s.revision
		return
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP serves /objects/{kind} and /objects/{kind}/{name}.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		return
	}
	parts := strings.Split(strings.TrimPrefix(r.URL.Path, "/objects/"), "/")
	kind, name := parts[0], ""
	if len(parts) > 1 {
		name = parts[1]
	}
	fault, era := s.countCall(r)
	w.Header().Set(platform.StoreEraHeader, strconv.FormatUint(era, 10))
	switch fault {
	case FaultBusy:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case FaultThrottle:
		w.WriteHeader(http.StatusTooManyRequests)
		return
	case FaultHang:
		select {
		case <-s.stop:
		case <-r.Context().Done():
		}
		return
	case FaultReset:
		resetConnection(w)
		return
	}
	isWrite := r.Method != http.MethodGet
	if isWrite && fault == FaultLateWrite && r.Method != http.MethodDelete {
		time.AfterFunc(LateWriteDelay, func() { s.write(r.Method, kind, name, body) })
		resetConnection(w)
		return
	}
	var status int
	var answer any
	if r.Method == http.MethodDelete {
		status, answer = s.remove(r, kind, name)
	} else if isWrite {
		status, answer = s.write(r.Method, kind, name, body)
	} else {
		status, answer = s.read(r, kind, name)
	}
	if isWrite && fault == FaultLostAnswer || status == statusAway {
		resetConnection(w)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(answer)
}

// countCall counts a call and returns the fault to inject into it, and the store's era.
func (s *Store) countCall(r *http.Request) (Fault, uint64) {
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if err == nil && len(s.faultyHosts) > 0 && !slices.Contains(s.faultyHosts, host) {
		return FaultNone, s.era
	}
	return s.fault, s.era
}

// resetConnection closes the connection with a TCP reset.
func resetConnection(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// write applies a POST or PUT. It returns the status and body of the answer: 409
// with the stored object if the object of a POST exists or the revision of a PUT
// is out of date. A PUT of revision 0 is not conditional.
func (s *Store) write(method, kind, name string, body []byte) (int, any) {
	var requested Object
	if err := json.Unmarshal(body, &requested); err != nil {
		return http.StatusBadRequest, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if method == http.MethodPost {
		name = requested.Metadata.Name
	}
	stored, ok := s.objects[kind][name]
	switch {
	case method == http.MethodPost && ok:
		return http.StatusConflict, stored
	case method == http.MethodPut && !ok:
		return http.StatusNotFound, nil
	case method == http.MethodPut && requested.Metadata.Revision != 0 && requested.Metadata.Revision != stored.Metadata.Revision:
		return http.StatusConflict, stored
	case method != http.MethodPost && method != http.MethodPut:
		return http.StatusMethodNotAllowed, nil
	}
	return http.StatusOK, s.set(kind, name, requested.Spec)
}

// remove applies a DELETE, whose condition is the revision in its query, if there is one.
func (s *Store) remove(r *http.Request, kind, name string) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	stored, ok := s.objects[kind][name]
	switch revision := r.URL.Query().Get("revision"); {
	case !ok:
		return http.StatusNotFound, nil
	case revision != "" && revision != strconv.FormatInt(stored.Metadata.Revision, 10):
		return http.StatusConflict, stored
	}
	delete(s.objects[kind], name)
	s.revision++
	stored.Metadata.Revision = s.revision
	s.addEvent(event{Kind: kind, Object: stored, Removed: true})
	return http.StatusOK, stored
}

type listAnswer struct {
	Items []Object `json:"items"`
	More  bool     `json:"more"`
	AsOf  int64    `json:"asOf"`
}

type watchAnswer struct {
	Events []event `json:"events"`
	AsOf   int64   `json:"asOf"`
}

// read answers a list, a read of one object, or a watch.
func (s *Store) read(r *http.Request, kind, name string) (int, any) {
	if revision := r.URL.Query().Get("watch"); revision != "" {
		after, err1 := strconv.ParseInt(revision, 10, 64)
		wait, err2 := strconv.ParseInt(r.URL.Query().Get("waitMs"), 10, 64)
		if err1 != nil || err2 != nil {
			return http.StatusBadRequest, nil
		}
		return s.watch(r, kind, after, time.Duration(wait)*time.Millisecond)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if name != "" {
		object, ok := s.objects[kind][name]
		if !ok {
			return http.StatusNotFound, nil
		}
		return http.StatusOK, object
	}
	answer := listAnswer{AsOf: s.revision, Items: []Object{}}
	for _, object := range s.objects[kind] {
		answer.Items = append(answer.Items, object)
	}
	return http.StatusOK, answer
}

// watch waits for events of the kind after a revision. It returns an empty list
// if none occur within the wait, and status 410 if events after the revision have
// been dropped.
func (s *Store) watch(r *http.Request, kind string, after int64, wait time.Duration) (int, any) {
	timeout := time.After(wait)
	began := s.Era()
	for {
		s.mu.Lock()
		if s.era != began {
			s.mu.Unlock()
			return statusAway, nil
		}
		if after > s.revision && s.era > 0 {
			s.mu.Unlock()
			return http.StatusGone, nil
		}
		if after < s.compacted && s.fault != FaultLostEvents {
			s.mu.Unlock()
			return http.StatusGone, nil
		}
		answer := watchAnswer{AsOf: s.revision, Events: []event{}}
		for _, e := range s.events {
			if e.Kind == kind && e.Object.Metadata.Revision > after {
				answer.Events = append(answer.Events, e)
			}
		}
		changed := s.changed
		eventsLost := s.fault == FaultLostEvents
		s.mu.Unlock()
		if eventsLost {
			answer.AsOf = after
		}
		if len(answer.Events) > 0 {
			return http.StatusOK, answer
		}
		select {
		case <-changed:
		case <-timeout:
			return http.StatusOK, answer
		case <-r.Context().Done():
			return http.StatusOK, answer
		case <-s.stop:
			return http.StatusOK, answer
		}
	}
}
