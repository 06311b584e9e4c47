// Command savorydeal-bench runs benchmarks and tests of the system with stand-ins
// for the platform, targets and callers.
package main

import (
	"os"

	"github.com/savorydeal/savorydeal/internal/sdbenchfleet"
	"github.com/savorydeal/savorydeal/internal/sdbenchoverload"
	"github.com/savorydeal/savorydeal/internal/sdbenchpath"
	"github.com/savorydeal/savorydeal/internal/sdbenchstop"
	"github.com/savorydeal/savorydeal/internal/sdbenchtruth"
	"github.com/savorydeal/savorydeal/internal/sdcommand"
	"github.com/savorydeal/savorydeal/internal/sddemo"
	"github.com/savorydeal/savorydeal/internal/sdplatformdemo"
	"github.com/savorydeal/savorydeal/internal/sdsoak"
)

func main() {
	if len(os.Args) == 2 && os.Args[1] == sdbenchpath.SpinCommand {
		sdbenchpath.Spin()
	}
	os.Exit(sdcommand.RunBench(os.Args[1:], []sdcommand.Benchmark{
		{Name: "demo", Help: "demonstration of calls along the whole path, with their answers", Run: sddemo.Run},
		{Name: "platform-demo", Help: "demonstration on the users' platform at low load, with nodes as processes", Run: sdplatformdemo.Run},
		{Name: "path", Help: "latency that the nodes add to a call", Run: sdbenchpath.Run},
		{Name: "truth", Help: "answers to callers compared with what targets ran, under injected faults", Run: sdbenchtruth.Run},
		{Name: "fleet", Help: "membership, configuration distribution and their cost for each node", Run: sdbenchfleet.Run},
		{Name: "stop", Help: "requests cut off and new work on leaving targets during planned stops", Run: sdbenchstop.Run},
		{Name: "soak", Help: "randomised test of the whole system; its argument is the duration, such as 5m", Run: sdsoak.RunBenchmark},
		{Name: "overload", Help: "goodput and recovery under overload; -- ablation compares the mechanisms", Run: sdbenchoverload.Run},
	}, os.Stdout, os.Stderr))
}
