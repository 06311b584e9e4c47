package sdstandtarget

import (
	"sync"
	"time"
)

// HeaderLedgerID is the header that identifies a caller's request in the ledgers of
// callers and targets. Nodes pass it on like any other end-to-end header.
const HeaderLedgerID = "X-Ledger-Id"

// Run records one request that reached a target, from its arrival to its end,
// including its wait for a slot. Requests that the target refused by itself are
// recorded, too.
type Run struct {
	LedgerID string
	Method   string
	Path     string
	Key      string
	Started  time.Time
	Ended    time.Time
	// ServiceTime is the service time drawn for the run, without its onward calls.
	// It is zero for a request that got no slot or that a handler set by
	// SetHandler answered.
	ServiceTime time.Duration
	// Canceled is true if the connection of the request was closed before its end.
	Canceled bool
}

// Ledger records the runs of one target. It is safe for concurrent use.
type Ledger struct {
	mu   sync.Mutex
	runs []Run
}

// begin records a run and returns its index.
func (l *Ledger) begin(run Run) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs = append(l.runs, run)
	return len(l.runs) - 1
}

func (l *Ledger) end(index int, ended time.Time, canceled bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[index].Ended = ended
	l.runs[index].Canceled = canceled
}

func (l *Ledger) setServiceTime(index int, serviceTime time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[index].ServiceTime = serviceTime
}

// Runs returns a copy of all runs.
func (l *Ledger) Runs() []Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Run(nil), l.runs...)
}

// RunCount returns the number of runs of the request with the ledger ID.
func (l *Ledger) RunCount(ledgerID string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	count := 0
	for _, run := range l.runs {
		if run.LedgerID == ledgerID {
			count++
		}
	}
	return count
}
