package sdsoak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/savorydeal/savorydeal/internal/sdbench"
	"github.com/savorydeal/savorydeal/internal/sdinvariant"
)

const (
	quickDuration   = 40 * time.Second
	defaultDuration = 5 * time.Minute
	// maxPrinted is the maximum number of findings of each kind that a report
	// prints.
	maxPrinted = 20
)

// RunBenchmark is the soak subcommand of the bench program. Its optional argument
// is the duration of the run.
func RunBenchmark(options sdbench.Options) error {
	duration := defaultDuration
	if options.Quick {
		duration = quickDuration
	}
	if len(options.Arguments) > 0 {
		parsed, err := time.ParseDuration(options.Arguments[0])
		if err != nil {
			return fmt.Errorf("invalid duration of the run %q, want one such as 5m: %w", options.Arguments[0], err)
		}
		duration = parsed
	}
	phases := Plan(NewRandom(options.Seed), duration)
	_, _ = fmt.Fprintf(options.Out, "VM: %s; seed %d, %d phases planned for %v\n\n", sdbench.DescribeVM(), options.Seed, len(phases), duration)
	sdinvariant.SetViolationHandler(func(v sdinvariant.Violation) {
		_, _ = fmt.Fprintf(os.Stderr, "invariant %s violated: %s\n", v.Name, v.Detail)
	})
	started := time.Now()
	log := hclog.New(&hclog.LoggerOptions{Output: os.Stderr, Level: hclog.Error})
	number := 0
	result, err := Run(context.Background(), options.Seed, phases, log, func(phaseResult PhaseResult) {
		number++
		_, _ = fmt.Fprintf(os.Stderr, "phase %d of %d, faults %v, injected %v, recovered in %v\n", number, len(phases), phaseResult.Phase.Faults, phaseResult.Injected, phaseResult.RecoveryTime.Round(time.Millisecond))
	})
	if err != nil {
		return err
	}
	if err := Report(options.Out, result); err != nil {
		return err
	}
	_, _ = fmt.Fprintf(options.Out, "\nran %v\n", time.Since(started).Round(time.Second))
	if len(result.Findings) > 0 {
		return errors.New("the run violated guarantees or failed checks; see the findings in its report")
	}
	return nil
}

// Report prints a result as tables, a summary and the findings.
func Report(w io.Writer, result Result) error {
	if err := sdbench.PrintTable(w, faultRows(result)); err != nil {
		return err
	}
	_, _ = fmt.Fprintln(w)
	rows := [][]string{{"invariant", "evaluated", "broken"}}
	for _, count := range result.Invariants {
		rows = append(rows, []string{string(count.Name), fmt.Sprint(count.Evaluated), fmt.Sprint(count.Violated)})
	}
	if err := sdbench.PrintTable(w, rows); err != nil {
		return err
	}
	_, _ = fmt.Fprintln(w)
	rows = [][]string{{"class", "requests", "completed", "share"}}
	for _, count := range result.Goodput {
		rows = append(rows, []string{
			string(count.Class), fmt.Sprint(count.Requests), fmt.Sprint(count.Completed),
			fmt.Sprintf("%.3f", float64(count.Completed)/float64(count.Requests)),
		})
	}
	if err := sdbench.PrintTable(w, rows); err != nil {
		return err
	}
	_, _ = fmt.Fprintf(w, "\nrequests %d, runs on targets %d; policy changes accepted %d, conflicts %d, failed or unknown %d; the final changes were in force at every node after %v\n",
		len(result.Requests), result.Runs, result.AcceptedChanges, result.ConflictingChanges, result.FailedChanges, result.PropagationTime.Round(time.Millisecond))
	printFindings(w, result.Findings)
	return nil
}

// faultRows returns the column heads and one row for each phase.
func faultRows(result Result) [][]string {
	rows := [][]string{{"faults together", "held s", "fired", "recovered in s"}}
	for _, phaseResult := range result.Phases {
		var kinds, injected []string
		for _, kind := range phaseResult.Phase.Faults {
			kinds = append(kinds, string(kind))
			injected = append(injected, fmt.Sprint(phaseResult.Injected[kind]))
		}
		rows = append(rows, []string{
			strings.Join(kinds, " + "), fmt.Sprintf("%.1f", phaseResult.Phase.Duration.Seconds()), strings.Join(injected, " + "),
			fmt.Sprintf("%.2f", phaseResult.RecoveryTime.Seconds()),
		})
	}
	return rows
}

func printFindings(w io.Writer, findings []Finding) {
	counts := make(map[FindingKind]int)
	for _, finding := range findings {
		counts[finding.Kind]++
		if counts[finding.Kind] <= maxPrinted {
			_, _ = fmt.Fprintf(w, "finding %s: %s\n", finding.Kind, finding.Detail)
		}
	}
	_, _ = fmt.Fprintf(w, "findings=%d", len(findings))
	for kind, count := range counts {
		_, _ = fmt.Fprintf(w, " %s=%d", kind, count)
	}
	_, _ = fmt.Fprintln(w)
}
