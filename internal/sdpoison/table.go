// Package sdpoison detects poison requests, which crash the targets that run
// them, and blocks them for some time. The package does no I/O.
package sdpoison

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/savorydeal/savorydeal"
)

const (
	// BlockThreshold is the number of crashes at which a request is blocked.
	BlockThreshold = 2
	// BlockDuration is how long a blocked request is refused.
	BlockDuration = 10 * time.Minute
	// SuspectDuration is how long the crashes of a request count after the last
	// one. If its block expires within this time, a single further crash blocks
	// the request again.
	SuspectDuration = time.Hour
	// maxEntries bounds the number of requests in a table. Beyond it, the entry
	// with the oldest last crash is evicted.
	maxEntries = 10_000
	// maxPathBytes bounds the length of the path that is stored for operators.
	maxPathBytes = 256
)

// Fingerprint is a hash of service, caller, method, path, content length and body.
// Requests that differ only in their idempotency key have the same fingerprint.
type Fingerprint uint64

// String returns the fingerprint as 16 hexadecimal digits.
func (f Fingerprint) String() string {
	return fmt.Sprintf("%016x", uint64(f))
}

// ParseFingerprint parses the result of Fingerprint.String.
func ParseFingerprint(text string) (Fingerprint, error) {
	value, err := strconv.ParseUint(text, 16, 64)
	if err != nil {
		return 0, fmt.Errorf("invalid fingerprint %q: use the 16 hexadecimal digits shown in the list of poison requests", text)
	}
	return Fingerprint(value), nil
}

// FingerprintOf returns the fingerprint of a call. caller is empty if targets do not
// distinguish callers. body is the complete body, or only its beginning if the body is
// too large to be buffered.
func FingerprintOf(call savorydeal.Call, caller string, body []byte) Fingerprint {
	digest := xxhash.New()
	_, _ = digest.WriteString(call.Service + "\x00" + caller + "\x00" + call.Method + "\x00" + call.Path + "\x00")
	_, _ = digest.WriteString(strconv.FormatInt(call.ContentLength, 10) + "\x00")
	_, _ = digest.Write(body)
	return Fingerprint(digest.Sum64())
}

// Crash is the crash of a target while it ran a request.
type Crash struct {
	Fingerprint Fingerprint
	Service     string
	Method      string
	Path        string
	// Node is the node of the target.
	Node savorydeal.NodeID
	// RanFor is how long the request had run when the crash ended it. A request
	// that started before the last counted crash of the node was ended by that
	// same crash, which is not counted again.
	RanFor time.Duration
}

// Entry describes one suspected or blocked request.
type Entry struct {
	Fingerprint Fingerprint
	Service     string
	Method      string
	Path        string
	Crashes     int
	// Blocked is true while the request is refused. Otherwise the request is
	// suspected: it may run, but further crashes can block it.
	Blocked bool
	// Until is the time at which the block ends or, for a suspected request, the
	// suspicion.
	Until time.Time
}

type entry struct {
	// crash is the first crash of the request.
	crash   Crash
	crashes int
	// lastCrashByNode holds the time of the last counted crash per node.
	lastCrashByNode map[savorydeal.NodeID]time.Time
	lastCrash       time.Time
	// blockedUntil is zero if the request has not been blocked yet.
	blockedUntil time.Time
}

// Table holds the requests that have crashed a target. It is safe for
// concurrent use. While it is empty, a check costs one atomic read.
type Table struct {
	// size is the number of entries.
	size atomic.Int64

	mu      sync.Mutex
	entries map[Fingerprint]*entry
}

// New returns an empty table.
func New() *Table {
	return &Table{entries: make(map[Fingerprint]*entry)}
}

