// Package sdbenchpath measures the latency that nodes on the path add to a call,
// compared with a direct call to the target.
package sdbenchpath

import (
	"context"
	"fmt"
	"math"
	"net/http"
	"os"
	"os/exec"
	"runtime"
	"sync"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/savorydeal/savorydeal/internal/sdbench"
	"github.com/savorydeal/savorydeal/internal/sdoperatorapi"
	"github.com/savorydeal/savorydeal/internal/sdrig"
	"github.com/savorydeal/savorydeal/internal/sdstandcaller"
	"github.com/savorydeal/savorydeal/internal/sdstandtarget"
)

const (
	service     = "limit-lookup"
	slots       = 140
	connections = 900
	// busyCores is the number of cores that other processes keep busy.
	busyCores     = 4
	quickDuration = 10 * time.Second
	fullDuration  = 30 * time.Second
	warmUp        = 2 * time.Second
	readyTimeout  = 20 * time.Second

	minLatencyUS   = 1
	maxLatencyUS   = 10_000_000
	latencyDigits  = 3
	microsPerMilli = 1000.0
)

// rates returns the calls per second through one entry node; as many calls are made
// directly.
func rates() []int { return []int{40, 400, 2000} }

// rateResult holds the latencies in microseconds and the resource usage at one rate.
type rateResult struct {
	rate     int
	direct   *hdrhistogram.Histogram
	viaNodes *hdrhistogram.Histogram
	failed   int
	// entryNodeCPU and targetNodeCPU are percentages of one core.
	entryNodeCPU  float64
	targetNodeCPU float64
	// entryNodeRSS and targetNodeRSS are bytes.
	entryNodeRSS  int64
	targetNodeRSS int64
}

// Run runs the benchmark.
func Run(options sdbench.Options) error {
	f, err := newFixture(true)
	if err != nil {
		return err
	}
	defer f.close()
	stopBusy, err := keepCoresBusy(busyCores)
	if err != nil {
		return err
	}
	defer stopBusy()
	duration := fullDuration
	if options.Quick {
		duration = quickDuration
	}
	f.sendCalls(rates()[0], warmUp)
	var results []rateResult
	for _, rate := range rates() {
		results = append(results, f.measure(rate, duration))
	}
	return report(options, duration, results)
}

// fixture is an entry node, a target's node and a target with a service time of 0.
type fixture struct {
	rig *sdrig.Rig
	// processes runs each node as a separate process instead of in this one.
	processes  bool
	entryNode  *sdrig.Node
	targetNode *sdrig.Node
	target     *sdstandtarget.Target
	viaNodes   *sdstandcaller.Caller
	direct     *sdstandcaller.Caller
}

func newFixture(processes bool) (*fixture, error) {
	rig, err := sdrig.New(sdrig.DiscardLogger())
	if err != nil {
		return nil, err
	}
	f := &fixture{rig: rig, processes: processes}
	if err := f.start(); err != nil {
		f.close()
		return nil, err
	}
	return f, nil
}

func (f *fixture) start() error {
	ctx, cancel := context.WithTimeout(context.Background(), readyTimeout)
	defer cancel()
	spec := sdrig.NodeSpec{DataCentre: "ub-1", Region: "ub", Process: f.processes}
	var err error
	if f.entryNode, err = f.rig.StartNode(spec); err != nil {
		return err
	}
	if f.targetNode, err = f.rig.StartNode(spec); err != nil {
		return err
	}
	for _, node := range []*sdrig.Node{f.entryNode, f.targetNode} {
		if err := node.WaitReady(ctx); err != nil {
			return err
		}
	}
	f.target, err = f.rig.StartTarget(f.targetNode, sdstandtarget.Options{Service: service, Slots: slots, Connections: connections})
	if err != nil {
		return err
	}
	if _, err := f.rig.PutPolicy(ctx, f.entryNode, policy(), 0, "bench-path-1"); err != nil {
		return err
	}
	f.viaNodes = sdstandcaller.New(f.entryNode.Settings.CallerAddress, slots)
	f.direct = sdstandcaller.New(f.target.Options().Address, slots)
	return sdrig.WaitUntil(ctx, func() bool { return f.viaNodes.Send(ctx, lookup()).Complete() })
}

func policy() sdoperatorapi.Policy {
	return sdoperatorapi.Policy{Service: service, Operations: []sdoperatorapi.Operation{{
		Name: "look_up", Methods: []string{http.MethodGet}, PathPrefix: "/", Class: "normal", Idempotent: true,
	}}}
}

func lookup() sdstandcaller.Request {
	return sdstandcaller.Request{LedgerID: "path", Service: service, Method: http.MethodGet, Path: "/limits/7", Caller: "branch-7"}
}

func (f *fixture) close() {
	if f.target != nil {
		f.target.Stop()
	}
	f.rig.Close()
}

// keepCoresBusy starts processes that each keep one core busy until the returned
// function is called. Busy loops within this process would compete in the Go
// scheduler with the callers and targets under measurement.
func keepCoresBusy(cores int) (func(), error) {
	program, err := os.Executable()
	if err != nil {
		return nil, fmt.Errorf("find the executable: %w", err)
	}
	var commands []*exec.Cmd
	stop := func() {
		for _, command := range commands {
			_ = command.Process.Kill()
			_ = command.Wait()
		}
	}
	for range cores {
		command := exec.Command(program, SpinCommand)
		command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		if err := command.Start(); err != nil {
			stop()
			return nil, fmt.Errorf("start a process that keeps a core busy: %w", err)
		}
		commands = append(commands, command)
	}
	return stop, nil
}

