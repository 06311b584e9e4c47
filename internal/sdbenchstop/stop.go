// Package sdbenchstop measures planned stops under load. In each round, a third of
// a service's VMs is replaced at the same time, after their targets have announced
// that they leave; then the nodes of another third are restarted one after the
// other while their targets keep running.
package sdbenchstop

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/savorydeal/savorydeal"
	"github.com/savorydeal/savorydeal/internal/sdbench"
	"github.com/savorydeal/savorydeal/internal/sdoperatorapi"
	"github.com/savorydeal/savorydeal/internal/sdrig"
	"github.com/savorydeal/savorydeal/internal/sdstandtarget"
)

const (
	service        = "orders"
	slots          = 16
	connections    = 256
	serviceTime    = 10 * time.Millisecond
	entryNodeCount = 2
	callersPerNode = 6
	callerPause    = 30 * time.Millisecond
	// bookingInterval: every bookingInterval-th request is a booking, the others
	// are views.
	bookingInterval = 4
	readyTimeout    = 20 * time.Second
	stopTimeout     = 30 * time.Second
	// steadyTime is the time under load before the first stop and after the last.
	steadyTime = time.Second
	// leavingTime is the minimum time between a target's announcement that it
	// leaves and its stop, so that new work which still arrives is recorded.
	leavingTime = 5 * time.Second
	// stopGroups is the number of groups of VMs that are stopped in turn.
	stopGroups = 3

	quickTargets = 6
	fullTargets  = 12
	quickRounds  = 1
	fullRounds   = 4
)

// Results holds the counts and times of one run of the benchmark.
type Results struct {
	// MaxStartAfterLeaving is the longest time in seconds from a target's
	// announcement that it leaves to the start of the last run on it.
	MaxStartAfterLeaving float64
	// CutRequests counts requests without a complete answer of which the caller
	// does not know whether they have run.
	CutRequests int
	// CompleteAnswers counts requests with a complete answer.
	CompleteAnswers int
	// RefusedCritical and RefusedLow count refusals of bookings and of views, all
	// with the outcome not_run.
	RefusedCritical int
	RefusedLow      int
	// FailedConnections counts connections that could not be opened; no byte of a
	// request was sent on them.
	FailedConnections int
	// Abandoned counts requests that were refused, or whose connection failed, each
	// time they were sent.
	Abandoned int
	// RepeatedBookings counts bookings that ran more than once.
	RepeatedBookings int
	// StoppedNodes counts node processes that were stopped, UncleanStops those of
	// them with an exit code other than 0.
	StoppedNodes int
	UncleanStops int
	// MaxStop is the longest time in seconds from the stop signal to a node's exit.
	MaxStop float64
	// CutCauses describes the first few cut requests.
	CutCauses []string
	// RefusalReasons counts refusals by reason.
	RefusalReasons map[savorydeal.Reason]int
}

// Run runs the benchmark and prints its results.
func Run(options sdbench.Options) error {
	results, err := Measure(options)
	if err != nil {
		return err
	}
	return report(options, results)
}

// Measure runs the benchmark and returns its results.
func Measure(options sdbench.Options) (Results, error) {
	f, err := newFixture(options)
	if err != nil {
		return Results{}, err
	}
	defer f.close()
	return f.measure(options)
}

// vm is one VM of the service: a node and its target.
type vm struct {
	node   *sdrig.Node
	target *sdstandtarget.Target
}

// fixture holds the nodes and targets under load and the counts of the benchmark.
type fixture struct {
	rig *sdrig.Rig
	// entryNodes are the nodes without a target.
	entryNodes []*sdrig.Node
	vms        []*vm
	tally      *tally

	mu sync.Mutex
	// replacedTargets are the stopped targets, kept for their ledgers.
	replacedTargets []*sdstandtarget.Target
	results         Results
}

