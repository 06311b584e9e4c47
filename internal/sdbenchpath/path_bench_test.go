package sdbenchpath

import (
	"context"
	"testing"
)

// BenchmarkCall is one look-up through two nodes, all within one process.
func BenchmarkCall(b *testing.B) {
	bed, err := newBed(false)
	if err != nil {
		b.Fatal(err)
	}
	defer bed.close()
	b.ReportAllocs()
	for b.Loop() {
		if result := bed.through.Send(context.Background(), lookup()); !result.Complete() {
			b.Fatalf("no complete answer: %+v", result)
		}
	}
}
