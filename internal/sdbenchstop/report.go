package sdbenchstop

import (
	"fmt"
	"net/http"

	"github.com/savorydeal/savorydeal"
	"github.com/savorydeal/savorydeal/internal/sdbench"
)

// collectResults copies the callers' counts into the results and counts the
// bookings that ran more than once in the targets' ledgers.
func (f *fixture) collectResults() {
	f.tally.mu.Lock()
	defer f.tally.mu.Unlock()
	f.results.CutRequests = f.tally.cut
	f.results.CutCauses = f.tally.cutCauses
	f.results.CompleteAnswers = f.tally.complete[savorydeal.ClassCritical] + f.tally.complete[savorydeal.ClassLow]
	f.results.RefusedCritical = f.tally.refused[savorydeal.ClassCritical]
	f.results.RefusedLow = f.tally.refused[savorydeal.ClassLow]
	f.results.RefusalReasons = f.tally.reasons
	f.results.FailedConnections = f.tally.failedConnections
	f.results.Abandoned = f.tally.abandoned
	runs := make(map[string]int)
	targets := f.replacedTargets
	for _, vm := range f.vms {
		targets = append(targets, vm.target)
	}
	for _, target := range targets {
		for _, run := range target.Ledger.Runs() {
			if run.Method == http.MethodPost {
				runs[run.LedgerID]++
			}
		}
	}
	for _, n := range runs {
		if n > 1 {
			f.results.RepeatedBookings++
		}
	}
}

func report(options sdbench.Options, r Results) error {
	_, _ = fmt.Fprintf(options.Out, "VM: %s; callers send up to %d requests at a time to nodes with and without a target\n\n",
		sdbench.DescribeVM(), callersPerNode*(entryNodeCount+targetCount(options)))
	err := sdbench.PrintTable(options.Out, [][]string{
		{"targets", "stopped nodes", "unclean", "longest stop s", "complete answers", "cut", "refused bookings", "refused views", "unreached", "abandoned requests", "bookings run twice", "last new work after leaving s"},
		{
			fmt.Sprint(targetCount(options)), fmt.Sprint(r.StoppedNodes), fmt.Sprint(r.UncleanStops), fmt.Sprintf("%.1f", r.MaxStop),
			fmt.Sprint(r.CompleteAnswers), fmt.Sprint(r.CutRequests), fmt.Sprint(r.RefusedCritical), fmt.Sprint(r.RefusedLow),
			fmt.Sprint(r.FailedConnections), fmt.Sprint(r.Abandoned), fmt.Sprint(r.RepeatedBookings), fmt.Sprintf("%.3f", r.MaxStartAfterLeaving),
		},
	})
	if err != nil {
		return err
	}
	for reason, n := range r.RefusalReasons {
		_, _ = fmt.Fprintf(options.Out, "refused %s: %d\n", reason, n)
	}
	for _, cause := range r.CutCauses {
		_, _ = fmt.Fprintln(options.Out, "cut", cause)
	}
	err = sdbench.PrintSummary(options.Out, []sdbench.SummaryValue{
		{Name: "cut_requests", Value: float64(r.CutRequests)},
		{Name: "leaving_max_s", Value: r.MaxStartAfterLeaving},
		{Name: "unclean_stops", Value: float64(r.UncleanStops)},
		{Name: "bookings_run_twice", Value: float64(r.RepeatedBookings)},
	})
	if err != nil {
		return err
	}
	if r.CutRequests+r.RepeatedBookings+r.UncleanStops > 0 {
		return fmt.Errorf("%d cut requests, %d bookings run twice, %d unclean stops", r.CutRequests, r.RepeatedBookings, r.UncleanStops)
	}
	return nil
}

func targetCount(options sdbench.Options) int {
	if options.Quick {
		return quickTargets
	}
	return fullTargets
}