// SpinCommand is the argument with which the bench program runs Spin.
const SpinCommand = "spin"

// Spin keeps one core busy until the process is killed.
func Spin() {
	runtime.GOMAXPROCS(1)
	for i := uint64(0); ; i++ {
		if i == math.MaxUint64 {
			return
		}
	}
}

// measure sends calls at a rate for the duration and adds the resource usage of both
// nodes.
func (f *fixture) measure(rate int, duration time.Duration) rateResult {
	entryBefore, _ := sdbench.ReadUsage(f.entryNode.PID())
	targetBefore, _ := sdbench.ReadUsage(f.targetNode.PID())
	result := f.sendCalls(rate, duration)
	entryAfter, _ := sdbench.ReadUsage(f.entryNode.PID())
	targetAfter, _ := sdbench.ReadUsage(f.targetNode.PID())
	result.entryNodeCPU = 100 * (entryAfter.CPU - entryBefore.CPU).Seconds() / duration.Seconds()
	result.targetNodeCPU = 100 * (targetAfter.CPU - targetBefore.CPU).Seconds() / duration.Seconds()
	result.entryNodeRSS = entryAfter.RSSBytes
	result.targetNodeRSS = targetAfter.RSSBytes
	return result
}

// sendCalls sends calls at an even rate, alternately through the nodes and directly
// to the target, and waits for their answers.
func (f *fixture) sendCalls(rate int, duration time.Duration) rateResult {
	result := rateResult{rate: rate, direct: newHistogram(), viaNodes: newHistogram()}
	var mu sync.Mutex
	var pending sync.WaitGroup
	interval := time.Second / time.Duration(2*rate)
	start := time.Now()
	for i := 0; ; i++ {
		due := start.Add(time.Duration(i) * interval)
		if due.Sub(start) >= duration {
			break
		}
		time.Sleep(time.Until(due))
		caller, histogram := f.viaNodes, result.viaNodes
		if i%2 == 1 {
			caller, histogram = f.direct, result.direct
		}
		pending.Add(1)
		go func() {
			defer pending.Done()
			answer := caller.Send(context.Background(), lookup())
			mu.Lock()
			defer mu.Unlock()
			if !answer.Complete() {
				result.failed++
				return
			}
			_ = histogram.RecordValue(answer.Latency.Microseconds())
		}()
	}
	pending.Wait()
	return result
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(minLatencyUS, maxLatencyUS, latencyDigits)
}

// addedMillis returns the difference between the latencies through the nodes and
// direct at a percentile, in milliseconds.
func (r rateResult) addedMillis(percentile float64) float64 {
	return float64(r.viaNodes.ValueAtQuantile(percentile)-r.direct.ValueAtQuantile(percentile)) / microsPerMilli
}

const (
	percentile50  = 50
	percentile99  = 99
	percentile999 = 99.9
	megabyte      = 1 << 20
)

func report(options sdbench.Options, duration time.Duration, results []rateResult) error {
	_, _ = fmt.Fprintf(options.Out, "VM: %s; %d cores kept busy by other processes; %v per rate; every second call is direct\n\n",
		sdbench.DescribeVM(), busyCores, duration)
	rows := [][]string{{
		"calls/s", "direct p50 ms", "p99", "p99.9", "through p50 ms", "p99", "p99.9",
		"added p50 ms", "p99", "p99.9", "entry CPU %", "entry MB", "target node CPU %", "target node MB", "failed",
	}}
	var maxAddedP50, maxAddedP99, maxRSS float64
	failed := 0
	for _, result := range results {
		rows = append(rows, row(result))
		maxAddedP50 = math.Max(maxAddedP50, result.addedMillis(percentile50))
		maxAddedP99 = math.Max(maxAddedP99, result.addedMillis(percentile99))
		maxRSS = math.Max(maxRSS, float64(max(result.entryNodeRSS, result.targetNodeRSS))/megabyte)
		failed += result.failed
	}
	if err := sdbench.PrintTable(options.Out, rows); err != nil {
		return err
	}
	err := sdbench.PrintSummary(options.Out, []sdbench.SummaryValue{
		{Name: "added_p50_ms", Value: round(maxAddedP50)},
		{Name: "added_p99_ms", Value: round(maxAddedP99)},
		{Name: "node_rss_mb", Value: round(maxRSS)},
	})
	if err != nil {
		return err
	}
	if failed > 0 {
		return fmt.Errorf("%d calls got no complete answer", failed)
	}
	return nil
}

func row(result rateResult) []string {
	cells := []string{fmt.Sprint(result.rate)}
	for _, histogram := range []*hdrhistogram.Histogram{result.direct, result.viaNodes} {
		for _, percentile := range []float64{percentile50, percentile99, percentile999} {
			cells = append(cells, fmt.Sprintf("%.2f", float64(histogram.ValueAtQuantile(percentile))/microsPerMilli))
		}
	}
	for _, percentile := range []float64{percentile50, percentile99, percentile999} {
		cells = append(cells, fmt.Sprintf("%.2f", result.addedMillis(percentile)))
	}
	return append(cells,
		fmt.Sprintf("%.1f", result.entryNodeCPU), fmt.Sprintf("%.0f", float64(result.entryNodeRSS)/megabyte),
		fmt.Sprintf("%.1f", result.targetNodeCPU), fmt.Sprintf("%.0f", float64(result.targetNodeRSS)/megabyte),
		fmt.Sprint(result.failed))
}

// roundingFactor gives two decimal places.
const roundingFactor = 100

func round(value float64) float64 {
	return math.Round(value*roundingFactor) / roundingFactor
}
