package main

import (
	"encoding/json"
	"io"
	"log"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in for the platform's store. Each node reaches it at an address of its
// own, so that single nodes can be cut off from it.
type store struct {
	world    *world
	mu       sync.Mutex
	revision int64
	objects  map[string]map[string]object
	events   []event
	changed  chan struct{}
	cut      map[int]chan struct{}
	// reads and watches hold when each node last listed the config and last watched it.
	reads, watches map[int]time.Time
	onRead         func(node int)
	// tenants are those of the config.
	tenants []map[string]any
}

type object struct {
	Metadata struct {
		Name       string   `json:"name"`
		Revision   int64    `json:"revision"`
		Created    int64    `json:"created,omitempty"`
		Finalizers []string `json:"finalizers,omitempty"`
	} `json:"metadata"`
	Spec   json.RawMessage `json:"spec"`
	Status json.RawMessage `json:"status,omitempty"`
}

type event struct {
	kind    string
	Object  object `json:"object"`
	Removed bool   `json:"removed"`
}

func newStore(w *world) *store {
	return &store{
		world: w, revision: 7, objects: make(map[string]map[string]object), changed: make(chan struct{}),
		cut: make(map[int]chan struct{}), reads: make(map[int]time.Time), watches: make(map[int]time.Time),
	}
}

func (s *store) listen(address string, node int) (string, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return "", err
	}
	server := &http.Server{ErrorLog: log.New(io.Discard, "", 0), Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.serve(w, r, node) })}
	go func() { _ = server.Serve(listener) }()
	return address, nil
}

// setCut cuts a node off from the store, silently, or ends the cut.
func (s *store) setCut(node int, cut bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if cut {
		s.cut[node] = make(chan struct{})
	} else if ended, ok := s.cut[node]; ok {
		close(ended)
		delete(s.cut, node)
	}
}

// lost holds a call of a node that is cut off until the cut or the connection ends.
func (s *store) lost(r *http.Request, node int) bool {
	s.mu.Lock()
	ended, cut := s.cut[node]
	s.mu.Unlock()
	if !cut {
		return false
	}
	select {
	case <-ended:
	case <-r.Context().Done():
	}
	return true
}

func (s *store) serve(w http.ResponseWriter, r *http.Request, node int) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if s.lost(r, node) {
		panic(http.ErrAbortHandler)
	}
	time.Sleep(4 * time.Millisecond)
	parts := strings.SplitN(strings.TrimPrefix(r.URL.Path, "/objects/"), "/", 3)
	kind, name, sub := parts[0], "", ""
	if len(parts) > 1 {
		name = parts[1]
	}
	if len(parts) > 2 {
		sub = parts[2]
	}
	var status int
	var answer any
	if r.Method == http.MethodGet {
		status, answer = s.read(r, kind, name, node)
	} else {
		status, answer = s.write(r, kind, name, sub, body)
	}
	if s.lost(r, node) {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(answer)
}

func (s *store) read(r *http.Request, kind, name string, node int) (int, any) {
	query := r.URL.Query()
	if query.Has("watch") {
		if kind == "config" {
			s.mu.Lock()
			s.watches[node] = time.Now()
			s.mu.Unlock()
		}
		after, _ := strconv.ParseInt(query.Get("watch"), 10, 64)
		wait, _ := strconv.ParseInt(query.Get("waitMs"), 10, 64)
		return s.watch(r, kind, after, time.Duration(min(wait, 30000))*time.Millisecond)
	}
	s.mu.Lock()
	if kind == "config" {
		s.reads[node] = time.Now()
		if s.onRead != nil {
			go s.onRead(node)
		}
	}
	defer s.mu.Unlock()
	if name != "" {
		found, ok := s.objects[kind][name]
		if !ok {
			return http.StatusNotFound, map[string]any{}
		}
		return http.StatusOK, found
	}
	items := []object{}
	for _, item := range s.objects[kind] {
		if item.Metadata.Name > query.Get("after") {
			items = append(items, item)
		}
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Metadata.Name < items[j].Metadata.Name })
	return http.StatusOK, map[string]any{"items": items, "more": false, "asOf": s.revision}
}

