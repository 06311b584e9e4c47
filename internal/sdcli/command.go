// Package sdcli implements savorydeal, the operators' command line.
package sdcli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/integrii/flaggy"

	"github.com/savorydeal/savorydeal/internal/sdcommand"
	"github.com/savorydeal/savorydeal/internal/sdoperatorapi"
	"github.com/savorydeal/savorydeal/internal/sdtls"
)

const (
	envAdmin     = "SAVORYDEAL_ADMIN"
	defaultAdmin = "127.0.0.1:7083"
	// callTimeout bounds one request to the admin API, after the wait_ms that the
	// request may have.
	callTimeout = 10 * time.Second
)

type outputFormat string

const (
	outputTable outputFormat = "table"
	outputJSON  outputFormat = "json"
)

// options holds the parsed arguments of all commands.
type options struct {
	admin   string
	output  string
	service string
	// file is the path of a policy; empty for standard input.
	file string
	// expectedVersion is the current version that a change expects: 0 if there
	// must be no policy, -1 to read the newest version before the change.
	expectedVersion int64
	changeID        string
	// wait is the maximum time to wait until a change is in force; 0 does not
	// wait.
	wait time.Duration
	// version is the version to wait for; 0 for the newest.
	version int64

	certificateFile string
	keyFile         string
	authoritiesFile string
	// datagramKeysFile is empty to keep the keys in force.
	datagramKeysFile string
	// key limits the list of unknown outcomes to one key; empty for all.
	key         string
	fingerprint string
}

// command is one subcommand and its implementation.
type command struct {
	sub *flaggy.Subcommand
	run func(ctx context.Context, c *client) error
}

// client runs one command against one node.
type client struct {
	options  options
	security sdtls.PEM
	api      *sdoperatorapi.Client
	stdin    io.Reader
	stdout   io.Writer
	stderr   io.Writer
}

// usageError means that an argument is invalid.
type usageError struct{ text string }

func (e *usageError) Error() string { return e.text }

// laggingError means that a change was accepted but some nodes still run an older
// version.
type laggingError struct{ lagging int }

func (e *laggingError) Error() string {
	return fmt.Sprintf("the change was accepted, but is not in force at %d nodes yet; check again with 'policy wait'", e.lagging)
}

// Run runs one command and returns its exit code.
func Run(arguments []string, environment func(string) (string, bool), stdin io.Reader, stdout, stderr io.Writer) int {
	if len(arguments) > 0 && arguments[0] == explainCommand {
		return runExplain(arguments[1:], stdin, stdout, stderr)
	}
	c := &client{stdin: stdin, stdout: stdout, stderr: stderr}
	parser, commands := newParser(&c.options, environment)
	c.security = securityFromEnvironment(environment)
	if err := parser.ParseArgs(arguments); err != nil {
		_, _ = fmt.Fprintln(stderr, "savorydeal:", err)
		return sdcommand.ExitUsage
	}
	for _, command := range commands {
		if !command.sub.Used {
			continue
		}
		err := c.prepare()
		if err == nil {
			err = command.run(context.Background(), c)
		}
		return report(stderr, err)
	}
	parser.ShowHelpWithMessage("specify a command")
	return sdcommand.ExitUsage
}

// newParser returns the parser and all commands; the parser stores arguments in o.
func newParser(o *options, environment func(string) (string, bool)) (*flaggy.Parser, []command) {
	o.admin = defaultAdmin
	if value, ok := environment(envAdmin); ok {
		o.admin = value
	}
	o.output = string(outputTable)
	o.wait = 4 * time.Second
	o.expectedVersion = -1

	parser := flaggy.NewParser("savorydeal")
	parser.Description = "operate savorydeal through the admin API of any node"
	parser.Version = sdcommand.Version
	parser.String(&o.admin, "a", "admin", "admin address of a node (environment variable "+envAdmin+")")
	parser.String(&o.output, "o", "output", "table or json")
	parser.AdditionalHelpAppend = "\nsavorydeal explain ID | --worst | --day [-- FILE ...] reads nodes' logs and needs no node." +
		"\nExit codes: 0 success, 1 failed without a change, 2 invalid arguments, 3 version conflict, 4 outcome unknown, 5 accepted but not yet in force at all nodes."

	policy := flaggy.NewSubcommand("policy")
	policy.Description = "manage policies: put, get, list, delete, history, wait, status"
	parser.AttachSubcommand(policy, 1)
	commands := policyCommands(o, policy)
	commands = append(commands, outcomeCommands(o, parser)...)
	for _, simple := range []struct {
		name, help string
		run        func(context.Context, *client) error
	}{
		{"status", "show the status of the node, its target and its policies", runStatus},
		{"nodes", "list all nodes in the node's membership view", runNodes},
		{"dump", "show the state of the node as JSON", runDump},
	} {
		sub := flaggy.NewSubcommand(simple.name)
		sub.Description = simple.help
		parser.AttachSubcommand(sub, 1)
		commands = append(commands, command{sub: sub, run: simple.run})
	}
	security := flaggy.NewSubcommand("security")
	security.Description = "manage the certificates of the node: show, replace"
	parser.AttachSubcommand(security, 1)
	commands = append(commands, securityCommands(o, security)...)
	return parser, commands
}

