// Package sdinvariant defines the invariants that a node checks at run time, at
// the points where the code could violate them. A violation panics in tests. In
// production it is counted and reported, and the node continues.
package sdinvariant

import (
	"sync/atomic"
	"testing"
)

// Name identifies an invariant in metrics, logs and dumps.
type Name string

// Invariant is one condition that must always hold.
type Invariant struct {
	Name Name
	// Guarantee is the guarantee to users that depends on the condition.
	Guarantee string
	// InjectedFault is the fault that a test injects to show that the check
	// detects it.
	InjectedFault string

	evaluated atomic.Int64
	violated  atomic.Int64
}

// Violation is one failed check of an invariant.
type Violation struct {
	Name Name
	// Detail describes the values that violated the invariant.
	Detail string
}

// Count holds the number of checks of an invariant and how many of them failed.
type Count struct {
	Name      Name
	Evaluated int64
	Violated  int64
}

// injecting is the number of running calls of Detects. While it is positive,
// violations neither panic nor are reported.
var injecting atomic.Int32

// violationHandler is called for every violation; nil if none was set.
var violationHandler atomic.Pointer[func(Violation)]

// SetViolationHandler sets the function that is called for every violation. It
// must return quickly and be safe for concurrent use.
func SetViolationHandler(handler func(Violation)) {
	violationHandler.Store(&handler)
}

// Check evaluates the invariant. detail describes the violation; it is only
// called if holds is false. In a test a violation panics.
func (i *Invariant) Check(holds bool, detail func() string) {
	i.evaluated.Add(1)
	if holds {
		return
	}
	i.violated.Add(1)
	i.reportViolation(detail())
}

// reportViolation calls the violation handler and panics in tests. It does
// nothing while a fault is injected.
func (i *Invariant) reportViolation(detail string) {
	if injecting.Load() > 0 {
		return
	}
	if handler := violationHandler.Load(); handler != nil {
		(*handler)(Violation{Name: i.Name, Detail: detail})
	}
	if testing.Testing() {
		panic("invariant " + string(i.Name) + " violated: " + detail)
	}
}

// Count returns the invariant's counters.
func (i *Invariant) Count() Count {
	return Count{Name: i.Name, Evaluated: i.evaluated.Load(), Violated: i.violated.Load()}
}

// Detects runs code with an injected fault and reports whether a check of the
// invariant failed. Meanwhile violations do not panic, and those of this
// invariant are subtracted from its counter afterwards.
func (i *Invariant) Detects(faulty func()) bool {
	injecting.Add(1)
	defer injecting.Add(-1)
	before := i.violated.Load()
	faulty()
	detected := i.violated.Load() - before
	i.violated.Add(-detected)
	return detected > 0
}

// Counts returns the counters of all invariants.
func Counts() []Count {
	var counts []Count
	for _, invariant := range All() {
		counts = append(counts, invariant.Count())
	}
	return counts
}

// Violations returns the number of failed checks of all invariants.
func Violations() int64 {
	var violations int64
	for _, invariant := range All() {
		violations += invariant.violated.Load()
	}
	return violations
}
