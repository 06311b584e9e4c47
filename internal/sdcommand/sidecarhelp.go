package sdcommand

import (
	"fmt"
	"io"

	"github.com/savorydeal/savorydeal/platform"
)

// sidecarHelp lists what the node reads beside the settings file.
const sidecarHelp = `Usage: savorydeal-node sidecar

Runs the node as a sidecar of the users' platform. It has no flags; the settings come from
environment variables:

  %-24s path of the settings file (required); read again when it changes
  %-24s port for metrics and the state dump, from 1 to 65535
                           (default: the last port of the file's internal port range)
  %-24s debug, info, warn or error (default: info)

docs/USERS-PLATFORM.md and docs/SETTINGS.md describe the fields of the file that the node uses.
`

// SidecarArguments handles the arguments after "sidecar". It returns false if there are none,
// so that the node is to be run, and otherwise the exit code.
func SidecarArguments(arguments []string, stdout, stderr io.Writer) (code int, handled bool) {
	if len(arguments) == 0 {
		return 0, false
	}
	if len(arguments) == 1 {
		switch arguments[0] {
		case "-h", "--help", "help":
			_, _ = fmt.Fprintf(stdout, sidecarHelp, platform.SettingsVariable, metricsPortVariable, logLevelVariable)
			return 0, true
		}
	}
	_, _ = fmt.Fprintf(stderr, "savorydeal-node sidecar: unknown argument %q; see savorydeal-node sidecar --help\n", arguments[0])
	return ExitUsage, true
}
