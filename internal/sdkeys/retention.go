package sdkeys

import "time"

// maxTrackedServices bounds the memory of a RetentionHistory. For any further
// service EarliestIssue returns ok false, and callers then refuse every
// owned or timed key without a record.
const maxTrackedServices = 10_000

// RetentionHistory tracks the key retention of each service over policy changes.
// A key issued before the retention was raised may have had a record that
// expired under the shorter retention. With 10 minutes raised to an hour at
// 12:00, a key issued at 11:45 without a record stays refused as expired.
type RetentionHistory struct {
	services map[string]serviceRetention
}

type serviceRetention struct {
	retention time.Duration
	// earliestIssue is the earliest time of issue of a key that may run without
	// a record; zero if the retention was never raised.
	earliestIssue time.Time
}

// NewRetentionHistory returns an empty history.
func NewRetentionHistory() *RetentionHistory {
	return &RetentionHistory{services: make(map[string]serviceRetention)}
}

// EarliestIssue records the service's current retention and returns the earliest
// time of issue of a key that may run without a record: a key issued before it
// must be refused. The zero time sets no limit. ok is false when the service
// cannot be tracked because maxTrackedServices are already.
func (h *RetentionHistory) EarliestIssue(now time.Time, service string, retention time.Duration) (earliestIssue time.Time, ok bool) {
	current, known := h.services[service]
	if !known {
		if len(h.services) >= maxTrackedServices {
			return time.Time{}, false
		}
		h.services[service] = serviceRetention{retention: retention}
		return time.Time{}, true
	}
	if retention > current.retention {
		current.earliestIssue = laterOf(current.earliestIssue, now.Add(-current.retention))
	}
	current.retention = retention
	h.services[service] = current
	return current.earliestIssue, true
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
