// Package sdbenchfleet measures clusters of node processes: how fast all nodes learn
// of new members, dead nodes, leaving targets and new configuration, and what that
// costs a node and the platform.
package sdbenchfleet

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"time"

	"github.com/savorydeal/savorydeal/internal/sdbench"
)

const (
	quickNodes   = 30
	quickCalm    = 8 * time.Second
	quickChanges = 8
	fullCalm     = 30 * time.Second
	fullChanges  = 20
	// datagramLoss is the share of datagrams that nodes drop on purpose.
	datagramLoss = 0.02
	// pauseTime is how long some nodes are paused by SIGSTOP.
	pauseTime   = 3 * time.Second
	targetCount = 6
	// entryNodeCount is the number of nodes through which requests are sent.
	entryNodeCount = 3

	// The goals are printed with the results; the benchmark does not fail if they are
	// missed.
	configGoal = 4 * time.Second
	detectGoal = 5 * time.Second
)

// sizes returns the numbers of nodes of the clusters to measure. Arguments after "--"
// replace those of the full benchmark.
func sizes(options sdbench.Options) ([]int, error) {
	if options.Quick {
		return []int{quickNodes}, nil
	}
	if len(options.Arguments) == 0 {
		return []int{10, 50, 100, 300}, nil
	}
	var sizes []int
	for _, argument := range options.Arguments {
		size, err := strconv.Atoi(argument)
		if err != nil || size < targetCount+entryNodeCount+1 {
			return nil, fmt.Errorf("invalid number of nodes %q; use a whole number above %d", argument, targetCount+entryNodeCount)
		}
		sizes = append(sizes, size)
	}
	return sizes, nil
}

// clusterResult holds the figures of one cluster.
type clusterResult struct {
	nodes int
	// joinTime is the time from the start of the last node until each node saw all
	// of them alive.
	joinTime time.Duration
	// configDelays holds the time from each change until each node applied it.
	configDelays []time.Duration
	// leavingTime is the time until no node saw a leaving target as ready.
	leavingTime time.Duration
	// The times from the kill of a node until no node had a lease for it, all
	// suspected it, and all saw it as dead.
	detectTime  time.Duration
	suspectTime time.Duration
	deadTime    time.Duration
	falseDeaths int
	suspicions  int
	// cutRequests counts requests without a complete answer, of all requests.
	cutRequests        int
	requests           int
	runsAfterLeaving   int
	meanBytesPerSecond float64
	maxBytesPerSecond  float64
	// meanCorePercent and maxCorePercent leave out nodes that handle requests.
	meanCorePercent        float64
	maxCorePercent         float64
	meanRSSBytes           float64
	platformCallsPerSecond float64
	// droppedDatagrams counts the datagrams dropped on purpose.
	droppedDatagrams int
	// pauses counts the pauses that nodes noticed in their own execution.
	pauses int
}

// Run runs the benchmark.
func Run(options sdbench.Options) error {
	sizes, err := sizes(options)
	if err != nil {
		return err
	}
	calm, changes := fullCalm, fullChanges
	if options.Quick {
		calm, changes = quickCalm, quickChanges
	}
	pendingStops := startStopBenchmark(options)
	var results []clusterResult
	for _, size := range sizes {
		result, err := measure(size, calm, changes)
		if err != nil {
			return fmt.Errorf("cluster of %d nodes: %w", size, err)
		}
		results = append(results, result)
	}
	stops := <-pendingStops
	if stops.err != nil {
		return fmt.Errorf("planned stops: %w", stops.err)
	}
	if err := writeReport(options, results, stops.results); err != nil {
		return err
	}
	return checkFaults(results)
}

// measure runs all phases on one cluster. The kill of a node comes last, since
// its death would be counted with the false ones.
func measure(size int, calm time.Duration, changes int) (clusterResult, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute+time.Duration(size)*time.Second)
	defer cancel()
	c := &cluster{size: size}
	defer c.close()
	for _, phase := range []func(context.Context) error{
		c.start,
		c.startTargets,
		func(ctx context.Context) error { return c.measureCalm(ctx, calm) },
		func(ctx context.Context) error { return c.measureChanges(ctx, changes) },
		c.measurePauses,
		c.measureLeaving,
		c.measureStop,
		c.measureDeath,
	} {
		if err := phase(ctx); err != nil {
			return clusterResult{}, err
		}
	}
	return c.result, nil
}

// checkFaults returns an error if an injected fault had no effect, so that the figures
// that depend on it are meaningless.
func checkFaults(results []clusterResult) error {
	for _, result := range results {
		switch {
		case result.droppedDatagrams == 0:
			return errors.New("no datagram was dropped on purpose; the figures under loss are meaningless")
		case result.pauses == 0:
			return errors.New("no node noticed a pause of its own; the number of false deaths is meaningless")
		case result.requests == 0:
			return errors.New("no request was sent; the number of cut requests is meaningless")
		case result.detectTime == 0 || result.deadTime == 0:
			return errors.New("the death of the killed node was not detected")
		}
	}
	return nil
}
