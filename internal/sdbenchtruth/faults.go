package sdbenchtruth

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/google/uuid"

	"github.com/savorydeal/savorydeal"
	"github.com/savorydeal/savorydeal/internal/sdbench"
	"github.com/savorydeal/savorydeal/internal/sdkeys"
	"github.com/savorydeal/savorydeal/internal/sdrig"
	"github.com/savorydeal/savorydeal/internal/sdstandcaller"
	"github.com/savorydeal/savorydeal/internal/sdstandplatform"
)

const (
	faultNodes   = 4
	faultCallers = 8
	// faultRate is the share of runs in which a target injects a fault.
	faultRate = 0.15
	// maxSends bounds the times that a caller sends one request, including the
	// first.
	maxSends = 4
	// shortTimeout is the time after which a caller disconnects in one of ten
	// sends on average, and the time limit for fetching a key prefix.
	shortTimeout = 250 * time.Millisecond
	resendPause  = 20 * time.Millisecond
	stopTimeout  = 6 * time.Second
)

// request is the state of one caller's request over all times it is sent.
type request struct {
	id    string
	key   string
	keyed bool
	// notRunAt is the time of the last answer that the request has not run, and
	// reason the reason given in it.
	notRunAt time.Time
	reason   savorydeal.Reason
	answered bool
	// unknown is set once an answer reported that the outcome is unknown.
	unknown bool
}

// faultResult compares the answers to callers with the runs on targets.
type faultResult struct {
	requests, answered, unknown, resends int
	// doubleRuns counts keyed requests that ran more than once, falseNotRun requests
	// that had run before an answer reported them as not run.
	doubleRuns, falseNotRun int
	// crossed counts answers with the body of another request, short those with
	// a truncated body that the caller received as complete.
	crossed, short int
	// falseNotRunReasons counts the false refusals by reason and kind of key.
	falseNotRunReasons map[string]int
	// attemptsOverBound counts look-ups with more attempts than the policy
	// allows.
	attemptsOverBound int

	// Injected faults, by kind.
	crashed, truncated, slow int64
	callerTimeouts           int64
	kills, pauses, restarts  int
	platformRefusals         int64
}

func (r *faultResult) injectedFaults() int {
	return int(r.crashed+r.truncated+r.slow+r.callerTimeouts+r.platformRefusals) + r.kills + r.pauses + r.restarts
}

func runFaults(options sdbench.Options, duration time.Duration) (*faultResult, error) {
	f, err := newFixture(faultNodes, "ub-1", "ub-2")
	if err != nil {
		return nil, err
	}
	defer f.close()
	faulty := newFaultyTarget(options, faultRate)
	for _, target := range f.targets {
		target.SetHandler(faulty.serve)
	}
	ctx, cancel := context.WithTimeout(context.Background(), duration)
	defer cancel()
	r := &faultResult{falseNotRunReasons: make(map[string]int)}
	var lastID atomic.Int64
	var mu sync.Mutex
	var requests []*request
	var wait sync.WaitGroup
	for i := range faultCallers {
		wait.Add(1)
		go func() {
			defer wait.Done()
			c := &faultCaller{fixture: f, result: r, mu: &mu, random: rand.New(rand.NewPCG(options.Seed, uint64(i)))}
			for ctx.Err() == nil {
				req := c.next(fmt.Sprintf("%d-%d", i, lastID.Add(1)))
				c.send(req)
				mu.Lock()
				requests = append(requests, req)
				mu.Unlock()
			}
		}()
	}
	err = injectFaults(ctx, f, r, duration)
	wait.Wait()
	if err != nil {
		return nil, err
	}
	r.crashed, r.truncated, r.slow = faulty.crashed.Load(), faulty.truncated.Load(), faulty.slow.Load()
	r.platformRefusals = f.rig.Platform.CallCounts().Refused
	r.compare(f, requests)
	return r, nil
}

