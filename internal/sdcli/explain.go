package sdcli

import (
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/integrii/flaggy"

	"github.com/savorydeal/savorydeal/internal/sdcommand"
	"github.com/savorydeal/savorydeal/internal/sdexplain"
	"github.com/savorydeal/savorydeal/internal/sdreport"
)

// explainCommand is the name of the subcommand that needs no node.
const explainCommand = "explain"

// eventsPerProgressReport is the number of events between two progress reports.
const eventsPerProgressReport = 1_000_000

// runExplain reads logs of nodes from files or standard input. It prints the timeline
// of one request, the failures grouped by cause, or a report on a whole day.
func runExplain(arguments []string, stdin io.Reader, stdout, stderr io.Writer) int {
	parser := flaggy.NewParser("savorydeal explain")
	parser.Description = "explain what happened to a request, from the logs of nodes; log files follow --, default standard input"
	parser.Version = sdcommand.Version
	request := ""
	worst, day := false, false
	parser.AddPositionalValue(&request, "request", 1, false, "ID of the request")
	parser.Bool(&worst, "w", "worst", "group failed and refused requests by cause instead")
	parser.Bool(&day, "d", "day", "write an HTML report with plots of the whole day instead")
	if err := parser.ParseArgs(arguments); err != nil {
		_, _ = fmt.Fprintln(stderr, "savorydeal explain:", err)
		return sdcommand.ExitUsage
	}
	modes := 0
	for _, selected := range []bool{request != "", worst, day} {
		if selected {
			modes++
		}
	}
	if modes != 1 {
		_, _ = fmt.Fprintln(stderr, "savorydeal explain: give either the ID of a request, --worst or --day")
		return sdcommand.ExitUsage
	}
	files := parser.TrailingArguments
	var err error
	switch {
	case worst:
		groups := sdexplain.NewFailureGroups()
		err = errors.Join(readLogs(files, stdin, stderr, groups.Add), groups.Write(stdout))
	case day:
		report := sdreport.NewReport()
		err = errors.Join(readLogs(files, stdin, stderr, report.Add), report.Write(stdout))
	default:
		err = explainRequest(request, files, stdin, stdout, stderr)
	}
	if err != nil {
		_, _ = fmt.Fprintln(stderr, "savorydeal explain:", err)
		return sdcommand.ExitFailed
	}
	return sdcommand.ExitOK
}

// explainRequest prints the timeline of one request. It reads files twice: the first
// pass finds the lines of the request, the second one other events that the nodes
// involved logged at about the same time. Standard input can be read only once.
func explainRequest(request string, files []string, stdin io.Reader, stdout, stderr io.Writer) error {
	timeline := sdexplain.NewTimeline(request)
	if len(files) == 0 {
		return errors.Join(readLogs(nil, stdin, stderr, timeline.Add), timeline.Write(stdout))
	}
	err := readLogs(files, stdin, stderr, func(line sdexplain.Line) { timeline.AddOwn(line) })
	if err != nil {
		return err
	}
	return errors.Join(readLogs(files, stdin, stderr, timeline.AddNearby), timeline.Write(stdout))
}

// readLogs calls add with every event of the files, or of standard input if there are
// no files.
func readLogs(files []string, stdin io.Reader, stderr io.Writer, add func(sdexplain.Line)) error {
	events := 0
	counted := func(line sdexplain.Line) {
		if events++; events%eventsPerProgressReport == 0 {
			_, _ = fmt.Fprintf(stderr, "savorydeal explain: %d events read\n", events)
		}
		add(line)
	}
	if len(files) == 0 {
		_, err := sdexplain.Read(stdin, counted)
		return err
	}
	for _, name := range files {
		if err := readLog(name, counted); err != nil {
			return err
		}
	}
	return nil
}

func readLog(name string, add func(sdexplain.Line)) error {
	file, err := os.Open(name)
	if err != nil {
		return fmt.Errorf("open log: %w", err)
	}
	defer func() { _ = file.Close() }()
	if _, err := sdexplain.Read(file, add); err != nil {
		return fmt.Errorf("read %s: %w", name, err)
	}
	return nil
}
