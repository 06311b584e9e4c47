package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

type metadata struct {
	Name       string   `json:"name"`
	Revision   int64    `json:"revision"`
	Created    int64    `json:"created"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec,omitempty"`
	Status   json.RawMessage `json:"status,omitempty"`
}

type event struct {
	kind     string
	revision int64
	Object   object `json:"object"`
	Removed  bool   `json:"removed"`
}

// store is a stand-in for the platform's metadata store, as PROTOCOL.md describes it.
type store struct {
	mu       sync.Mutex
	revision int64
	objects  map[string]map[string]object // by kind and name
	events   []event
	changed  chan struct{}
	delay    time.Duration // time of one answer
}

func newStore() *store {
	return &store{revision: 1, objects: map[string]map[string]object{}, changed: make(chan struct{}), delay: 4 * time.Millisecond}
}

// write stores an object; the caller holds mu.
func (s *store) write(kind string, o object, removed bool) object {
	s.revision++
	o.Metadata.Revision = s.revision
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	if removed {
		delete(s.objects[kind], o.Metadata.Name)
	} else {
		s.objects[kind][o.Metadata.Name] = o
	}
	s.events = append(s.events, event{kind: kind, revision: s.revision, Object: o, Removed: removed})
	close(s.changed)
	s.changed = make(chan struct{})
	return o
}

// operatorPut writes an object as the operator does.
func (s *store) operatorPut(kind, name string, spec any) {
	text, err := json.Marshal(spec)
	check(err)
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.objects[kind][name]
	o.Metadata.Name, o.Spec = name, text
	s.write(kind, o, false)
}

func answerJSON(w http.ResponseWriter, status int, value any) {
	text, err := json.Marshal(value)
	check(err)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(status)
	_, _ = w.Write(text)
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(s.delay)
	parts := strings.Split(strings.TrimPrefix(r.URL.Path, "/objects/"), "/")
	kind, name := parts[0], ""
	if len(parts) > 1 {
		name = parts[1]
	}
	query := r.URL.Query()
	if r.Method == http.MethodGet && name == "" && query.Has("watch") {
		s.watch(w, r, kind)
		return
	}
	var body object
	if r.Method == http.MethodPost || r.Method == http.MethodPut {
		if json.NewDecoder(r.Body).Decode(&body) != nil {
			answerJSON(w, http.StatusBadRequest, struct{}{})
			return
		}
	}
	expected := body.Metadata.Revision
	if text := query.Get("revision"); text != "" {
		expected, _ = strconv.ParseInt(text, 10, 64)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	known, exists := s.objects[kind][name]
	switch {
	case r.Method == http.MethodGet && name == "":
		items := []object{}
		for _, o := range s.objects[kind] {
			if o.Metadata.Name > query.Get("after") {
				items = append(items, o)
			}
		}
		sort.Slice(items, func(i, j int) bool { return items[i].Metadata.Name < items[j].Metadata.Name })
		answerJSON(w, http.StatusOK, map[string]any{"items": items, "more": false, "asOf": s.revision})
	case r.Method == http.MethodPost:
		if o, ok := s.objects[kind][body.Metadata.Name]; ok {
			answerJSON(w, http.StatusConflict, o)
			return
		}
		answerJSON(w, http.StatusOK, s.write(kind, object{Metadata: metadata{Name: body.Metadata.Name, Created: time.Now().Unix()}, Spec: body.Spec}, false))
	case !exists:
		answerJSON(w, http.StatusNotFound, struct{}{})
	case r.Method == http.MethodGet:
		answerJSON(w, http.StatusOK, known)
	case expected != 0 && expected != known.Metadata.Revision:
		answerJSON(w, http.StatusConflict, known)
	case r.Method == http.MethodDelete:
		answerJSON(w, http.StatusOK, s.write(kind, known, true))
	case len(parts) > 2:
		known.Status = body.Status
		answerJSON(w, http.StatusOK, s.write(kind, known, false))
	case string(known.Spec) == string(body.Spec):
		answerJSON(w, http.StatusOK, known)
	default:
		known.Spec = body.Spec
		answerJSON(w, http.StatusOK, s.write(kind, known, false))
	}
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	after, _ := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64)
	waitMs, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	timeout := time.After(time.Duration(waitMs) * time.Millisecond)
	for {
		s.mu.Lock()
		found := []event{}
		for _, e := range s.events {
			if e.kind == kind && e.revision > after {
				found = append(found, e)
			}
		}
		asOf, changed := s.revision, s.changed
		s.mu.Unlock()
		ended := len(found) > 0
		if !ended {
			select {
			case <-changed:
			case <-timeout:
				ended = true
			case <-r.Context().Done():
				return
			}
		}
		if ended {
			answerJSON(w, http.StatusOK, map[string]any{"events": found, "asOf": asOf})
			return
		}
	}
}