func (s *store) watch(r *http.Request, kind string, after int64, wait time.Duration) (int, any) {
	timeout := time.After(wait)
	for {
		s.mu.Lock()
		events, changed, asOf := []event{}, s.changed, s.revision
		for _, e := range s.events {
			if e.kind == kind && e.Object.Metadata.Revision > after {
				events = append(events, e)
			}
		}
		s.mu.Unlock()
		answer := map[string]any{"events": events, "asOf": asOf}
		if len(events) > 0 {
			return http.StatusOK, answer
		}
		select {
		case <-changed:
		case <-timeout:
			return http.StatusOK, answer
		case <-r.Context().Done():
			return http.StatusOK, answer
		}
	}
}

func (s *store) write(r *http.Request, kind, name, sub string, body []byte) (int, any) {
	var wanted object
	if len(body) > 0 {
		if err := json.Unmarshal(body, &wanted); err != nil {
			return http.StatusBadRequest, map[string]any{}
		}
	}
	if revision := r.URL.Query().Get("revision"); revision != "" {
		wanted.Metadata.Revision, _ = strconv.ParseInt(revision, 10, 64)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Method == http.MethodPost {
		name = wanted.Metadata.Name
	}
	stored, ok := s.objects[kind][name]
	switch {
	case r.Method == http.MethodPost && ok:
		return http.StatusConflict, stored
	case r.Method != http.MethodPost && !ok:
		return http.StatusNotFound, map[string]any{}
	case wanted.Metadata.Revision != 0 && ok && wanted.Metadata.Revision != stored.Metadata.Revision:
		return http.StatusConflict, stored
	}
	if r.Method == http.MethodDelete {
		delete(s.objects[kind], name)
		s.publish(event{kind: kind, Object: stored, Removed: true})
		return http.StatusOK, stored
	}
	if sub == "status" {
		stored.Status = wanted.Status
	} else {
		stored.Spec, stored.Metadata.Finalizers = wanted.Spec, wanted.Metadata.Finalizers
	}
	stored.Metadata.Name = name
	return http.StatusOK, s.put(kind, stored)
}

// put stores an object. mu is held.
func (s *store) put(kind string, stored object) object {
	e := event{kind: kind, Object: stored}
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]object)
	}
	s.revision++
	stored.Metadata.Revision = s.revision
	if stored.Metadata.Created == 0 {
		stored.Metadata.Created = s.revision
	}
	e.Object = stored
	s.objects[kind][stored.Metadata.Name] = stored
	s.events = append(s.events, e)
	close(s.changed)
	s.changed = make(chan struct{})
	return stored
}

func (s *store) publish(e event) {
	s.revision++
	e.Object.Metadata.Revision = s.revision
	s.events = append(s.events, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

// route is one route of the config.
type route struct {
	name, prefix, service, kind string
	timeoutS, aimS              float64
	attempts, priority          int
}

// setConfig writes a config as the operator does, and returns the time of the ack.
func (s *store) setConfig(version int, services []string, routes []route) time.Time {
	var paths []map[string]any
	for _, r := range routes {
		paths = append(paths, map[string]any{
			"name": r.name, "pathPrefix": r.prefix, "service": r.service, "kind": r.kind,
			"timeoutS": r.timeoutS, "targetLatencyS": r.aimS, "maxAttempts": r.attempts, "priority": r.priority,
		})
	}
	var list []map[string]any
	for _, name := range services {
		list = append(list, map[string]any{"name": name, "healthPath": "/health", "maxConnections": 1000})
	}
	config := map[string]any{
		"version": strconv.FormatInt(int64(version)+0x100000000, 16)[1:], "services": list,
		"virtualHosts": []map[string]any{{"host": host, "routePaths": paths}},
		"limits":       map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 1048576, "headerTimeoutS": 3, "idleTimeoutS": 15},
	}
	if len(s.tenants) > 0 {
		config["tenants"] = s.tenants
	}
	spec, _ := json.Marshal(config)
	s.mu.Lock()
	defer s.mu.Unlock()
	stored := s.objects["config"]["main"]
	stored.Metadata.Name, stored.Spec = "main", spec
	s.put("config", stored)
	return time.Now()
}
