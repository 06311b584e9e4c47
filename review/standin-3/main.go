// Standin-3 holds the stand-ins of the cases review/11 to review/15: clients, upstreams, the
// platform and its store, as the pages of the users' platform describe them.
//
//	standin-3 CASE NODE RECORD
//
// NODE is the program of the node. TROUBLE=0 in the environment leaves out the disruption.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// cases holds the function that plays each case, by name. Each file of a case adds its own.
var cases = map[string]func(record string, trouble bool) int{}

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: standin-3 CASE NODE RECORD")
		os.Exit(2)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	play, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case", os.Args[1])
		os.Exit(2)
	}
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		select {
		case <-ended:
		case <-time.After(115 * time.Second): // a script may take 120 s
		}
		cleanUp()
		os.Exit(2)
	}()
	code := play(os.Args[3], trouble)
	cleanUp()
	os.Exit(code)
}