func newFixture(options sdbench.Options) (*fixture, error) {
	rig, err := sdrig.New(sdrig.DiscardLogger())
	if err != nil {
		return nil, err
	}
	f := &fixture{rig: rig, tally: newTally()}
	targets := fullTargets
	if options.Quick {
		targets = quickTargets
	}
	if err := f.start(targets); err != nil {
		f.close()
		return nil, err
	}
	return f, nil
}

func spec() sdrig.NodeSpec {
	return sdrig.NodeSpec{DataCentre: "howrah-1", Region: "bengal", Process: true}
}

func (f *fixture) start(targets int) error {
	ctx, cancel := context.WithTimeout(context.Background(), readyTimeout)
	defer cancel()
	for range entryNodeCount {
		node, err := f.startNode(ctx)
		if err != nil {
			return err
		}
		f.entryNodes = append(f.entryNodes, node)
	}
	if _, err := f.rig.PutPolicy(ctx, f.entryNodes[0], policy(), 0, "bench-stop-1"); err != nil {
		return err
	}
	for range targets {
		node, err := f.startNode(ctx)
		if err != nil {
			return err
		}
		target, err := f.rig.StartTarget(node, targetOptions())
		if err != nil {
			return err
		}
		f.vms = append(f.vms, &vm{node: node, target: target})
	}
	return sdrig.WaitUntil(ctx, func() bool { return f.allReady(ctx, targets) })
}

func (f *fixture) startNode(ctx context.Context) (*sdrig.Node, error) {
	node, err := f.rig.StartNode(spec())
	if err != nil {
		return nil, err
	}
	return node, node.WaitReady(ctx)
}

func targetOptions() sdstandtarget.Options {
	return sdstandtarget.Options{Service: service, Slots: slots, Connections: connections, ServiceTime: serviceTime}
}

func policy() sdoperatorapi.Policy {
	return sdoperatorapi.Policy{Service: service, Operations: []sdoperatorapi.Operation{
		{Name: "view", Methods: []string{http.MethodGet}, PathPrefix: "/", Class: "low", Idempotent: true, MaxRetries: sdoperatorapi.NewOptInt(2)},
		{Name: "book", Methods: []string{http.MethodPost}, PathPrefix: "/", Class: "critical", MaxRetries: sdoperatorapi.NewOptInt(2)},
	}, RetryRatio: sdoperatorapi.NewOptFloat64(1)}
}

// allReady reports whether every node has the policy and lists at least this
// number of ready targets.
func (f *fixture) allReady(ctx context.Context, targets int) bool {
	nodes := append([]*sdrig.Node(nil), f.entryNodes...)
	for _, vm := range f.vms {
		nodes = append(nodes, vm.node)
	}
	for _, node := range nodes {
		status, err := node.OperatorAPI.GetStatus(ctx)
		if err != nil || status.Policies == 0 {
			return false
		}
		list, err := node.OperatorAPI.ListNodes(ctx)
		if err != nil {
			return false
		}
		ready := 0
		for _, member := range list.Nodes {
			if member.State == "alive" && member.TargetState.Or("") == "ready" {
				ready++
			}
		}
		if ready < targets {
			return false
		}
	}
	return true
}

func (f *fixture) close() {
	for _, vm := range f.vms {
		vm.target.Stop()
	}
	f.rig.Close()
}

func (f *fixture) measure(options sdbench.Options) (Results, error) {
	ctx, cancel := context.WithCancel(context.Background())
	var callers sync.WaitGroup
	for _, c := range f.newCallers() {
		callers.Add(1)
		go func() {
			defer callers.Done()
			c.run(ctx)
		}()
	}
	time.Sleep(steadyTime)
	err := f.runRounds(options)
	time.Sleep(steadyTime)
	cancel()
	callers.Wait()
	f.collectResults()
	return f.results, err
}

