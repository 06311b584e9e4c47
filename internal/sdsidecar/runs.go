package sdsidecar

import (
	"maps"
	"strings"
	"sync"
	"time"

	"github.com/savorydeal/savorydeal/internal/sdaccount"
)

// runInfo describes a run in progress on this VM's target. The calls that the run makes
// inherit its account, rank, depth and deadline.
type runInfo struct {
	route string
	// account is the name of the client account of the run's chain, empty if there is none.
	account  string
	rank     int
	depth    int
	deadline time.Time

	mu sync.Mutex
	// downstreamCalls counts the run's calls by service, including the calls that
	// those calls made in turn.
	downstreamCalls map[string]float64
	// keylessCalls is the number of calls that the run has made without an API key.
	keylessCalls int
}

// allowKeylessCall counts a call that the run makes without an API key. It reports false
// if the run has made all that it may make.
func (i *runInfo) allowKeylessCall() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.keylessCalls >= sdaccount.MaxKeylessCalls {
		return false
	}
	i.keylessCalls++
	return true
}

// countCall adds the attempts of one call to a service and the downstream calls that
// its reply reports.
func (i *runInfo) countCall(service string, attempts int, downstream map[string]float64) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.downstreamCalls == nil {
		i.downstreamCalls = make(map[string]float64, 1+len(downstream))
	}
	i.downstreamCalls[service] += float64(attempts)
	for name, calls := range downstream {
		i.downstreamCalls[name] += calls
	}
}

func (i *runInfo) copyDownstreamCalls() map[string]float64 {
	i.mu.Lock()
	defer i.mu.Unlock()
	return maps.Clone(i.downstreamCalls)
}

// runTable holds the runs in progress on this VM's target by request ID.
type runTable struct {
	mu   sync.Mutex
	runs map[string]*runInfo
}

func (t *runTable) init() {
	t.runs = make(map[string]*runInfo)
}

func (t *runTable) begin(id string, info *runInfo) {
	t.mu.Lock()
	t.runs[id] = info
	t.mu.Unlock()
}

func (t *runTable) end(id string) {
	t.mu.Lock()
	delete(t.runs, id)
	t.mu.Unlock()
}

// parent returns the run that made a call. The ID of such a call consists of the run's
// request ID, a dot, and a suffix chosen by the target.
func (t *runTable) parent(id string) (*runInfo, bool) {
	dot := strings.LastIndexByte(id, '.')
	if dot < 0 {
		return nil, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	info, ok := t.runs[id[:dot]]
	return info, ok
}
