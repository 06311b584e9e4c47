// Command savorydeal-node runs one node.
package main

import (
	"os"

	"github.com/savorydeal/savorydeal/internal/sdcommand"
)

func main() {
	os.Exit(sdcommand.RunNode(os.Args[1:], os.LookupEnv, os.Stderr))
}
