package sdcommand

import (
	"fmt"
	"io"
	"os"
	"strconv"

	"github.com/integrii/flaggy"

	"github.com/savorydeal/savorydeal/internal/sdbench"
	"github.com/savorydeal/savorydeal/internal/sdclock"
)

// Benchmark is one subcommand of savorydeal-bench.
type Benchmark struct {
	Name string
	Help string
	Run  func(sdbench.Options) error
}

const defaultSeed = 1

// RunBench runs savorydeal-bench and returns its exit code. The undocumented
// subcommands "node" and "sidecar" run a node, so that a benchmark can start nodes
// as processes of the same program.
func RunBench(arguments []string, benchmarks []Benchmark, stdout, stderr io.Writer) int {
	if len(arguments) > 0 && arguments[0] == "node" {
		return RunNode(arguments[1:], os.LookupEnv, stderr)
	}
	if len(arguments) == 1 && arguments[0] == "sidecar" {
		return RunSidecar(os.LookupEnv, stdout, stderr)
	}
	parser := flaggy.NewParser("savorydeal-bench")
	parser.Description = "run a benchmark with stand-ins for the platform, targets and callers"
	parser.Version = Version
	quick := false
	seed := strconv.Itoa(defaultSeed)
	subs := make([]*flaggy.Subcommand, 0, len(benchmarks))
	for _, benchmark := range benchmarks {
		sub := flaggy.NewSubcommand(benchmark.Name)
		sub.Description = benchmark.Help
		sub.Bool(&quick, "q", "quick", "run a shorter benchmark of at most 50 s")
		sub.String(&seed, "s", "seed", "seed of the random number generators")
		parser.AttachSubcommand(sub, 1)
		subs = append(subs, sub)
	}
	if err := parser.ParseArgs(arguments); err != nil {
		_, _ = fmt.Fprintln(stderr, "savorydeal-bench:", err)
		return ExitUsage
	}
	parsedSeed, err := strconv.ParseUint(seed, 10, 64)
	if err != nil {
		_, _ = fmt.Fprintf(stderr, "savorydeal-bench: --seed %q: use an integer from 0 to 2^64-1\n", seed)
		return ExitUsage
	}
	for i, sub := range subs {
		if !sub.Used {
			continue
		}
		options := sdbench.Options{
			Quick: quick, Seed: parsedSeed, Clock: sdclock.System{}, Out: stdout, Arguments: parser.TrailingArguments,
		}
		if err := benchmarks[i].Run(options); err != nil {
			_, _ = fmt.Fprintf(stderr, "savorydeal-bench %s: %v\n", benchmarks[i].Name, err)
			return ExitFailed
		}
		return ExitOK
	}
	parser.ShowHelpWithMessage("specify a benchmark")
	return ExitUsage
}
