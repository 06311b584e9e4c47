package sdinvariant_test

import (
	"strconv"
	"testing"

	"github.com/savorydeal/savorydeal/internal/sdinvariant"
)

// A check that holds must cost the path next to nothing.
func BenchmarkCheck(b *testing.B) {
	invariant := &sdinvariant.Invariant{Name: "sample"}
	for i := range b.N {
		invariant.Check(i >= 0, func() string { return strconv.Itoa(i) })
	}
}