func policyCommands(o *options, policy *flaggy.Subcommand) []command {
	add := func(name, help string) *flaggy.Subcommand {
		sub := flaggy.NewSubcommand(name)
		sub.Description = help
		policy.AttachSubcommand(sub, 1)
		return sub
	}
	list := add("list", "list the policies in force at the node")
	get := add("get", "show one policy as stored in the platform")
	get.AddPositionalValue(&o.service, "SERVICE", 1, true, "service of the policy")
	history := add("history", "show the newest changes of one policy")
	history.AddPositionalValue(&o.service, "SERVICE", 1, true, "service of the policy")
	put := add("put", "create or replace a policy and wait until it is in force")
	put.AddPositionalValue(&o.file, "FILE", 1, false, "JSON file of the policy; default standard input")
	remove := add("delete", "delete a policy")
	remove.AddPositionalValue(&o.service, "SERVICE", 1, true, "service of the policy")
	wait := add("wait", "wait until a version is in force")
	wait.AddPositionalValue(&o.service, "SERVICE", 1, true, "service of the policy")
	wait.Int64(&o.version, "v", "at-least", "version to wait for; default the newest")
	status := add("status", "count the nodes at which each policy, or one policy, is in force")
	status.AddPositionalValue(&o.service, "SERVICE", 1, false, "service of the policy; default all")
	for _, change := range []*flaggy.Subcommand{put, remove} {
		change.Int64(&o.expectedVersion, "e", "expected", "current version that the change expects, 0 if there is no policy; default the newest")
		change.String(&o.changeID, "i", "change-id", "ID of the change; a repeat with the same ID has no effect; default a new one")
	}
	for _, change := range []*flaggy.Subcommand{put, remove, wait} {
		change.Duration(&o.wait, "w", "wait", "maximum time to wait until the change is in force; 0s does not wait")
	}
	return []command{
		{list, runList},
		{get, runGet},
		{history, runHistory},
		{put, runPut},
		{remove, runDelete},
		{wait, runWait},
		{status, runPolicyStatus},
	}
}

// prepare checks the options that all commands share and creates the API client.
func (c *client) prepare() error {
	if format := outputFormat(c.options.output); format != outputTable && format != outputJSON {
		return &usageError{text: fmt.Sprintf("--output %q: use table or json", c.options.output)}
	}
	api, err := c.connect()
	if err != nil {
		return &usageError{text: fmt.Sprintf("--admin %q: %v", c.options.admin, err)}
	}
	c.api = api
	return nil
}

func (c *client) jsonOutput() bool {
	return outputFormat(c.options.output) == outputJSON
}

// report prints an error and returns the exit code for it, from which scripts learn
// the outcome of a change.
func report(stderr io.Writer, err error) int {
	if err == nil {
		return sdcommand.ExitOK
	}
	_, _ = fmt.Fprintln(stderr, "savorydeal:", errorText(err))
	var usage *usageError
	var lagging *laggingError
	var problem *sdoperatorapi.ProblemStatusCode
	switch {
	case errors.As(err, &usage):
		return sdcommand.ExitUsage
	case errors.As(err, &lagging):
		return sdcommand.ExitLagging
	case errors.As(err, &problem):
		return problemExitCode(problem)
	default:
		return sdcommand.ExitFailed
	}
}

func problemExitCode(problem *sdoperatorapi.ProblemStatusCode) int {
	switch {
	case problem.StatusCode == http.StatusConflict:
		return sdcommand.ExitConflict
	case problem.Response.Outcome.Or("") == "unknown":
		return sdcommand.ExitUnknown
	default:
		return sdcommand.ExitFailed
	}
}

// errorText returns the detail of a problem answer, or the text of another error.
func errorText(err error) string {
	var problem *sdoperatorapi.ProblemStatusCode
	if !errors.As(err, &problem) {
		return err.Error()
	}
	text := problem.Response.Detail.Or(problem.Response.Title)
	if version, ok := problem.Response.CurrentVersion.Get(); ok {
		text += fmt.Sprintf(" (current version %d)", version)
	}
	return text
}
