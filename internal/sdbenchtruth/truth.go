// Package sdbenchtruth compares the answers to callers with the runs on targets.
// It injects faults into targets, nodes, links and the platform while callers
// send requests with and without keys, and counts the differences between the
// callers' ledger and the targets'. It also measures the cost of keyed calls.
package sdbenchtruth

import (
	"errors"
	"fmt"
	"time"

	"github.com/savorydeal/savorydeal/internal/sdbench"
)

const (
	quickFaultTime = 12 * time.Second
	fullFaultTime  = 60 * time.Second
	quickCostTime  = 2 * time.Second
	fullCostTime   = 15 * time.Second
)

// Run runs the benchmark.
func Run(options sdbench.Options) error {
	faultTime, costTime := fullFaultTime, fullCostTime
	if options.Quick {
		faultTime, costTime = quickFaultTime, quickCostTime
	}
	_, _ = fmt.Fprintf(options.Out, "VM: %s; seed %d\n\n", sdbench.DescribeVM(), options.Seed)
	faults, err := runFaults(options, faultTime)
	if err != nil {
		return fmt.Errorf("faults: %w", err)
	}
	if err := faults.print(options.Out); err != nil {
		return err
	}
	unresponsiveLinks, err := runUnresponsiveLinks(options)
	if err != nil {
		return fmt.Errorf("unresponsive links: %w", err)
	}
	if err := unresponsiveLinks.print(options.Out); err != nil {
		return err
	}
	attempts, err := runAttempts(options)
	if err != nil {
		return fmt.Errorf("attempts: %w", err)
	}
	if err := printAttempts(options.Out, attempts); err != nil {
		return err
	}
	costs, err := runCosts(options, costTime)
	if err != nil {
		return fmt.Errorf("costs: %w", err)
	}
	if err := printCosts(options.Out, costs); err != nil {
		return err
	}
	overBound := faults.attemptsOverBound
	for _, result := range attempts {
		overBound += result.overBound
	}
	err = sdbench.PrintSummary(options.Out, []sdbench.SummaryValue{
		{Name: "double_runs", Value: float64(faults.doubleRuns + unresponsiveLinks.doubleRuns)},
		{Name: "false_not_run", Value: float64(faults.falseNotRun)},
		{Name: "crossed_answers", Value: float64(faults.crossed + unresponsiveLinks.crossed)},
		{Name: "short_answers", Value: float64(faults.short)},
		{Name: "attempts_over_bound", Value: float64(overBound)},
		{Name: "faults_fired", Value: float64(faults.injectedFaults() + unresponsiveLinks.injectedFaults)},
		{Name: "silent_link_s", Value: unresponsiveLinks.maxDelay.Seconds()},
	})
	if err != nil {
		return err
	}
	return errors.Join(faults.check(), unresponsiveLinks.check(), checkAttempts(overBound))
}

func checkAttempts(overBound int) error {
	if overBound > 0 {
		return fmt.Errorf("%d requests had more attempts than their policy allows", overBound)
	}
	return nil
}
