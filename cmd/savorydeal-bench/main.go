// Command savorydeal-bench measures the system with small stand-ins for
// platform, targets and callers.
package main

import (
	"os"

	"github.com/savorydeal/savorydeal/internal/sdbenchpath"
	"github.com/savorydeal/savorydeal/internal/sdbenchtruth"
	"github.com/savorydeal/savorydeal/internal/sdcommand"
	"github.com/savorydeal/savorydeal/internal/sddemo"
)

func main() {
	os.Exit(sdcommand.RunBench(os.Args[1:], []sdcommand.Measure{
		{Name: "demo", Help: "the whole path once, with its answers shown", Run: sddemo.Run},
		{Name: "path", Help: "time that the path of nodes adds to a call", Run: sdbenchpath.Run},
		{Name: "truth", Help: "what callers are told against what targets did, under faults", Run: sdbenchtruth.Run},
	}, os.Stdout, os.Stderr))
}
