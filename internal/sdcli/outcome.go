package sdcli

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/integrii/flaggy"

	"github.com/savorydeal/savorydeal/internal/sdoperatorapi"
)

// outcomeCommands returns the commands for calls with an unknown outcome and for
// requests that crash targets.
func outcomeCommands(o *options, parser *flaggy.Parser) []command {
	unknown := flaggy.NewSubcommand("unknown")
	unknown.Description = "list the keyed calls of the last day whose outcome is unknown"
	unknown.AddPositionalValue(&o.service, "SERVICE", 1, true, "called service")
	unknown.String(&o.key, "k", "key", "list only calls with this key")
	parser.AttachSubcommand(unknown, 1)

	poison := flaggy.NewSubcommand("poison")
	poison.Description = "manage requests that crash targets: list, release"
	parser.AttachSubcommand(poison, 1)
	list := flaggy.NewSubcommand("list")
	list.Description = "list the requests that have crashed targets"
	poison.AttachSubcommand(list, 1)
	release := flaggy.NewSubcommand("release")
	release.Description = "let a request run again"
	release.AddPositionalValue(&o.fingerprint, "FINGERPRINT", 1, true, "fingerprint as shown by poison list")
	poison.AttachSubcommand(release, 1)
	return []command{{unknown, runUnknown}, {list, runPoisonList}, {release, runPoisonRelease}}
}

func runUnknown(ctx context.Context, c *client) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	params := sdoperatorapi.ListUnknownOutcomesParams{Service: c.options.service}
	if c.options.key != "" {
		params.Key = sdoperatorapi.NewOptString(c.options.key)
	}
	list, err := c.api.ListUnknownOutcomes(ctx, params)
	if err != nil {
		return err
	}
	if !list.Complete {
		_, _ = fmt.Fprintln(c.stderr, "savorydeal: the platform could not be read completely; outcomes that only the platform holds may be missing")
	}
	if c.jsonOutput() {
		return c.printJSON(list)
	}
	rows := [][]string{{"AT", "KEY", "CALLER", "OPERATION", "REASON", "REQUEST"}}
	for _, outcome := range list.Outcomes {
		rows = append(rows, []string{
			outcome.At.Format(time.RFC3339), outcome.Key, outcome.Caller, outcome.Operation, outcome.Reason, outcome.RequestID,
		})
	}
	return c.printTable(rows)
}

func runPoisonList(ctx context.Context, c *client) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	list, err := c.api.ListPoison(ctx)
	if err != nil {
		return err
	}
	if c.jsonOutput() {
		return c.printJSON(list)
	}
	rows := [][]string{{"FINGERPRINT", "SERVICE", "METHOD", "PATH", "CRASHES", "BLOCKED", "UNTIL"}}
	for _, request := range list.Requests {
		rows = append(rows, []string{
			request.Fingerprint, request.Service, request.Method, request.Path, fmt.Sprint(request.Crashes),
			fmt.Sprint(request.Blocked), request.Until.Format(time.RFC3339),
		})
	}
	return c.printTable(rows)
}

func runPoisonRelease(ctx context.Context, c *client) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	released, err := c.api.ReleasePoison(ctx, sdoperatorapi.ReleasePoisonParams{Fingerprint: c.options.fingerprint})
	if err != nil {
		return err
	}
	if c.jsonOutput() {
		return c.printJSON(released)
	}
	if len(released.Unreachable) > 0 {
		_, _ = fmt.Fprintf(c.stderr, "savorydeal: these nodes could not be reached; release the request again later: %s\n", strings.Join(released.Unreachable, " "))
	}
	_, err = fmt.Fprintf(c.stdout, "%s released at %d nodes\n", released.Fingerprint, released.Told)
	return err
}
