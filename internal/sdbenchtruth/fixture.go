package sdbenchtruth

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/savorydeal/savorydeal/internal/sdbench"
	"github.com/savorydeal/savorydeal/internal/sdoperatorapi"
	"github.com/savorydeal/savorydeal/internal/sdrig"
	"github.com/savorydeal/savorydeal/internal/sdstandcaller"
	"github.com/savorydeal/savorydeal/internal/sdstandtarget"
)

const (
	service      = "limit-change"
	slots        = 64
	connections  = 256
	maxRetries   = 3
	readyTimeout = 20 * time.Second
	// answerBytes is the body size of every answer. The body begins and ends with
	// the request's ID.
	answerBytes    = 8 << 10
	headerLedgerID = sdstandtarget.HeaderLedgerID
)

// fixture holds node processes, each with one target, and their policy.
type fixture struct {
	rig     *sdrig.Rig
	targets []*sdstandtarget.Target

	mu    sync.Mutex
	nodes []*sdrig.Node
}

func newFixture(nodes int, dataCentres ...string) (*fixture, error) {
	rig, err := sdrig.New(sdrig.DiscardLogger())
	if err != nil {
		return nil, err
	}
	f := &fixture{rig: rig}
	if err := f.start(nodes, dataCentres); err != nil {
		f.close()
		return nil, err
	}
	return f, nil
}

func (f *fixture) start(nodes int, dataCentres []string) error {
	ctx, cancel := context.WithTimeout(context.Background(), readyTimeout)
	defer cancel()
	for i := range nodes {
		node, err := f.rig.StartNode(sdrig.NodeSpec{DataCentre: dataCentres[i%len(dataCentres)], Region: "ub", Process: true})
		if err != nil {
			return err
		}
		f.nodes = append(f.nodes, node)
		if err := node.WaitReady(ctx); err != nil {
			return err
		}
		target, err := f.rig.StartTarget(node, sdstandtarget.Options{Service: service, Slots: slots, Connections: connections})
		if err != nil {
			return err
		}
		f.targets = append(f.targets, target)
	}
	version, err := f.rig.PutPolicy(ctx, f.nodes[0], policy(), 0, "bench-truth-1")
	if err != nil {
		return err
	}
	_, err = f.nodes[0].OperatorAPI.WaitInForce(ctx, sdoperatorapi.WaitInForceParams{Service: service, Version: version, WaitMs: readyTimeout.Milliseconds()})
	if err != nil {
		return fmt.Errorf("wait until the policy is in force: %w", err)
	}
	return sdrig.WaitUntil(ctx, func() bool { return f.allReady(ctx) })
}

// allReady reports whether every node lists all targets as ready.
func (f *fixture) allReady(ctx context.Context) bool {
	for _, node := range f.allNodes() {
		list, err := node.OperatorAPI.ListNodes(ctx)
		if err != nil {
			return false
		}
		ready := 0
		for _, member := range list.Nodes {
			if member.TargetState.Or("") == "ready" && member.State == "alive" {
				ready++
			}
		}
		if ready < len(f.targets) {
			return false
		}
	}
	return true
}

func policy() sdoperatorapi.Policy {
	return sdoperatorapi.Policy{
		Service: service, RetryRatio: sdoperatorapi.NewOptFloat64(1),
		Operations: []sdoperatorapi.Operation{
			{Name: "raise", Methods: []string{"POST"}, PathPrefix: "/limits", Class: "high", MaxRetries: sdoperatorapi.NewOptInt(maxRetries), TimeoutMs: sdoperatorapi.NewOptInt64(3000)},
			{Name: "note", Methods: []string{"POST"}, PathPrefix: "/notes", Class: "normal", Keyless: sdoperatorapi.NewOptString("run_once"), MaxRetries: sdoperatorapi.NewOptInt(maxRetries)},
			{Name: "look_up", Methods: []string{"GET"}, PathPrefix: "/limits", Class: "normal", Idempotent: true, MaxRetries: sdoperatorapi.NewOptInt(maxRetries)},
		},
	}
}

func (f *fixture) allNodes() []*sdrig.Node {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]*sdrig.Node(nil), f.nodes...)
}

func (f *fixture) setNode(i int, node *sdrig.Node) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.nodes[i] = node
}

func (f *fixture) close() {
	for _, target := range f.targets {
		target.Stop()
	}
	f.rig.Close()
}

// fetchKeyPrefix requests the key prefix of the node at the address. It returns ""
// if the request fails.
func fetchKeyPrefix(ctx context.Context, address string) string {
	caller := sdstandcaller.New(address, 1)
	defer caller.Close()
	prefix, err := caller.FetchKeyPrefix(ctx)
	if err != nil {
		return ""
	}
	return prefix
}

// answerBody returns the complete body of the answer to a request.
func answerBody(id string) string {
	filler := answerBytes - 2*len(id)
	return id + strings.Repeat(".", max(0, filler)) + id
}

// faultyTarget serves complete answers. A share of the requests, rate, fails
// instead: in equal parts the connection is closed before the answer, it is
// closed halfway through the body, or the answer is delayed by slowAnswerDelay.
type faultyTarget struct {
	rate float64

	mu     sync.Mutex
	random *rand.Rand

	// Faults injected so far, by kind.
	crashed   atomic.Int64
	truncated atomic.Int64
	slow      atomic.Int64
}

func newFaultyTarget(options sdbench.Options, rate float64) *faultyTarget {
	return &faultyTarget{rate: rate, random: rand.New(rand.NewPCG(options.Seed, uint64(rate*100)))}
}

func (f *faultyTarget) draw() float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.random.Float64()
}

const slowAnswerDelay = 400 * time.Millisecond

func (f *faultyTarget) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(headerLedgerID)
	body := answerBody(id)
	w.Header().Set("Content-Length", fmt.Sprint(len(body)))
	switch fault := f.draw(); {
	case fault < f.rate/3:
		f.crashed.Add(1)
		panic(http.ErrAbortHandler)
	case fault < 2*f.rate/3:
		f.truncated.Add(1)
		_, _ = w.Write([]byte(body[:answerBytes/2]))
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	case fault < f.rate:
		f.slow.Add(1)
		select {
		case <-time.After(slowAnswerDelay):
		case <-r.Context().Done():
			return
		}
	}
	_, _ = w.Write([]byte(body))
}
