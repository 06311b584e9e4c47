package sdchain

import (
	"encoding/hex"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/savorydeal/savorydeal"
)

// RunToken identifies a run. A target receives it with a request and sends it with
// its onward calls. It is unguessable and valid only at the node that issued it, so
// that a target can neither raise its class nor obtain a new retry budget.
type RunToken string

// Run is one request running on this VM's target.
type Run struct {
	Chain    savorydeal.Chain
	Budget   *Budget
	Deadline time.Time

	mu     sync.Mutex
	onward bool
	// levels holds the admission levels of downstream services by name.
	levels map[string]int
}

// NewRun returns the state of a request that is about to run, with the retry budget
// granted in chain.
func NewRun(chain savorydeal.Chain, deadline time.Time) *Run {
	return &Run{Chain: chain, Budget: NewBudget(chain.RetriesGranted), Deadline: deadline}
}

// MarkOnward records that the run has called a downstream service. After that the
// target can no longer report the request as not run.
func (r *Run) MarkOnward() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.onward = true
}

// Onward reports whether the run has called a downstream service.
func (r *Run) Onward() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.onward
}

// AddAdmissionLevel records the admission level of a downstream service, which is sent
// back with the run's answer.
func (r *Run) AddAdmissionLevel(level savorydeal.ServiceAdmissionLevel) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.levels == nil {
		r.levels = make(map[string]int)
	}
	r.levels[level.Service] = level.DropLevel
}

// AdmissionLevels returns the recorded admission levels of downstream services.
func (r *Run) AdmissionLevels() []savorydeal.ServiceAdmissionLevel {
	r.mu.Lock()
	defer r.mu.Unlock()
	levels := make([]savorydeal.ServiceAdmissionLevel, 0, len(r.levels))
	for service, level := range r.levels {
		levels = append(levels, savorydeal.ServiceAdmissionLevel{Service: service, DropLevel: level})
	}
	return levels
}

// RunTable holds the runs on this VM's target by token. It is safe for concurrent
// use.
type RunTable struct {
	newToken func() RunToken

	mu   sync.Mutex
	runs map[RunToken]*Run
}

// NewRunTable returns an empty table. random fills a slice with unguessable random
// bytes.
func NewRunTable(random func([]byte)) *RunTable {
	newToken := func() RunToken {
		var bytes [16]byte
		random(bytes[:])
		return RunToken(hex.EncodeToString(bytes[:]))
	}
	return &RunTable{newToken: newToken, runs: make(map[RunToken]*Run)}
}

// Begin adds a run and returns its token.
func (t *RunTable) Begin(run *Run) RunToken {
	token := t.newToken()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.runs[token] = run
	return token
}

// End removes a run. Its token is invalid from then on.
func (t *RunTable) End(token RunToken) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.runs, token)
}

// Find returns the run with a token.
func (t *RunTable) Find(token RunToken) (*Run, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	run, ok := t.runs[token]
	return run, ok
}

// Len returns the number of runs.
func (t *RunTable) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.runs)
}

// Rank returns a hash of caller and request ID. Every hop uses it to drop the same
// requests under overload.
func Rank(caller, requestID string) uint32 {
	digest := xxhash.New()
	_, _ = digest.WriteString(caller)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(requestID)
	return uint32(digest.Sum64() >> 32)
}