// injectFaults makes the platform unavailable, pauses a node, kills and restarts
// another and restarts a third gracefully, one after the other within duration.
func injectFaults(ctx context.Context, f *fixture, r *faultResult, duration time.Duration) error {
	step := duration / 8
	waitStep := func() {
		select {
		case <-time.After(step):
		case <-ctx.Done():
		}
	}
	waitStep()
	f.rig.Platform.SetFaults(sdstandplatform.Faults{Down: true})
	waitStep()
	if err := f.nodes[1].Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	r.pauses++
	waitStep()
	if err := f.nodes[1].Signal(syscall.SIGCONT); err != nil {
		return err
	}
	waitStep()
	if err := f.nodes[2].Signal(syscall.SIGKILL); err != nil {
		return err
	}
	r.kills++
	_ = f.nodes[2].Stop()
	// The platform is still unavailable: the restarted node gets its policies from
	// the other nodes.
	if err := f.restart(2); err != nil {
		return err
	}
	waitStep()
	f.rig.Platform.SetFaults(sdstandplatform.Faults{})
	waitStep()
	if err := stopGracefully(f.nodes[3]); err != nil {
		return err
	}
	r.restarts++
	return f.restart(3)
}

func stopGracefully(node *sdrig.Node) error {
	done := make(chan error, 1)
	go func() { done <- node.Stop() }()
	select {
	case err := <-done:
		return err
	case <-time.After(stopTimeout + readyTimeout):
		return errors.New("node did not stop in time")
	}
}

func (f *fixture) restart(i int) error {
	node, err := f.rig.RestartNode(f.nodes[i], sdrig.NodeSpec{DataCentre: "ub-1", Region: "ub", Process: true})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), readyTimeout)
	defer cancel()
	if err := node.WaitReady(ctx); err != nil {
		return err
	}
	f.setNode(i, node)
	return nil
}

// faultCaller sends requests through random nodes and resends keyed ones until
// they are answered or have been sent maxSends times.
type faultCaller struct {
	fixture *fixture
	result  *faultResult
	mu      *sync.Mutex
	random  *rand.Rand
}

// next returns a random request: one third of them are look-ups, the others have
// a plain key, a time-ordered key or a key with the prefix of a node.
func (c *faultCaller) next(id string) *request {
	req := &request{id: id, keyed: c.random.IntN(3) > 0}
	if !req.keyed {
		return req
	}
	switch c.random.IntN(4) {
	case 0:
		req.key = "plain-" + id
	case 1:
		timeOrdered, _ := uuid.NewV7()
		req.key = timeOrdered.String()
	default:
		node := c.fixture.allNodes()[c.random.IntN(faultNodes)]
		ctx, cancel := context.WithTimeout(context.Background(), shortTimeout)
		defer cancel()
		req.key = fetchKeyPrefix(ctx, node.Settings.CallerAddress) + id
	}
	return req
}

func (c *faultCaller) send(req *request) {
	for send := range maxSends {
		if send > 0 {
			time.Sleep(resendPause)
			c.update(func(r *faultResult) { r.resends++ })
		}
		result := c.sendOnce(req)
		c.record(req, result)
		// A look-up is sent once, so that all its attempts are made by nodes.
		if req.answered || !req.keyed {
			return
		}
	}
}

