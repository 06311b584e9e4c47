package sdbenchoverload

import (
	"errors"
	"fmt"
	"math"
	"sort"
	"strings"
	"time"

	"github.com/savorydeal/savorydeal"
	"github.com/savorydeal/savorydeal/internal/sdbench"
)

// roundingFactor gives three decimal places.
const roundingFactor = 1000

func round(value float64) float64 {
	return math.Round(value*roundingFactor) / roundingFactor
}

// printConditions prints the VM, the scale and the load of the measurements.
func printConditions(options sdbench.Options, timing timing) {
	_, _ = fmt.Fprintf(options.Out,
		"VM: %s, shared; %v calm, %v overload, %v recovery; up to %d measurements at a time; scale: targets 1:1, slots and connections 1:%d, "+
			"no network latency between data centres; open-loop callers with up to %d attempts that ignore Retry-After; "+
			"calm demand uses %.0f%% of the bottleneck; seed %d\n\n",
		sdbench.DescribeVM(), timing.calm, timing.overload, timing.recovery, maxParallelWeight, slotScale, maxCallerAttempts, 100*calmUtilisation, options.Seed)
}

func columns() []string {
	return []string{
		"shape", "scenario", "control", "important", "total", "free", "critical", "high", "normal", "low",
		"recovery s", "after", "runs calm", "runs overload", "most", "wasted", "fairness", "refused important", "out of order", "reasons",
	}
}

func row(res result) []string {
	cells := []string{
		res.measurement.topology.name, res.measurement.scenario.name, res.measurement.variant.name,
		fmt.Sprintf("%.3f", res.importantGoodput), fmt.Sprintf("%.3f", res.totalGoodput), fmt.Sprintf("%.3f", res.bypassGoodput),
	}
	for _, class := range savorydeal.Classes() {
		counts := res.classes[class]
		cells = append(cells, fmt.Sprintf("%d/%.0f of %d", counts.completed, counts.possible, counts.offered))
	}
	recovery := fmt.Sprintf("%.1f", res.recoveryTime.Seconds())
	if !res.recovered {
		recovery = ">" + recovery
	}
	return append(cells, recovery, fmt.Sprintf("%.2f", res.completedAfter),
		fmt.Sprintf("%.2f", res.runsCalm), fmt.Sprintf("%.2f", res.runsOverload), fmt.Sprint(res.maxRuns),
		fmt.Sprintf("%.2f", res.wastedShare), fmt.Sprintf("%.2f", res.fairness), fmt.Sprint(res.importantRefusals), fmt.Sprint(res.orderViolations),
		formatReasons(res))
}

func formatReasons(res result) string {
	names := make([]string, 0, len(res.reasons))
	for name := range res.reasons {
		names = append(names, string(name))
	}
	sort.Strings(names)
	for i, name := range names {
		names[i] = fmt.Sprintf("%s:%d", name, res.reasons[savorydeal.Reason(name)])
	}
	return strings.Join(names, " ")
}

// worstCase holds the worst value of each figure over several results, and the
// sum of order violations.
type worstCase struct {
	importantGoodput, totalGoodput, runsCalm, fairness float64
	recoveryTime                                       time.Duration
	orderViolations                                    int
}

func newWorstCase() worstCase {
	return worstCase{importantGoodput: 1, totalGoodput: 1, runsCalm: 1, fairness: 1}
}

func (w *worstCase) add(res result) {
	w.importantGoodput = min(w.importantGoodput, res.importantGoodput)
	w.totalGoodput = min(w.totalGoodput, res.totalGoodput)
	w.runsCalm = max(w.runsCalm, res.runsCalm)
	w.fairness = min(w.fairness, res.fairness)
	w.recoveryTime = max(w.recoveryTime, res.recoveryTime)
	w.orderViolations += res.orderViolations
}

// writeReport prints a row for each measurement and the summary line with the worst
// case of the default variant. It returns an error if a fault had no effect or the
// baseline was not overloaded.
func writeReport(options sdbench.Options, timing timing, results []result) error {
	printConditions(options, timing)
	rows := [][]string{columns()}
	defaults := newWorstCase()
	baselineGoodput := 1.0
	var failures []error
	for _, res := range results {
		rows = append(rows, row(res))
		if res.faultErr != nil {
			failures = append(failures, fmt.Errorf("%s %s %s: the fault had no effect: %w",
				res.measurement.topology.name, res.measurement.scenario.name, res.measurement.variant.name, res.faultErr))
		}
		switch res.measurement.variant.name {
		case defaultVariant().name:
			defaults.add(res)
		case baselines()[0].name:
			baselineGoodput = min(baselineGoodput, res.totalGoodput)
		}
	}
	if err := sdbench.PrintTable(options.Out, rows); err != nil {
		return err
	}
	err := sdbench.PrintSummary(options.Out, []sdbench.SummaryValue{
		{Name: "important_goodput", Value: round(defaults.importantGoodput)},
		{Name: "total_goodput", Value: round(defaults.totalGoodput)},
		{Name: "recovery_s", Value: round(defaults.recoveryTime.Seconds())},
		{Name: "attempts_calm", Value: round(defaults.runsCalm)},
		{Name: "order_violations", Value: float64(defaults.orderViolations)},
		{Name: "baseline_goodput", Value: round(baselineGoodput)},
		{Name: "fairness", Value: round(defaults.fairness)},
	})
	if err != nil {
		return err
	}
	if baselineGoodput >= maxBaselineGoodput {
		failures = append(failures, fmt.Errorf("the goodput without overload control fell only to %.2f: the scenarios do not overload the deployment enough", baselineGoodput))
	}
	return errors.Join(failures...)
}

// writeAblationReport prints a table with a row for each measurement, and one with
// the worst case of each variant over its scenarios.
func writeAblationReport(options sdbench.Options, timing timing, results []result) error {
	printConditions(options, timing)
	rows := [][]string{columns()}
	byVariant := make(map[string]*worstCase)
	var names []string
	var failures []error
	for _, res := range results {
		rows = append(rows, row(res))
		if res.faultErr != nil {
			failures = append(failures, fmt.Errorf("%s %s: the fault had no effect: %w", res.measurement.scenario.name, res.measurement.variant.name, res.faultErr))
		}
		name := res.measurement.variant.name
		if byVariant[name] == nil {
			initial := newWorstCase()
			byVariant[name] = &initial
			names = append(names, name)
		}
		byVariant[name].add(res)
	}
	if err := sdbench.PrintTable(options.Out, rows); err != nil {
		return err
	}
	_, _ = fmt.Fprintln(options.Out, "\nWorst case over the scenarios:")
	summary := [][]string{{"control", "important", "total", "recovery s", "runs calm", "fairness", "out of order"}}
	for _, name := range names {
		w := byVariant[name]
		summary = append(summary, []string{
			name, fmt.Sprintf("%.3f", w.importantGoodput), fmt.Sprintf("%.3f", w.totalGoodput), fmt.Sprintf("%.1f", w.recoveryTime.Seconds()),
			fmt.Sprintf("%.2f", w.runsCalm), fmt.Sprintf("%.2f", w.fairness), fmt.Sprint(w.orderViolations),
		})
	}
	if err := sdbench.PrintTable(options.Out, summary); err != nil {
		return err
	}
	return errors.Join(failures...)
}
