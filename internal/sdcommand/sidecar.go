package sdcommand

import (
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

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
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	log := NewLogger("savorydeal-node", level, stdout).With("node", settings.Node)
	debug.SetGCPercent(gcPercent)
	if settings.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(settings.MemoryBytes)))
	}
	node, err := sdsidecar.New(settings, sdclock.System{}, log)
	if err == nil {
		err = node.Run(ctx, reload)
	}
	if err != nil {
		log.Error("node failed", "error", err)
		return ExitFailed
	}
	return ExitOK
}
