// Command savorydeal-node runs one node. With the argument "sidecar" it runs the
// node as a sidecar of the users' platform.
package main

import (
	"os"

	"github.com/savorydeal/savorydeal/internal/sdcommand"
)

func main() {
	arguments := os.Args[1:]
	if len(arguments) > 0 && arguments[0] == "sidecar" {
		if code, handled := sdcommand.SidecarArguments(arguments[1:], os.Stdout, os.Stderr); handled {
			os.Exit(code)
		}
		os.Exit(sdcommand.RunSidecar(os.LookupEnv, os.Stdout, os.Stderr))
	}
	os.Exit(sdcommand.RunNode(arguments, os.LookupEnv, os.Stderr))
}