// RecordCrash counts a crash. It reports false if the crash was counted before.
func (t *Table) RecordCrash(now time.Time, crash Crash) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[crash.Fingerprint]
	if e == nil {
		t.evictOldest()
		crash.Path = crash.Path[:min(len(crash.Path), maxPathBytes)]
		e = &entry{crash: crash, lastCrashByNode: make(map[savorydeal.NodeID]time.Time)}
		t.entries[crash.Fingerprint] = e
	}
	last, seen := e.lastCrashByNode[crash.Node]
	if seen && !now.Add(-crash.RanFor).After(last) {
		return false
	}
	if now.Sub(e.lastCrash) > SuspectDuration && e.crashes > 0 {
		e.crashes = 0
	}
	e.lastCrashByNode[crash.Node] = now
	e.lastCrash = now
	e.crashes++
	if e.crashes >= BlockThreshold {
		e.blockedUntil = now.Add(BlockDuration)
	}
	t.size.Store(int64(len(t.entries)))
	return true
}

// evictOldest deletes the entry with the oldest last crash if the table is full.
// The caller must hold mu.
func (t *Table) evictOldest() {
	if len(t.entries) < maxEntries {
		return
	}
	var oldest Fingerprint
	var oldestCrash time.Time
	for fingerprint, e := range t.entries {
		if oldestCrash.IsZero() || e.lastCrash.Before(oldestCrash) {
			oldest, oldestCrash = fingerprint, e.lastCrash
		}
	}
	delete(t.entries, oldest)
}

// Empty reports whether the table has no entries. Then requests need no
// fingerprint.
func (t *Table) Empty() bool {
	return t.size.Load() == 0
}

// Check returns the refusal of a blocked request, or nil if the request may run.
func (t *Table) Check(now time.Time, fingerprint Fingerprint) *savorydeal.Refusal {
	if t.size.Load() == 0 {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[fingerprint]
	if e == nil || !now.Before(e.blockedUntil) {
		return nil
	}
	return &savorydeal.Refusal{
		Outcome:    savorydeal.OutcomeNotRun,
		Reason:     savorydeal.ReasonPoison,
		Detail:     fmt.Sprintf("requests like this one have crashed targets %d times; correct the request, or ask an operator to release fingerprint %s", e.crashes, fingerprint),
		RetryAfter: e.blockedUntil.Sub(now),
	}
}

// RecordSuccess deletes the entry of a request that a target has answered, since
// the request does not crash every target. It reports whether the request had an
// entry.
func (t *Table) RecordSuccess(fingerprint Fingerprint) bool {
	if t.size.Load() == 0 {
		return false
	}
	return t.Release(fingerprint)
}

// Release deletes the entry of a request, which ends its block. It reports
// whether the request had an entry.
func (t *Table) Release(fingerprint Fingerprint) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, ok := t.entries[fingerprint]
	delete(t.entries, fingerprint)
	t.size.Store(int64(len(t.entries)))
	return ok
}

// Expire deletes the entries of requests whose last crash is older than
// SuspectDuration plus BlockDuration.
func (t *Table) Expire(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for fingerprint, e := range t.entries {
		if now.Sub(e.lastCrash) > SuspectDuration+BlockDuration {
			delete(t.entries, fingerprint)
		}
	}
	t.size.Store(int64(len(t.entries)))
}

// List returns all entries, those with the most recent crash first.
func (t *Table) List(now time.Time) []Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	sorted := make([]*entry, 0, len(t.entries))
	for _, e := range t.entries {
		sorted = append(sorted, e)
	}
	slices.SortFunc(sorted, func(a, b *entry) int {
		return cmp.Or(b.lastCrash.Compare(a.lastCrash), cmp.Compare(a.crash.Fingerprint, b.crash.Fingerprint))
	})
	entries := make([]Entry, 0, len(sorted))
	for _, e := range sorted {
		item := Entry{
			Fingerprint: e.crash.Fingerprint,
			Service:     e.crash.Service,
			Method:      e.crash.Method,
			Path:        e.crash.Path,
			Crashes:     e.crashes,
			Blocked:     now.Before(e.blockedUntil),
			Until:       e.lastCrash.Add(SuspectDuration),
		}
		if item.Blocked {
			item.Until = e.blockedUntil
		}
		entries = append(entries, item)
	}
	return entries
}
