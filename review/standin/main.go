// Command standin plays the cases of the review. It starts the nodes as processes of their
// own and is itself the platform's store, the upstreams and the clients, as the users'
// pages describe them.
//
//	standin CASE RECORD PROGRAM ARGUMENTS...
//
// With TROUBLE=0 in the environment a case is played without its disruption. The exit code
// is 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"errors"
	"fmt"
	"os"
	"time"
)

// play is one case. It returns the breaks of its rule that count.
type play func(w *world, trouble bool) (breaks []string, err error)

var plays = map[string]play{"leave": playLeave, "late": playLate, "large": playLarge, "memory": playMemory, "readers": playReaders}

func main() {
	if len(os.Args) < 4 || plays[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin leave|late|large|memory|readers RECORD PROGRAM ARGUMENTS...")
		os.Exit(2)
	}
	breaks, err := run(plays[os.Args[1]], os.Args[2], os.Args[3:])
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		os.Exit(2)
	case len(breaks) > 0:
		fmt.Println("the rule was broken:", breaks[0])
		os.Exit(1)
	}
	fmt.Println("the rule held")
}

func run(p play, path string, program []string) (breaks []string, err error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	rec := &record{file: file, start: time.Now()}
	w, err := newWorld(rec, program)
	if err != nil {
		return nil, errors.Join(err, file.Close())
	}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.add("with the disruption: %v", trouble)
	breaks, err = p(w, trouble)
	w.close(os.Getenv("KEEP") != "")
	for _, one := range breaks {
		rec.add("BREAK %s", one)
	}
	rec.add("breaks of the rule: %d; error: %v", len(breaks), err)
	return breaks, errors.Join(err, file.Close())
}
