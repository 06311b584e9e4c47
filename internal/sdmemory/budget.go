// Package sdmemory bounds the memory that the requests of all clients hold together.
package sdmemory

import (
	"context"
	"sync/atomic"
	"time"
)

// Budget counts the bytes that requests hold and bounds their sum. It is safe for
// concurrent use. A nil Budget has no bound.
type Budget struct {
	limit int64
	// total bounds several budgets together; nil if there is none.
	total   *Budget
	used    atomic.Int64
	refused atomic.Int64
}

// NewBudget returns a Budget of limit bytes.
func NewBudget(limit int64) *Budget {
	return &Budget{limit: limit}
}

// Within returns a Budget of limit bytes whose bytes also count in total.
func Within(total *Budget, limit int64) *Budget {
	return &Budget{limit: limit, total: total}
}

// Take reports whether n more bytes may be held. If so, they have to be returned.
func (b *Budget) Take(n int64) bool {
	if b == nil {
		return true
	}
	if b.used.Add(n) > b.limit || !b.total.Take(n) {
		b.used.Add(-n)
		b.refused.Add(1)
		return false
	}
	return true
}

// waitInterval is how often Wait checks for room.
const waitInterval = 5 * time.Millisecond

// Wait takes n bytes as soon as there is room for them. It reports false if ctx ends
// first.
func (b *Budget) Wait(ctx context.Context, n int64) bool {
	for !b.Take(n) {
		select {
		case <-time.After(waitInterval):
		case <-ctx.Done():
			return false
		}
	}
	return true
}

// Return gives back n bytes that Take has granted.
func (b *Budget) Return(n int64) {
	if b != nil {
		b.used.Add(-n)
		b.total.Return(n)
	}
}

// Used returns the bytes that are held.
func (b *Budget) Used() int64 { return b.used.Load() }

// Refused returns how often Take has refused.
func (b *Budget) Refused() int64 { return b.refused.Load() }

const (
	// fieldCost is what one header field takes beside its text, in the maps and
	// messages that hold it: 85 to 200 bytes were measured.
	fieldCost = 160
	// freeHeadCost is the part of a head's cost that counts against no budget. Ordinary
	// heads stay below it, so that they are served while large ones are refused.
	freeHeadCost = 16 << 10
)

// HeadCost returns the bytes to take from a budget for a head with this text and
// number of fields.
func HeadCost(textBytes, fields int) int64 {
	return max(0, int64(2*textBytes+fieldCost*fields)-freeHeadCost)
}
