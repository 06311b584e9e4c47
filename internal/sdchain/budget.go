// Package sdchain keeps what the calls of one caller's request share: its
// class, its retry budget and its deadline. It does no I/O.
package sdchain

import (
	"fmt"
	"sync"

	"github.com/savorydeal/savorydeal/internal/sdinvariant"
)

// Budget is the retries that one call and everything below it may spend. All
// onward calls of a run share it, so that parallel branches cannot each spend
// the same remainder. It is safe for concurrent use.
type Budget struct {
	mu      sync.Mutex
	granted int
	left    int
}

// NewBudget returns a budget of n retries.
func NewBudget(n int) *Budget {
	return &Budget{granted: n, left: n}
}

// TakeRetry charges one retry and reports whether there was one.
func (b *Budget) TakeRetry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.left == 0 {
		return false
	}
	b.left--
	return true
}

// Grant sets retries aside for an onward call: half of what is left, rounded
// up. The other half stays for parallel branches and this node's own retries.
func (b *Budget) Grant() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	granted := (b.left + 1) / 2
	b.left -= granted
	return granted
}

// Return gives back what an onward call has not spent of its grant. A call
// whose answer was lost returns nothing: what is unknown counts as spent.
func (b *Budget) Return(granted, spent int) {
	unspent := granted - spent
	if unspent <= 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.left += unspent
	left, all := b.left, b.granted
	sdinvariant.RetryBound.Check(left <= all, func() string { return fmt.Sprintf("%d retries left of %d granted", left, all) })
}

// Spent returns the retries that are spent or still out with onward calls.
func (b *Budget) Spent() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.granted - b.left
}
