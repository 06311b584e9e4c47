package sdbenchtruth

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"

	"github.com/savorydeal/savorydeal/internal/sdbench"
	"github.com/savorydeal/savorydeal/internal/sdstandcaller"
)

const (
	attemptNodes      = 3
	attemptCallers    = 8
	requestsPerCaller = 100
)

// attemptResult counts look-ups and their attempts at one failure rate.
type attemptResult struct {
	failureRate        float64
	requests, attempts int
	answered           int
	// maxAttempts is the highest number of attempts of a request; overBound counts
	// requests with more attempts than the policy allows.
	maxAttempts, overBound int
	targetFailures         int64
}

// runAttempts counts the attempts of each request in the targets' ledgers while
// a given share of all attempts fails.
func runAttempts(options sdbench.Options) ([]attemptResult, error) {
	f, err := newFixture(attemptNodes, "ub-1")
	if err != nil {
		return nil, err
	}
	defer f.close()
	var results []attemptResult
	for _, failureRate := range []float64{0.01, 0.05, 0.10, 0.20, 0.50} {
		results = append(results, f.attemptsAtRate(options, failureRate))
	}
	return results, nil
}

// answerUnframed sends a response without a length or chunks. Nodes count it as
// a failure but not as a crash, so that only the retry limit bounds its attempts.
func answerUnframed(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\ncut")
	_ = conn.Close()
}

// attemptsAtRate sends look-ups to targets that fail at the given rate.
func (f *fixture) attemptsAtRate(options sdbench.Options, failureRate float64) attemptResult {
	faulty := newFaultyTarget(options, failureRate)
	for _, target := range f.targets {
		target.SetHandler(func(w http.ResponseWriter, r *http.Request) {
			if faulty.draw() < failureRate {
				faulty.crashed.Add(1)
				answerUnframed(w)
				return
			}
			_, _ = io.WriteString(w, answerBody(r.Header.Get(headerLedgerID)))
		})
	}
	result := attemptResult{failureRate: failureRate}
	var mu sync.Mutex
	var wait sync.WaitGroup
	for i := range attemptCallers {
		wait.Add(1)
		go func() {
			defer wait.Done()
			caller := sdstandcaller.New(f.nodes[i%attemptNodes].Settings.CallerAddress, 1)
			defer caller.Close()
			for j := range requestsPerCaller {
				id := fmt.Sprintf("at-%g-%d-%d", failureRate, i, j)
				answer := caller.Send(context.Background(), sdstandcaller.Request{
					LedgerID: id, Service: service, Method: http.MethodGet, Path: "/limits/" + id, Caller: "branch-7",
				})
				attempts := 0
				for _, target := range f.targets {
					attempts += target.Ledger.RunCount(id)
				}
				mu.Lock()
				result.record(attempts, answer.Complete())
				mu.Unlock()
			}
		}()
	}
	wait.Wait()
	result.targetFailures = faulty.crashed.Load()
	return result
}

func (r *attemptResult) record(attempts int, complete bool) {
	r.requests++
	r.attempts += attempts
	r.maxAttempts = max(r.maxAttempts, attempts)
	if complete {
		r.answered++
	}
	if attempts > maxRetries+1 {
		r.overBound++
	}
}

func printAttempts(w io.Writer, results []attemptResult) error {
	_, _ = fmt.Fprintf(w, "Attempts: look-ups of which a share fails in the target; the policy grants %d retries.\n\n", maxRetries)
	rows := [][]string{{"failing attempts", "requests", "answered", "attempts per request", "most attempts", "failures in targets"}}
	for _, result := range results {
		rows = append(rows, []string{
			fmt.Sprintf("%g%%", 100*result.failureRate), fmt.Sprint(result.requests), fmt.Sprint(result.answered),
			fmt.Sprintf("%.2f", float64(result.attempts)/float64(result.requests)), fmt.Sprint(result.maxAttempts), fmt.Sprint(result.targetFailures),
		})
	}
	err := sdbench.PrintTable(w, rows)
	_, _ = fmt.Fprintln(w)
	return err
}
