// Command savorydeal operates the system through the admin API of any node.
package main

import (
	"os"

	"github.com/savorydeal/savorydeal/internal/sdcli"
)

func main() {
	os.Exit(sdcli.Run(os.Args[1:], os.LookupEnv, os.Stdin, os.Stdout, os.Stderr))
}
