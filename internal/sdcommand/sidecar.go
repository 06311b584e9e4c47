package sdcommand

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"os/signal"
	"runtime/debug"
	"strconv"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/savorydeal/savorydeal/internal/sdclock"
	"github.com/savorydeal/savorydeal/internal/sdinvariant"
	"github.com/savorydeal/savorydeal/internal/sdlogpipe"
	"github.com/savorydeal/savorydeal/internal/sdsidecar"
	"github.com/savorydeal/savorydeal/platform"
)

// memoryLimitFraction is the fraction of the platform's memory limit above which the
// garbage collector runs more often.
const memoryLimitFraction = 0.6

// metricsPortVariable is the environment variable with the port of the metrics
// address. Without it, the last port of the internal port range serves metrics.
const metricsPortVariable = "SAVORYDEAL_METRICS_PORT"

// logLevelVariable is the environment variable with the log level.
const logLevelVariable = "SAVORYDEAL_LOG_LEVEL"

// withPort replaces the port of the address.
func withPort(address, port string) (string, error) {
	number, err := strconv.ParseUint(port, 10, 16)
	if err != nil || number == 0 {
		return "", fmt.Errorf("%q is not a port from 1 to 65535", port)
	}
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return "", fmt.Errorf("metrics address: %w", err)
	}
	return net.JoinHostPort(host, port), nil
}

// logDrainTimeout bounds the wait for the last log lines to be written at the end
// of the process.
const logDrainTimeout = 200 * time.Millisecond

// newIncarnation returns the identifier of this process in its log lines: the start
// time in milliseconds, in base 36.
func newIncarnation() string {
	return strconv.FormatInt(time.Now().UnixMilli(), 36)
}

// RunSidecar runs the node as a sidecar of the users' platform and returns its exit
// code. The settings come from a file whose path the platform sets in the
// environment.
func RunSidecar(environment func(string) (string, bool), stdout, stderr io.Writer) int {
	path, ok := environment(platform.SettingsVariable)
	if !ok {
		_, _ = fmt.Fprintf(stderr, "savorydeal-node sidecar: %s is not set; set it to the path of the settings file\n", platform.SettingsVariable)
		return ExitUsage
	}
	settings, err := platform.ReadSettings(path)
	if err != nil {
		_, _ = fmt.Fprintln(stderr, "savorydeal-node sidecar:", err)
		return ExitUsage
	}
	if port, ok := environment(metricsPortVariable); ok {
		if settings.MetricsAddress, err = withPort(settings.MetricsAddress, port); err != nil {
			_, _ = fmt.Fprintf(stderr, "savorydeal-node sidecar: %s: %v\n", metricsPortVariable, err)
			return ExitUsage
		}
	}
	level, ok := environment(logLevelVariable)
	if !ok {
		level = "info"
	}
	ctx, stop := stopSignals(stderr)
	defer stop()
	// The node must continue when the reader of its log has closed the pipe.
	signal.Ignore(syscall.SIGPIPE)
	pipe := sdlogpipe.New(stdout)
	defer pipe.Close(logDrainTimeout)
	log := NewLogger("savorydeal-node", level, pipe).With("node", settings.Node, "incarnation", newIncarnation())
	sdinvariant.SetViolationHandler(func(v sdinvariant.Violation) {
		log.Error("invariant violated", "invariant", v.Name, "detail", v.Detail)
	})
	debug.SetGCPercent(gcPercent)
	if settings.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryLimitFraction * float64(settings.MemoryBytes)))
	}
	node, err := sdsidecar.New(settings, sdclock.System{}, log)
	if err == nil {
		node.RegisterLogPipeCounters(pipe.Dropped, pipe.Failed)
		err = node.Run(ctx, watchSettings(ctx, path, log))
	}
	if err != nil {
		log.Error("node failed", "error", err)
		return ExitFailed
	}
	return ExitOK
}

// settingsPollInterval is how often the settings file is checked for changes, because
// it may change without a signal.
const settingsPollInterval = 2 * time.Second

// watchSettings reads the settings file again when it has changed and on SIGHUP.
// Settings that are invalid are logged, and the previous ones remain in force.
func watchSettings(ctx context.Context, path string, log hclog.Logger) <-chan platform.Settings {
	changes := make(chan platform.Settings)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	go func() {
		previous, _ := os.ReadFile(path) // ReadSettings has just read it; an error would recur at the next poll
		for {
			signalled := false
			select {
			case <-signals:
				signalled = true
			case <-time.After(settingsPollInterval):
			case <-ctx.Done():
				return
			}
			text, err := os.ReadFile(path)
			if err == nil && !signalled && bytes.Equal(text, previous) {
				continue
			}
			previous = text
			settings, err := platform.ReadSettings(path)
			if err != nil {
				log.Warn("changed settings rejected; the previous ones remain in force", "error", err)
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
