package sdcommand

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/savorydeal/savorydeal/internal/sdclock"
	"github.com/savorydeal/savorydeal/internal/sdsidecar"
	"github.com/savorydeal/savorydeal/platform"
)

// memoryShare is the part of the platform's memory limit from which the
// collector works harder.
const memoryShare = 0.6

// RunSidecar runs the node of the users' platform. Its settings come from the
// file that the platform names.
func RunSidecar(environment func(string) (string, bool), stdout, stderr io.Writer) int {
	path, ok := environment(platform.SettingsVariable)
	if !ok {
		_, _ = fmt.Fprintf(stderr, "savorydeal-node sidecar: %s is not set: it names the settings file\n", platform.SettingsVariable)
		return ExitUsage
	}
	settings, err := platform.ReadSettings(path)
	if err != nil {
		_, _ = fmt.Fprintln(stderr, "savorydeal-node sidecar:", err)
		return ExitUsage
	}
	level, ok := environment("SAVORYDEAL_LOG_LEVEL")
	if !ok {
		level = "info"
	}
	ctx, stop := stopSignals(stderr)
	defer stop()
	log := NewLogger("savorydeal-node", level, stdout).With("node", settings.Node)
	debug.SetGCPercent(gcPercent)
	if settings.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(settings.MemoryBytes)))
	}
	node, err := sdsidecar.New(settings, sdclock.System{}, log)
	if err == nil {
		err = node.Run(ctx, watchSettings(ctx, path, log))
	}
	if err != nil {
		log.Error("node failed", "error", err)
		return ExitFailed
	}
	return ExitOK
}

// settingsPoll is the time between two looks at the settings file, which may
// change without a signal.
const settingsPoll = 2 * time.Second

// watchSettings reads the settings file again when it has changed, or at a
// signal. One that cannot be read is reported, and the last one holds.
func watchSettings(ctx context.Context, path string, log hclog.Logger) <-chan platform.Settings {
	changes := make(chan platform.Settings)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	go func() {
		last, _ := os.ReadFile(path) // ReadSettings has just read it; a failure shows at the next poll
		for {
			signalled := false
			select {
			case <-signals:
				signalled = true
			case <-time.After(settingsPoll):
			case <-ctx.Done():
				return
			}
			text, err := os.ReadFile(path)
			if err == nil && !signalled && bytes.Equal(text, last) {
				continue
			}
			last = text
			settings, err := platform.ReadSettings(path)
			if err != nil {
				log.Warn("changed settings refused; the last ones hold", "error", err)
				continue
			}
			select {
			case changes <- settings:
			case <-ctx.Done():
				return
			}
		}
	}()
	return changes
}
