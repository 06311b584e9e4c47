// Package sdsoak runs a randomised test of the whole system: real nodes with
// stand-ins for targets, platform, callers and operators, under single and combined
// faults. At the end it checks the ledgers of callers and targets against each
// other. The seed determines the schedule of faults and the requests, but not the
// timing of sockets and goroutines, so two runs with one seed differ in timing.
package sdsoak

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/savorydeal/savorydeal/internal/sdinvariant"
	"github.com/savorydeal/savorydeal/internal/sdstandcaller"
)

const (
	warmUpTime      = time.Second
	recoveryTimeout = 30 * time.Second
	// stableRounds is the number of successive rounds of probes that all nodes
	// must answer for the cluster to count as recovered.
	stableRounds = 3
	pollInterval = 100 * time.Millisecond
	// idleTimeout limits the wait for the last runs on targets.
	idleTimeout = 10 * time.Second
)

// Result holds the measurements and findings of a run.
type Result struct {
	Phases   []PhaseResult
	Findings []Finding
	Requests []Request
	Goodput  []Goodput
	// Runs is the number of runs on all targets.
	Runs               int
	AcceptedChanges    int64
	ConflictingChanges int64
	// FailedChanges counts policy changes that failed or whose outcome is
	// unknown.
	FailedChanges int64
	// PropagationTime is the time in which the final policy changes were made
	// and came into force at every node.
	PropagationTime time.Duration
	// Invariants holds the checks counted during the run.
	Invariants []sdinvariant.Count
}

// PhaseResult holds the measurements of one phase.
type PhaseResult struct {
	Phase Phase
	// Injected counts the effects of each fault, such as refused calls.
	Injected map[FaultKind]int64
	// RecoveryTime is the time from the end of the faults to the start of the
	// first of stableRounds successive rounds in which every node answered.
	RecoveryTime time.Duration
}

// runner holds the state of one run.
type runner struct {
	cluster   *cluster
	load      *loadGenerator
	operators *operators
	progress  func(PhaseResult)

	mu         sync.Mutex
	findings   []Finding
	probeCount int
	// unrecovered is set when the cluster did not recover after a phase. The run
	// then ends, because the results of later phases would mean nothing.
	unrecovered bool
}

func (r *runner) addFinding(kind FindingKind, detail string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.findings = append(r.findings, Finding{kind, detail})
}

// Run runs the phases on a new cluster and checks the ledgers at the end. progress
// is called after each phase. Violated guarantees are findings of the result; an
// error means that the run itself failed.
func Run(ctx context.Context, seed uint64, phases []Phase, log hclog.Logger, progress func(PhaseResult)) (Result, error) {
	c, err := newCluster(ctx, log)
	if err != nil {
		return Result{}, fmt.Errorf("start the cluster: %w", err)
	}
	defer c.close()
	random := NewRandom(seed)
	r := &runner{cluster: c, load: newLoadGenerator(c, NewRandom(random.Uint64())), operators: newOperators(c, NewRandom(random.Uint64())), progress: progress}
	invariantsBefore := sdinvariant.Counts()
	background, cancel := context.WithCancel(ctx)
	defer cancel()
	var wait sync.WaitGroup
	for _, loop := range []func(context.Context){r.load.run, r.operators.run, r.operators.watchVersions} {
		wait.Add(1)
		go func() {
			defer wait.Done()
			loop(background)
		}()
	}
	time.Sleep(warmUpTime)
	result := Result{}
	if _, ok := r.waitForRecovery(ctx); !ok {
		r.addFinding(FindingNoRecovery, "not every node answered before the first phase")
	}
	for i, phase := range phases {
		r.load.phase.Store(int64(i + 1))
		phaseResult, err := r.runPhase(ctx, i+1, phase)
		if err != nil {
			cancel()
			wait.Wait()
			return result, fmt.Errorf("phase %d %v: %w", i+1, phase.Faults, err)
		}
		result.Phases = append(result.Phases, phaseResult)
		progress(phaseResult)
		if r.unrecovered {
			break
		}
	}
	result.PropagationTime = r.operators.finish(ctx)
	cancel()
	wait.Wait()
	r.waitIdle()
	r.fillResult(&result, invariantsBefore)
	return result, nil
}

// runPhase injects the faults of a phase, removes them and waits for recovery.
func (r *runner) runPhase(ctx context.Context, number int, phase Phase) (PhaseResult, error) {
	random := NewRandom(phase.Seed)
	faults := make([]fault, 0, len(phase.Faults))
	for _, kind := range phase.Faults {
		faults = append(faults, r.newFault(kind, NewRandom(random.Uint64())))
	}
	faultCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	errs := make(chan error, len(faults))
	for _, f := range faults {
		go func() { errs <- f.start(faultCtx) }()
	}
	time.Sleep(phase.Duration)
	var firstErr error
	for range faults {
		if err := <-errs; err != nil && firstErr == nil {
			firstErr = err
		}
	}
	cancel()
	for _, f := range faults {
		if err := f.stop(ctx); err != nil && firstErr == nil {
			firstErr = err
		}
	}
	result := PhaseResult{Phase: phase, Injected: make(map[FaultKind]int64)}
	if firstErr != nil {
		return result, firstErr
	}
	recoveryTime, ok := r.waitForRecovery(ctx)
	result.RecoveryTime = recoveryTime
	if !ok {
		r.unrecovered = true
		r.addFinding(FindingNoRecovery, fmt.Sprintf("phase %d %v: not every node answered within %v after the faults", number, phase.Faults, recoveryTimeout))
	}
	for i, kind := range phase.Faults {
		result.Injected[kind] = faults[i].injected()
		if result.Injected[kind] == 0 {
			r.addFinding(FindingFaultNotInjected, fmt.Sprintf("phase %d: %s", number, kind))
		}
	}
	return result, nil
}

