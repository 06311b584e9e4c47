package sdbenchtruth

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/google/uuid"

	"github.com/savorydeal/savorydeal"
	"github.com/savorydeal/savorydeal/internal/sdbench"
	"github.com/savorydeal/savorydeal/internal/sdkeys"
	"github.com/savorydeal/savorydeal/internal/sdstandcaller"
)

const (
	// costRate is the number of calls per second.
	costRate                         = 400
	costNodes                        = 2
	recordedKeys                     = 200_000
	maxLatencyUS                     = 10_000_000
	latencyDigits                    = 3
	microsPerMilli                   = 1000.0
	medianPercentile, highPercentile = 50, 99
)

// cost holds the latencies, in microseconds, and the processor time of one kind
// of call.
type cost struct {
	kind    string
	latency *hdrhistogram.Histogram
	failed  int
	calls   int
	// cpu is the processor time of all nodes together.
	cpu time.Duration
}

// callKind describes one kind of call. The function key returns the key of its
// n-th call; prefix is the key prefix of the node that receives the calls.
type callKind struct {
	name string
	path string
	key  func(prefix string, n int) string
}

func callKinds() []callKind {
	return []callKind{
		{"without a key", "/notes/7", func(string, int) string { return "" }},
		{"owned key", "/limits/7", func(prefix string, n int) string { return fmt.Sprintf("%scost-%d", prefix, n) }},
		{"plain key", "/limits/7", func(_ string, n int) string { return fmt.Sprintf("plain-cost-%d", n) }},
		{"time-ordered key", "/limits/7", func(string, int) string {
			key, _ := uuid.NewV7()
			return key.String()
		}},
	}
}

func runCosts(_ sdbench.Options, duration time.Duration) ([]cost, error) {
	f, err := newFixture(costNodes, "ub-1")
	if err != nil {
		return nil, err
	}
	defer f.close()
	for _, target := range f.targets {
		target.SetHandler(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			_, _ = io.WriteString(w, "raised")
		})
	}
	var costs []cost
	for _, kind := range callKinds() {
		// The first measurement only warms up the nodes.
		f.measureCost(kind, duration/3)
		costs = append(costs, f.measureCost(kind, duration))
	}
	return costs, nil
}

func (f *fixture) cpuTime() time.Duration {
	var total time.Duration
	for _, node := range f.nodes {
		usage, _ := sdbench.ReadUsage(node.PID())
		total += usage.CPU
	}
	return total
}

// measureCost sends calls of one kind through the first node, costRate each
// second. The start time is part of the keys, so that no two measurements share a
// key.
func (f *fixture) measureCost(kind callKind, duration time.Duration) cost {
	result := cost{kind: kind.name, latency: hdrhistogram.New(1, maxLatencyUS, latencyDigits)}
	address := f.nodes[0].Settings.CallerAddress
	caller := sdstandcaller.New(address, slots)
	defer caller.Close()
	prefix := fetchKeyPrefix(context.Background(), address)
	before := f.cpuTime()
	var mu sync.Mutex
	var wait sync.WaitGroup
	start := time.Now()
	interval := time.Second / costRate
	for n := 0; ; n++ {
		due := start.Add(time.Duration(n) * interval)
		if due.Sub(start) >= duration {
			break
		}
		time.Sleep(time.Until(due))
		wait.Add(1)
		go func() {
			defer wait.Done()
			answer := caller.Send(context.Background(), sdstandcaller.Request{
				LedgerID: "cost", Service: service, Method: http.MethodPost, Path: kind.path, Caller: "branch-7", Body: "raise",
				Key: kind.key(prefix, int(start.UnixNano()%1e9)*1000+n),
			})
			mu.Lock()
			defer mu.Unlock()
			result.calls++
			if !answer.Complete() {
				result.failed++
				return
			}
			_ = result.latency.RecordValue(answer.Latency.Microseconds())
		}()
	}
	wait.Wait()
	result.cpu = f.cpuTime() - before
	return result
}

// bytesPerKey measures the heap bytes of one key record whose answer is too
// large to be stored.
func bytesPerKey() float64 {
	before := heapBytes()
	records := sdkeys.NewRecords()
	now := time.Now()
	for i := range recordedKeys {
		claim := savorydeal.KeyClaim{Service: service, Caller: "branch-7", Key: fmt.Sprintf("plain-%d", i), Retention: time.Hour}
		records.Claim(now, claim)
		records.Finish(now, claim, savorydeal.StoredAnswer{Body: make([]byte, sdkeys.MaxStoredAnswerBytes+1)})
	}
	used := heapBytes() - before
	runtime.KeepAlive(records)
	return float64(used) / recordedKeys
}

func heapBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

func printCosts(w io.Writer, costs []cost) error {
	_, _ = fmt.Fprintf(w, "Cost: %d calls/s through one of %d nodes; processor time of both nodes together.\n\n", costRate, costNodes)
	rows := [][]string{{"calls", "p50 ms", "p99 ms", "CPU per call µs", "failed"}}
	for _, c := range costs {
		rows = append(rows, []string{
			c.kind,
			fmt.Sprintf("%.2f", float64(c.latency.ValueAtQuantile(medianPercentile))/microsPerMilli),
			fmt.Sprintf("%.2f", float64(c.latency.ValueAtQuantile(highPercentile))/microsPerMilli),
			fmt.Sprintf("%.0f", float64(c.cpu.Microseconds())/float64(c.calls)), fmt.Sprint(c.failed),
		})
	}
	if err := sdbench.PrintTable(w, rows); err != nil {
		return err
	}
	_, err := fmt.Fprintf(w, "\nA key record without its answer takes %.0f bytes of heap (mean of %d keys).\n\n", bytesPerKey(), recordedKeys)
	return err
}
