// Package sdbenchfleet measures a fleet of node processes: how fast members,
// deaths, leaving targets and configuration are known everywhere, and what
// that costs a node and the platform.
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
	loss         = 0.02
	pausedFor    = 3 * time.Second
	targets      = 6
	senders      = 3

	// Goals of the issue; the measure prints them beside its figures.
	goalConfig = 4 * time.Second
	goalDetect = 5 * time.Second
)

// sizes are the fleets of the whole measure; arguments after "--" replace
// them.
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
		if err != nil || size < targets+senders+1 {
			return nil, fmt.Errorf("%q is no number of nodes; use one above %d", argument, targets+senders)
		}
		sizes = append(sizes, size)
	}
	return sizes, nil
}

// measured is what one fleet gave.
type measured struct {
	nodes         int
	joinTime      time.Duration
	config        []time.Duration
	leaving       time.Duration
	detect        time.Duration
	suspected     time.Duration
	dead          time.Duration
	falseDeaths   int
	suspicions    int
	cutRequests   int
	requests      int
	sentLater     int
	meanBytes     float64
	maxBytes      float64
	meanCore      float64
	maxCore       float64
	meanRSS       float64
	platformCalls float64
	lost          int
	pauses        int
}

// Run runs the measure.
func Run(options sdbench.Options) error {
	sizes, err := sizes(options)
	if err != nil {
		return err
	}
	calm, changes := fullCalm, fullChanges
	if options.Quick {
		calm, changes = quickCalm, quickChanges
	}
	var all []measured
	for _, size := range sizes {
		one, err := measure(size, calm, changes)
		if err != nil {
			return fmt.Errorf("fleet of %d: %w", size, err)
		}
		all = append(all, one)
	}
	if err := report(options, all); err != nil {
		return err
	}
	return expectFaults(all)
}

// measure takes one fleet through all phases. The node that is killed comes
// last, since its death would be counted with the false ones.
func measure(size int, calm time.Duration, changes int) (measured, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute+time.Duration(size)*time.Second)
	defer cancel()
	f := &fleet{size: size}
	defer f.close()
	for _, phase := range []func(context.Context) error{
		f.start,
		f.startTargets,
		func(ctx context.Context) error { return f.measureCalm(ctx, calm) },
		func(ctx context.Context) error { return f.measureChanges(ctx, changes) },
		f.measurePauses,
		f.measureLeaving,
		f.measureStop,
		f.measureDeath,
	} {
		if err := phase(ctx); err != nil {
			return measured{}, err
		}
	}
	return f.measured, nil
}

// expectFaults fails if the faults that the figures speak of did not strike.
func expectFaults(all []measured) error {
	for _, one := range all {
		switch {
		case one.lost == 0:
			return errors.New("no datagram was lost on purpose; the figures under loss prove nothing")
		case one.pauses == 0:
			return errors.New("no node found itself paused; the figure of false deaths proves nothing")
		case one.requests == 0:
			return errors.New("no request was sent; the figure of cut requests proves nothing")
		case one.detect == 0 || one.dead == 0:
			return errors.New("the killed node was not seen dead")
		}
	}
	return nil
}
