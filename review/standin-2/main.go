package main

import (
	"fmt"
	"os"
)

// Exit codes of a script.
const (
	held   = 0
	broken = 1
	failed = 2
)

func main() {
	cases := map[string]func(record string, trouble bool) int{
		"stale-config": staleConfig, "crashing-request": crashingRequest, "born-back": bornBack, "calls-of-runs": callsOfRuns, "slow-reader": slowReader, "quota-owner": quotaOwner, "other-writer": otherWriter,
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-2 CASE RECORD")
		os.Exit(failed)
	}
	os.Exit(cases[os.Args[1]](os.Args[2], os.Getenv("TROUBLE") != "0"))
}

func cannotRun(err error) int {
	fmt.Fprintln(os.Stderr, "the case can't run:", err)
	return failed
}