// newCallers returns callersPerNode callers for each node. A caller starts at its
// own node and goes on to the next one after a refusal or a failed connection.
func (f *fixture) newCallers() []*caller {
	var nodes []string
	for _, node := range f.entryNodes {
		nodes = append(nodes, node.Settings.CallerAddress)
	}
	for _, vm := range f.vms {
		nodes = append(nodes, vm.node.Settings.CallerAddress)
	}
	var callers []*caller
	for i := range nodes {
		for j := range callersPerNode {
			callers = append(callers, &caller{
				name: fmt.Sprintf("stall-%d-%d", i, j), nodes: nodes, next: i, pause: callerPause, tally: f.tally,
			})
		}
	}
	return callers
}

func (f *fixture) runRounds(options sdbench.Options) error {
	rounds := fullRounds
	if options.Quick {
		rounds = quickRounds
	}
	for round := range rounds {
		if err := f.replaceTogether(f.thirdOfVMs(2 * round)); err != nil {
			return err
		}
		if err := f.restartInTurn(f.thirdOfVMs(2*round + 1)); err != nil {
			return err
		}
	}
	return nil
}

// thirdOfVMs returns the n-th third of the VMs, with n taken modulo stopGroups.
func (f *fixture) thirdOfVMs(n int) []*vm {
	size := len(f.vms) / stopGroups
	from := n % stopGroups * size
	return f.vms[from : from+size]
}

// replaceTogether replaces VMs at the same time: their targets announce that they
// leave, nodes and targets stop, and new ones start.
func (f *fixture) replaceTogether(vms []*vm) error {
	var wait sync.WaitGroup
	errs := make([]error, len(vms))
	for i, vm := range vms {
		wait.Add(1)
		go func() {
			defer wait.Done()
			errs[i] = f.replace(vm)
		}()
	}
	wait.Wait()
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

func (f *fixture) replace(vm *vm) error {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	leftAt := time.Now()
	if _, err := vm.target.Leave(ctx); err != nil {
		return err
	}
	err := sdrig.WaitUntil(ctx, func() bool {
		running, err := vm.target.Announce(ctx)
		return err == nil && running == 0
	})
	if err != nil {
		return fmt.Errorf("wait for the last call on a leaving target: %w", err)
	}
	time.Sleep(time.Until(leftAt.Add(leavingTime)))
	f.recordLastStart(vm.target, leftAt)
	if err := f.stopNode(vm); err != nil {
		return err
	}
	vm.target.Stop()
	f.mu.Lock()
	f.replacedTargets = append(f.replacedTargets, vm.target)
	f.mu.Unlock()
	if err := f.restart(ctx, vm); err != nil {
		return err
	}
	vm.target, err = f.rig.StartTarget(vm.node, targetOptions())
	return err
}

// recordLastStart records the start of the last run on a target that announced at
// leftAt that it leaves.
func (f *fixture) recordLastStart(target *sdstandtarget.Target, leftAt time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, run := range target.Ledger.Runs() {
		f.results.MaxStartAfterLeaving = max(f.results.MaxStartAfterLeaving, run.Started.Sub(leftAt).Seconds())
	}
}

// restartInTurn restarts one node after the other while their targets keep running.
func (f *fixture) restartInTurn(vms []*vm) error {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(len(vms))*stopTimeout)
	defer cancel()
	for _, vm := range vms {
		if err := f.stopNode(vm); err != nil {
			return err
		}
		if err := f.restart(ctx, vm); err != nil {
			return err
		}
	}
	return nil
}

func (f *fixture) stopNode(vm *vm) error {
	stoppedAt := time.Now()
	if err := vm.node.Signal(syscall.SIGTERM); err != nil {
		return fmt.Errorf("stop node: %w", err)
	}
	err := vm.node.Wait()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.results.StoppedNodes++
	f.results.MaxStop = max(f.results.MaxStop, time.Since(stoppedAt).Seconds())
	if err != nil {
		f.results.UncleanStops++
	}
	return nil
}

func (f *fixture) restart(ctx context.Context, vm *vm) error {
	node, err := f.rig.RestartNode(vm.node, spec())
	if err != nil {
		return err
	}
	vm.node = node
	return node.WaitReady(ctx)
}