// waitForRecovery waits until every node has answered a sign-off and a look-up in
// stableRounds successive rounds of probes. It returns the time until the start of
// the first of these rounds, or false after recoveryTimeout.
func (r *runner) waitForRecovery(ctx context.Context) (time.Duration, bool) {
	ctx, cancel := context.WithTimeout(ctx, recoveryTimeout)
	defer cancel()
	started := time.Now()
	streakStart := started
	for streak := 0; streak < stableRounds; {
		if ctx.Err() != nil {
			return time.Since(started), false
		}
		if streak == 0 {
			streakStart = time.Now()
		}
		if r.probeAll() {
			streak++
		} else {
			streak = 0
		}
		time.Sleep(pollInterval)
	}
	return streakStart.Sub(started), true
}

// probeAll sends a sign-off and a look-up to every node and reports whether all
// have complete answers.
func (r *runner) probeAll() bool {
	var wait sync.WaitGroup
	var mu sync.Mutex
	allComplete := true
	for _, entry := range r.cluster.entryVMs() {
		for _, request := range r.probeRequests() {
			wait.Add(1)
			go func() {
				defer wait.Done()
				if !r.sendProbe(request, entry) {
					mu.Lock()
					defer mu.Unlock()
					allComplete = false
				}
			}()
		}
	}
	wait.Wait()
	return allComplete
}

// probeRequests returns requests with new IDs for two operations of policies: a
// sign-off by POST to the front service and a look-up by GET to the deep one.
func (r *runner) probeRequests() []sdstandcaller.Request {
	r.probeCount++
	id := fmt.Sprintf("p%d", r.probeCount)
	return []sdstandcaller.Request{
		{
			LedgerID: id, Service: serviceFront, Method: http.MethodPost, Path: signOffPath + "/1",
			Key: "key-" + id, Body: id, Caller: "probe", Timeout: callTimeout,
		},
		{LedgerID: id + "-look-up", Service: serviceDeep, Method: http.MethodGet, Path: limitPath + "/1", Caller: "probe", Timeout: callTimeout},
	}
}

// sendProbe sends one attempt of a probe, adds it to the callers' ledger and
// reports whether the answer is complete.
func (r *runner) sendProbe(request sdstandcaller.Request, entry *vm) bool {
	request.Key = entry.key(request.Key)
	attempt := r.load.sendOnce(request, entry, false)
	r.load.mu.Lock()
	defer r.load.mu.Unlock()
	r.load.requests = append(r.load.requests, Request{
		ID: request.LedgerID, Service: request.Service, Method: request.Method, Class: classOf(request), Attempts: []Attempt{attempt},
	})
	return attempt.Result.Complete()
}

// waitIdle waits until no target has a run in progress, at most idleTimeout.
func (r *runner) waitIdle() {
	deadline := time.Now().Add(idleTimeout)
	for r.runningCount() > 0 && time.Now().Before(deadline) {
		time.Sleep(pollInterval)
	}
}

func (r *runner) runningCount() int {
	running := 0
	for _, target := range r.cluster.targetRuns() {
		for _, run := range target.Runs {
			if run.Ended.IsZero() {
				running++
			}
		}
	}
	return running
}

// fillResult adds the ledgers, the counts and the findings to a result.
// invariantsBefore are the counts at the start of the run.
func (r *runner) fillResult(result *Result, invariantsBefore []sdinvariant.Count) {
	result.Requests = r.load.ledger()
	result.Goodput = GoodputByClass(result.Requests)
	targets := r.cluster.targetRuns()
	for _, target := range targets {
		result.Runs += len(target.Runs)
	}
	result.AcceptedChanges = r.operators.accepted.Load()
	result.ConflictingChanges = r.operators.conflicts.Load()
	result.FailedChanges = r.operators.failed.Load()
	result.Findings = append(result.Findings, r.findings...)
	result.Findings = append(result.Findings, r.operators.findings...)
	result.Findings = append(result.Findings, CheckLedgers(result.Requests, targets)...)
	result.Findings = append(result.Findings, checkRollingStops(result.Requests, result.Phases)...)
	for i, count := range sdinvariant.Counts() {
		count.Evaluated -= invariantsBefore[i].Evaluated
		count.Violated -= invariantsBefore[i].Violated
		result.Invariants = append(result.Invariants, count)
		if count.Violated > 0 {
			result.Findings = append(result.Findings, Finding{FindingInvariant, fmt.Sprintf("%s violated %d times", count.Name, count.Violated)})
		}
	}
}
