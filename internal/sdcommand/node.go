// Package sdcommand implements the commands savorydeal-node and savorydeal-bench,
// and the exit codes of all programs.
package sdcommand

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/hashicorp/go-hclog"
	"github.com/integrii/flaggy"

	"github.com/savorydeal/savorydeal/internal/sdclock"
	"github.com/savorydeal/savorydeal/internal/sdinvariant"
	"github.com/savorydeal/savorydeal/internal/sdnode"
	"github.com/savorydeal/savorydeal/internal/sdsettings"
)

// Version is the version of the programs. The build sets it.
var Version = "0.1.0"

// Exit codes of the programs.
const (
	ExitOK = 0
	// ExitFailed means that the program failed; a policy change was not made.
	ExitFailed = 1
	// ExitUsage means that the arguments or settings are invalid.
	ExitUsage = 2
	// ExitConflict means that a change was not made because of a conflict,
	// usually because the current version is not the expected one.
	ExitConflict = 3
	// ExitUnknown means that the outcome of a change is unknown.
	ExitUnknown = 4
	// ExitLagging means that a change was accepted but is not yet in force at
	// all reachable nodes.
	ExitLagging = 5
	// ExitForced means that a second signal ended the node during its stop.
	ExitForced = 6
	// ExitStopTimeout means that the stop timeout ended while work was in flight.
	ExitStopTimeout = 7
)

const (
	// gcPercent trades memory for processor time: the live heap of a node is
	// small compared with what it allocates for the calls that it forwards.
	gcPercent = 400
	// memoryLimitBytes is the soft limit above which the garbage collector runs
	// more often. It is well below the 256 MB that a node may use.
	memoryLimitBytes = 192 << 20
)

// RunNode runs savorydeal-node and returns its exit code.
func RunNode(arguments []string, environment func(string) (string, bool), stderr io.Writer) int {
	ctx, stop := stopSignals(stderr)
	defer stop()
	settings, errs := readSettings(arguments, environment)
	if len(errs) > 0 {
		for _, settingError := range errs {
			_, _ = fmt.Fprintln(stderr, "savorydeal-node:", settingError)
		}
		return ExitUsage
	}
	log := NewLogger("savorydeal-node", settings.LogLevel, stderr)
	seed, err := sdnode.NewSeed()
	if err != nil {
		log.Error("node failed", "error", err)
		return ExitFailed
	}
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(memoryLimitBytes)
	sdinvariant.SetViolationHandler(func(v sdinvariant.Violation) {
		log.Error("invariant violated", "invariant", string(v.Name), "detail", v.Detail)
	})
	node := sdnode.New(settings, Version, seed, sdclock.System{}, log)
	err = node.Run(ctx)
	switch {
	case errors.Is(err, sdnode.ErrStopTimeout):
		log.Error("stop timeout exceeded, work in flight was cut off", "error", err)
		return ExitStopTimeout
	case err != nil:
		log.Error("node failed", "error", err)
		return ExitFailed
	}
	return ExitOK
}

// NewLogger returns a logger that writes one line of key=value pairs for each
// event.
func NewLogger(name, level string, w io.Writer) hclog.Logger {
	return hclog.New(&hclog.LoggerOptions{
		Name:              name,
		Level:             hclog.LevelFromString(level),
		Output:            w,
		IndependentLevels: true,
	})
}

// stopSignals returns a context that the first signal or the returned function
// cancels. The second signal ends the process immediately, even if the stop hangs.
func stopSignals(stderr io.Writer) (context.Context, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-signals
		cancel()
		<-signals
		_, _ = fmt.Fprintln(stderr, "savorydeal-node: second signal: exiting without a graceful stop")
		os.Exit(ExitForced)
	}()
	return ctx, cancel
}

// readSettings parses the settings. A flag takes precedence over the environment
// variable, which takes precedence over the default.
func readSettings(arguments []string, environment func(string) (string, bool)) (sdsettings.Settings, []sdsettings.Error) {
	parser := flaggy.NewParser("savorydeal-node")
	parser.Description = "overload control node that runs beside one target"
	parser.Version = Version
	parser.AdditionalHelpAppend = "\nEvery flag has an environment variable, such as SAVORYDEAL_PEER_ADDRESS; the flag takes precedence."
	texts := make(map[string]*string)
	for _, setting := range sdsettings.All() {
		text := setting.Default
		if value, ok := environment(setting.Env()); ok {
			text = value
		}
		texts[setting.Flag] = &text
		parser.String(&text, "", setting.Flag, setting.Help)
	}
	if err := parser.ParseArgs(arguments); err != nil {
		return sdsettings.Settings{}, []sdsettings.Error{{Err: err}}
	}
	return sdsettings.Parse(func(setting sdsettings.Setting) string { return *texts[setting.Flag] })
}
