// Package sdbench holds what the benchmarks of the bench program share: options,
// tables, the summary line, and the processor time and memory of processes.
package sdbench

import (
	"fmt"
	"io"
	"os"
	"runtime"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/savorydeal/savorydeal"
)

// Options are the options of one benchmark.
type Options struct {
	// Quick shortens the benchmark to at most 50 s.
	Quick bool
	// Seed is the seed of every random choice.
	Seed  uint64
	Clock savorydeal.Clock
	// Out receives the tables and the summary line.
	Out io.Writer
	// Arguments are the arguments after the flags of the subcommand.
	Arguments []string
}

// SummaryValue is one name=value pair of the summary line.
type SummaryValue struct {
	Name  string
	Value float64
}

// PrintSummary prints the last line of a benchmark: name=value pairs separated by
// spaces.
func PrintSummary(w io.Writer, values []SummaryValue) error {
	pairs := make([]string, 0, len(values))
	for _, value := range values {
		pairs = append(pairs, fmt.Sprintf("%s=%s", value.Name, strconv.FormatFloat(value.Value, 'f', -1, 64)))
	}
	_, err := fmt.Fprintln(w, strings.Join(pairs, " "))
	return err
}

// PrintTable prints rows, the first of which holds the column names, as a
// Markdown table.
func PrintTable(w io.Writer, rows [][]string) error {
	table := tabwriter.NewWriter(w, 0, 0, 1, ' ', 0)
	for i, row := range rows {
		_, _ = fmt.Fprintf(table, "| %s\t|\n", strings.Join(row, "\t| "))
		if i == 0 {
			dashes := make([]string, len(row))
			for j := range dashes {
				dashes[j] = "---"
			}
			_, _ = fmt.Fprintf(table, "| %s\t|\n", strings.Join(dashes, "\t| "))
		}
	}
	return table.Flush()
}

// DescribeVM returns the number of cores, the operating system, the
// architecture and the Go version.
func DescribeVM() string {
	return fmt.Sprintf("%d cores, %s/%s, %s", runtime.NumCPU(), runtime.GOOS, runtime.GOARCH, runtime.Version())
}

// clockTicksPerSecond is the frequency of the clock ticks in which Linux reports
// processor time in /proc.
const clockTicksPerSecond = 100

// ProcessUsage is the processor time that a process has used since its start, and
// its current resident memory.
type ProcessUsage struct {
	CPU      time.Duration
	RSSBytes int64
}

// ReadUsage reads the resource usage of a process from /proc.
func ReadUsage(pid int) (ProcessUsage, error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return ProcessUsage{}, fmt.Errorf("read resource usage: %w", err)
	}
	// The second field, the name in parentheses, may contain spaces.
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	const userField, systemField, rssField = 11, 12, 21
	if len(fields) <= rssField {
		return ProcessUsage{}, fmt.Errorf("read resource usage of process %d: stat has only %d fields after the name", pid, len(fields))
	}
	user, _ := strconv.ParseInt(fields[userField], 10, 64)
	system, _ := strconv.ParseInt(fields[systemField], 10, 64)
	pages, _ := strconv.ParseInt(fields[rssField], 10, 64)
	return ProcessUsage{
		CPU:      time.Duration(user+system) * time.Second / clockTicksPerSecond,
		RSSBytes: pages * int64(os.Getpagesize()),
	}, nil
}

// Milliseconds formats a duration in milliseconds with two decimal places.
func Milliseconds(d time.Duration) string {
	return fmt.Sprintf("%.2f", float64(d)/float64(time.Millisecond))
}
