package sdpoison

import (
	"time"

	"github.com/savorydeal/savorydeal"
)

// Record is all that a table holds of one request, for the table of another node.
type Record struct {
	Fingerprint Fingerprint
	Service     string
	Method      string
	Path        string
	Crashes     int
	LastCrash   time.Time
	// BlockedUntil is zero if the request has not been blocked.
	BlockedUntil time.Time
}

// Export returns all records.
func (t *Table) Export() []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	records := make([]Record, 0, len(t.entries))
	for _, e := range t.entries {
		records = append(records, Record{
			Fingerprint: e.crash.Fingerprint, Service: e.crash.Service, Method: e.crash.Method, Path: e.crash.Path,
			Crashes: e.crashes, LastCrash: e.lastCrash, BlockedUntil: e.blockedUntil,
		})
	}
	return records
}

// Import adds records of another node's table. Of a request that both tables hold, the
// record with more crashes is kept.
func (t *Table) Import(records []Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, record := range records {
		if e := t.entries[record.Fingerprint]; e != nil && e.crashes >= record.Crashes {
			continue
		}
		t.evictOldest()
		t.entries[record.Fingerprint] = &entry{
			crash: Crash{
				Fingerprint: record.Fingerprint, Service: record.Service, Method: record.Method, Path: record.Path[:min(len(record.Path), maxPathBytes)],
			},
			crashes: record.Crashes, lastCrash: record.LastCrash, blockedUntil: record.BlockedUntil,
			lastCrashByNode: make(map[savorydeal.NodeID]time.Time),
		}
	}
	t.size.Store(int64(len(t.entries)))
}
