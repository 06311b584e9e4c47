// Package sdbenchoverload measures which requests complete under overload:
// deployments with chains of services on loopback, with slow services, surges
// and losses, judged by the ledgers of callers and targets alone.
package sdbenchoverload

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/semaphore"

	"github.com/savorydeal/savorydeal/internal/sdbench"
	"github.com/savorydeal/savorydeal/internal/sdstandtarget"
)

const (
	// parallelWeight bounds the runs that share the machine at a time.
	parallelWeight = 7
	// baselineWeight and baselineMost keep what runs without control within
	// the machine.
	baselineWeight = 3
	baselineMost   = 3
	// collapsed is the goodput that the baseline without control must fall
	// below in at least one scenario, or the scenarios are too soft.
	collapsed = 0.5
)

// job is one run to do.
type job struct {
	shape    shape
	scenario scenario
	variant  variant
}

// Run measures the default control over all scenarios with two baselines; with
// the word "plots=FOLDER" it writes plots beside the tables, and with the word
// "ablation" it measures the default against single mechanisms
// exchanged or switched off.
func Run(options sdbench.Options) error {
	timing := fullTiming()
	if options.Quick {
		timing = quickTiming()
	}
	ablation := slices.Contains(options.Arguments, "ablation")
	jobs := measureJobs(options.Quick)
	if ablation {
		jobs = ablationJobs(options.Arguments)
	}
	before, meter := loadAverage(), startLagMeter()
	results, err := measureAll(jobs, timing, options.Seed)
	if err != nil {
		return err
	}
	if folder := plotFolder(options.Arguments); folder != "" {
		if err := drawPlots(folder, results); err != nil {
			return err
		}
	}
	late, latest := meter.end()
	_, _ = fmt.Fprintf(options.Out, "machine load %s before, %s after; sleepers woke late by %v (p99), %v (most)\n", before, loadAverage(), late, latest)
	if ablation {
		return reportAblation(options, timing, results)
	}
	return report(options, timing, results)
}

func measureJobs(quick bool) []job {
	var jobs []job
	for _, scenario := range scenarios() {
		for _, shape := range shapes() {
			jobs = append(jobs, job{shape, scenario, controlled()})
		}
	}
	for _, variant := range baselines() {
		for _, scenario := range scenarios() {
			if !baselineScenario(scenario) || (quick && scenario.name != "slow_surge") {
				continue
			}
			scenario.weight = baselineWeight
			jobs = append(jobs, job{khangai(), scenario, variant})
		}
	}
	return jobs
}

// baselineScenario reports whether a baseline is run: a surge of ten times
// without control needs more open files than one process has.
func baselineScenario(s scenario) bool {
	return !s.closed && !s.misled && !s.cut && !s.lost && s.surge <= baselineMost
}

// ablationJobs are all variants on the first shape, or those named.
func ablationJobs(names []string) []job {
	var jobs []job
	for _, variant := range ablations() {
		if len(names) > 1 && !slices.Contains(names, variant.name) && variant.name != controlled().name {
			continue
		}
		for _, scenario := range scenarios() {
			jobs = append(jobs, job{khangai(), scenario, variant})
		}
	}
	return jobs
}

// measureAll runs the jobs, several at a time, and returns their results in
// the order of the jobs.
func measureAll(jobs []job, timing timing, seed uint64) ([]result, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	weights := semaphore.NewWeighted(parallelWeight)
	results := make([]result, len(jobs))
	errs := make([]error, len(jobs))
	var wait sync.WaitGroup
	for i, job := range jobs {
		if err := weights.Acquire(ctx, job.scenario.weight); err != nil {
			return nil, fmt.Errorf("wait for the machine: %w", err)
		}
		wait.Add(1)
		go func() {
			defer wait.Done()
			defer weights.Release(job.scenario.weight)
			measured, err := measureOne(ctx, job, timing.of(job.scenario), seed)
			if err != nil {
				cancel()
				errs[i] = fmt.Errorf("%s %s %s: %w", job.shape.name, job.scenario.name, job.variant.name, err)
				return
			}
			results[i] = measured.judge()
		}()
	}
	wait.Wait()
	for _, err := range errs {
		if err != nil {
			return nil, err
		}
	}
	return results, nil
}

func measureOne(ctx context.Context, job job, timing timing, seed uint64) (*run, error) {
	b, err := newBed(ctx, job.shape, job.variant, job.scenario.misled, seed)
	if err != nil {
		return nil, err
	}
	defer b.close()
	l := &load{
		bed:    b,
		random: rand.New(rand.NewPCG(seed, 2)),
		rate:   calmUse * job.shape.capacity() / job.shape.bound(),
		factor: job.scenario.factor(timing),

		targetsFail: job.scenario.lost || job.scenario.cut || job.scenario.misled,
	}
	start := time.Now()
	faults := make(chan error, 1)
	go func() { faults <- b.trigger(job.scenario, timing, start) }()
	if job.scenario.closed {
		l.runClosed(ctx, start, job.scenario, timing)
	} else {
		l.run(ctx, start, timing.total())
	}
	if err := <-faults; err != nil {
		return nil, err
	}
	return &run{
		shape:    job.shape,
		scenario: job.scenario,
		variant:  job.variant,
		timing:   timing,
		start:    start,
		entries:  l.entries,
		runs:     b.ledgers(),
		blocked:  b.blocked.Load(),
	}, nil
}

// trigger turns the faults of a scenario on and off; demand is the callers'.
func (b *bed) trigger(s scenario, t timing, start time.Time) error {
	for _, on := range s.triggers(t) {
		time.Sleep(time.Until(start.Add(on.from)))
		b.apply(s)
		time.Sleep(time.Until(start.Add(on.to)))
		if err := b.lift(s); err != nil {
			return err
		}
	}
	return nil
}

func (b *bed) ledgers() map[string][]sdstandtarget.Run {
	runs := make(map[string][]sdstandtarget.Run)
	for _, v := range b.vms {
		for _, target := range append(v.ended, v.target) {
			runs[v.service.name] = append(runs[v.service.name], target.Ledger.Runs()...)
		}
	}
	return runs
}
