package sdbenchfleet

import (
	"errors"
	"fmt"

	"github.com/savorydeal/savorydeal/internal/sdbench"
	"github.com/savorydeal/savorydeal/internal/sdbenchstop"
)

// stopResult is the result of the benchmark of planned stops.
type stopResult struct {
	results sdbenchstop.Results
	err     error
}

// startStopBenchmark measures planned stops with nodes of its own, at the same time as
// the clusters, so that the quick benchmark stays short.
func startStopBenchmark(options sdbench.Options) <-chan stopResult {
	options.Quick = true
	result := make(chan stopResult, 1)
	go func() {
		results, err := sdbenchstop.Measure(options)
		result <- stopResult{results: results, err: err}
	}()
	return result
}

func writeStops(options sdbench.Options, results sdbenchstop.Results) error {
	if results.StoppedNodes == 0 {
		return errors.New("no node was stopped; the number of cut requests is meaningless")
	}
	_, err := fmt.Fprintf(options.Out,
		"\nPlanned stops under load, without datagram loss, at the same time: %d stops, %d complete answers, %d cut requests, last new work %.3f s after the announcement of leaving.\n",
		results.StoppedNodes, results.CompleteAnswers, results.CutRequests, results.MaxStartAfterLeaving)
	return err
}