func (c *faultCaller) sendOnce(req *request) sdstandcaller.Result {
	node := c.fixture.allNodes()[c.random.IntN(faultNodes)]
	caller := sdstandcaller.New(node.Settings.CallerAddress, 1)
	defer caller.Close()
	outgoing := sdstandcaller.Request{
		LedgerID: req.id, Service: service, Method: http.MethodGet, Path: "/limits/" + req.id, Caller: "branch-7",
	}
	if req.keyed {
		outgoing.Method, outgoing.Key, outgoing.Body = http.MethodPost, req.key, "raise "+req.id
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if c.random.IntN(10) == 0 {
		ctx, cancel = context.WithTimeout(ctx, shortTimeout)
		defer cancel()
	}
	return caller.Send(ctx, outgoing)
}

func (c *faultCaller) update(change func(r *faultResult)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change(c.result)
}

func (c *faultCaller) record(req *request, result sdstandcaller.Result) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case errors.Is(result.Err, context.DeadlineExceeded):
		c.result.callerTimeouts++
	case result.Err != nil:
		// No complete answer arrived, and the caller has detected that.
	case result.Outcome == savorydeal.OutcomeNotRun:
		req.notRunAt, req.reason = time.Now(), result.Reason
	case result.Outcome == savorydeal.OutcomeUnknown:
		req.unknown = true
	default:
		req.answered = true
		expected := answerBody(req.id)
		switch {
		case result.Body == expected:
		case len(result.Body) < len(expected):
			c.result.short++
		default:
			c.result.crossed++
		}
		if len(result.Body) > 0 && len(req.id) <= len(result.Body) && result.Body[:len(req.id)] != req.id {
			c.result.crossed++
		}
	}
}

// compare counts the differences between the answers to callers and the targets'
// ledgers.
func (r *faultResult) compare(f *fixture, requests []*request) {
	type runs struct {
		count int
		first time.Time
	}
	ledger := make(map[string]runs)
	for _, target := range f.targets {
		for _, run := range target.Ledger.Runs() {
			recorded := ledger[run.LedgerID]
			if recorded.count == 0 || run.Started.Before(recorded.first) {
				recorded.first = run.Started
			}
			recorded.count++
			ledger[run.LedgerID] = recorded
		}
	}
	for _, req := range requests {
		r.requests++
		recorded := ledger[req.id]
		switch {
		case req.answered:
			r.answered++
		case req.unknown:
			r.unknown++
		}
		if req.keyed && recorded.count > 1 {
			r.doubleRuns++
		}
		if !req.keyed && recorded.count > maxRetries+1 {
			r.attemptsOverBound++
		}
		if !req.notRunAt.IsZero() && recorded.count > 0 && recorded.first.Before(req.notRunAt) {
			r.falseNotRun++
			r.falseNotRunReasons[fmt.Sprintf("%s (%s)", req.reason, requestKind(req))]++
		}
	}
}

func requestKind(req *request) string {
	if !req.keyed {
		return "look-up"
	}
	return string(sdkeys.Parse(req.key).Kind) + " key"
}

func (r *faultResult) print(w io.Writer) error {
	_, _ = fmt.Fprintf(w, "Faults: %d callers at %d nodes; the targets drop, truncate or delay %d%% of their answers.\n\n",
		faultCallers, faultNodes, int(faultRate*100))
	err := sdbench.PrintTable(w, [][]string{
		{"requests", "answered", "unknown", "resends", "target crashes", "truncated answers", "dawdled", "caller timeouts", "node kills", "node pauses", "graceful restarts", "platform refusals"},
		{
			fmt.Sprint(r.requests), fmt.Sprint(r.answered), fmt.Sprint(r.unknown), fmt.Sprint(r.resends), fmt.Sprint(r.crashed),
			fmt.Sprint(r.truncated), fmt.Sprint(r.slow), fmt.Sprint(r.callerTimeouts), fmt.Sprint(r.kills), fmt.Sprint(r.pauses),
			fmt.Sprint(r.restarts), fmt.Sprint(r.platformRefusals),
		},
	})
	_, _ = fmt.Fprintln(w)
	return err
}

func (r *faultResult) check() error {
	if r.crashed == 0 || r.truncated == 0 || r.slow == 0 || r.callerTimeouts == 0 || r.kills == 0 || r.pauses == 0 || r.restarts == 0 || r.platformRefusals == 0 {
		return errors.New("at least one kind of fault was not injected: the figures are not valid")
	}
	if r.doubleRuns+r.falseNotRun+r.crossed+r.short > 0 {
		return fmt.Errorf("%d double runs, %d false not_run refusals %v, %d crossed and %d truncated answers",
			r.doubleRuns, r.falseNotRun, r.falseNotRunReasons, r.crossed, r.short)
	}
	return nil
}
