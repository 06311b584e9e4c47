// Package sdchain keeps the state that all calls of one caller's request share:
// their class, retry budget and deadline. It does no I/O.
package sdchain

import (
	"fmt"
	"sync"

	"github.com/savorydeal/savorydeal/internal/sdinvariant"
)

// Budget is the number of retries that one call and its downstream calls may make.
// All onward calls of a run share it, so that parallel calls cannot each spend the
// same remainder. It is safe for concurrent use.
type Budget struct {
	mu        sync.Mutex
	granted   int
	remaining int
}

// NewBudget returns a budget of n retries.
func NewBudget(n int) *Budget {
	return &Budget{granted: n, remaining: n}
}

// TakeRetry charges one retry to the budget. It reports false if none is left.
func (b *Budget) TakeRetry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.remaining == 0 {
		return false
	}
	b.remaining--
	return true
}

// Grant reserves retries for an onward call and returns their number: half of the
// remaining ones, rounded up. The other half is left for parallel onward calls and
// for this node's own retries.
func (b *Budget) Grant() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	granted := (b.remaining + 1) / 2
	b.remaining -= granted
	return granted
}

// Return adds the unspent part of an onward call's grant back to the budget. It is
// not called for a call whose answer was lost: its grant counts as spent.
func (b *Budget) Return(granted, spent int) {
	unspent := granted - spent
	if unspent <= 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.remaining += unspent
	remaining, total := b.remaining, b.granted
	sdinvariant.RetryBound.Check(remaining <= total, func() string { return fmt.Sprintf("%d retries left of %d granted", remaining, total) })
}

// Spent returns the number of retries that are spent or still granted to running
// onward calls.
func (b *Budget) Spent() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.granted - b.remaining
}
