package sdbenchfleet

import (
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/savorydeal/savorydeal/internal/sdbench"
	"github.com/savorydeal/savorydeal/internal/sdbenchstop"
)

// quantile returns the quantile, in [0, 1], of sorted durations, or 0 of none.
func quantile(sorted []time.Duration, share float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(share*float64(len(sorted))))]
}

func formatSeconds(d time.Duration) string {
	return strconv.FormatFloat(d.Seconds(), 'f', 3, 64)
}

func writeReport(options sdbench.Options, results []clusterResult, stops sdbenchstop.Results) error {
	_, _ = fmt.Fprintf(options.Out, "VM: %s. %.0f%% of all datagrams are dropped on purpose in every phase.\n\n",
		sdbench.DescribeVM(), 100*datagramLoss)
	rows := [][]string{{
		"nodes", "all see all alive (s)", "config p50 (s)", "p99 (s)", "max (s)", "leaving seen by all (s)",
		"dead still routable (s)", "suspect in all views (s)", "dead in all views (s)", "suspicions", "false deaths", "requests", "cut",
		"runs after leaving", "bytes/s mean", "bytes/s max", "core % mean", "core % max", "MB mean", "platform calls/s",
	}}
	for _, result := range results {
		slices.Sort(result.configDelays)
		rows = append(rows, []string{
			strconv.Itoa(result.nodes), formatSeconds(result.joinTime),
			formatSeconds(quantile(result.configDelays, 0.5)), formatSeconds(quantile(result.configDelays, 0.99)), formatSeconds(quantile(result.configDelays, 1)),
			formatSeconds(result.leavingTime), formatSeconds(result.detectTime), formatSeconds(result.suspectTime), formatSeconds(result.deadTime),
			strconv.Itoa(result.suspicions), strconv.Itoa(result.falseDeaths), strconv.Itoa(result.requests), strconv.Itoa(result.cutRequests),
			strconv.Itoa(result.runsAfterLeaving), fmt.Sprintf("%.0f", result.meanBytesPerSecond), fmt.Sprintf("%.0f", result.maxBytesPerSecond),
			fmt.Sprintf("%.2f", result.meanCorePercent), fmt.Sprintf("%.2f", result.maxCorePercent), fmt.Sprintf("%.1f", result.meanRSSBytes/(1<<20)),
			fmt.Sprintf("%.2f", result.platformCallsPerSecond),
		})
	}
	if err := sdbench.PrintTable(options.Out, rows); err != nil {
		return err
	}
	_, _ = fmt.Fprintf(options.Out, "\nGoals: config at most %v, dead still routable at most %v, no false death, no cut request, platform calls independent of the number of nodes.\n",
		configGoal, detectGoal)
	if err := printGrowth(options, results); err != nil {
		return err
	}
	if err := writeStops(options, stops); err != nil {
		return err
	}
	last := results[len(results)-1]
	slices.Sort(last.configDelays)
	return sdbench.PrintSummary(options.Out, []sdbench.SummaryValue{
		{Name: "nodes", Value: float64(last.nodes)},
		{Name: "config_p99_s", Value: quantile(last.configDelays, 0.99).Seconds()},
		{Name: "config_max_s", Value: quantile(last.configDelays, 1).Seconds()},
		{Name: "leaving_max_s", Value: max(last.leavingTime.Seconds(), stops.MaxStartAfterLeaving)},
		{Name: "detect_max_s", Value: last.detectTime.Seconds()},
		{Name: "false_deaths", Value: float64(last.falseDeaths)},
		{Name: "cut_requests", Value: float64(last.cutRequests + stops.CutRequests)},
		{Name: "control_bytes_s", Value: last.maxBytesPerSecond},
		{Name: "control_core_pct", Value: last.maxCorePercent},
		{Name: "platform_calls_s", Value: last.platformCallsPerSecond},
	})
}

// printGrowth prints how the costs of a node and of the platform grow with the number
// of nodes, from the first cluster to the last.
func printGrowth(options sdbench.Options, results []clusterResult) error {
	if len(results) < 2 {
		return nil
	}
	first, last := results[0], results[len(results)-1]
	addedNodes := float64(last.nodes - first.nodes)
	_, err := fmt.Fprintf(options.Out, "\nGrowth from %d to %d nodes, per additional node: %.3f bytes/s, %.5f %% of a core, %.1f kB, %.5f platform calls/s.\n",
		first.nodes, last.nodes,
		(last.meanBytesPerSecond-first.meanBytesPerSecond)/addedNodes, (last.meanCorePercent-first.meanCorePercent)/addedNodes,
		(last.meanRSSBytes-first.meanRSSBytes)/addedNodes/1000, (last.platformCallsPerSecond-first.platformCallsPerSecond)/addedNodes)
	return err
}
