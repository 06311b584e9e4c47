package sdcli

import (
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/integrii/flaggy"

	"github.com/savorydeal/savorydeal/internal/sdcommand"
	"github.com/savorydeal/savorydeal/internal/sdexplain"
)

// explainCommand is the name of the subcommand that needs no node.
const explainCommand = "explain"

// progressEvery is the number of lines between two lines of progress.
const progressEvery = 1_000_000

// runExplain tells the story of one request, or groups failures by cause, from
// log files or standard input.
func runExplain(arguments []string, stdin io.Reader, stdout, stderr io.Writer) int {
	parser := flaggy.NewParser("savorydeal explain")
	parser.Description = "tell from nodes' log lines what became of a request; files after --, else standard input"
	parser.Version = sdcommand.Version
	request := ""
	worst := false
	parser.AddPositionalValue(&request, "request", 1, false, "id of the request")
	parser.Bool(&worst, "w", "worst", "group failed and refused requests by cause instead")
	if err := parser.ParseArgs(arguments); err != nil {
		_, _ = fmt.Fprintln(stderr, "savorydeal explain:", err)
		return sdcommand.ExitUsage
	}
	if worst == (request != "") {
		_, _ = fmt.Fprintln(stderr, "savorydeal explain: name a request, or ask for --worst")
		return sdcommand.ExitUsage
	}
	story, groups := sdexplain.NewStory(request), sdexplain.NewWorst()
	take, write := story.Take, story.Write
	if worst {
		take, write = groups.Take, groups.Write
	}
	err := readLogs(parser.TrailingArguments, stdin, stderr, take)
	if err = errors.Join(err, write(stdout)); err != nil {
		_, _ = fmt.Fprintln(stderr, "savorydeal explain:", err)
		return sdcommand.ExitFailed
	}
	return sdcommand.ExitOK
}

func readLogs(files []string, stdin io.Reader, stderr io.Writer, take func(sdexplain.Line)) error {
	events := 0
	counted := func(line sdexplain.Line) {
		if events++; events%progressEvery == 0 {
			_, _ = fmt.Fprintf(stderr, "savorydeal explain: %d lines read\n", events)
		}
		take(line)
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

func readLog(name string, take func(sdexplain.Line)) error {
	file, err := os.Open(name)
	if err != nil {
		return fmt.Errorf("open log: %w", err)
	}
	defer func() { _ = file.Close() }()
	if _, err := sdexplain.Read(file, take); err != nil {
		return fmt.Errorf("read %s: %w", name, err)
	}
	return nil
}
