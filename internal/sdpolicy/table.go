package sdpolicy

import (
	"slices"
	"strings"

	"github.com/savorydeal/savorydeal"
)

// Table is an immutable set of the policies in force. Goroutines that handle
// calls read it through an atomic pointer.
type Table struct {
	// policies holds the records by service.
	policies map[string]savorydeal.PolicyRecord
}

// NewTable returns a table of those records that are not deleted.
func NewTable(records []savorydeal.PolicyRecord) *Table {
	table := &Table{policies: make(map[string]savorydeal.PolicyRecord, len(records))}
	for _, record := range records {
		if !record.Deleted {
			table.policies[record.Service] = record
		}
	}
	return table
}

// Policy returns the policy record of a service, or false if it has no policy.
func (t *Table) Policy(service string) (savorydeal.PolicyRecord, bool) {
	record, ok := t.policies[service]
	return record, ok
}

// Records returns the records of all policies, sorted by service.
func (t *Table) Records() []savorydeal.PolicyRecord {
	records := make([]savorydeal.PolicyRecord, 0, len(t.policies))
	for _, record := range t.policies {
		records = append(records, record)
	}
	slices.SortFunc(records, func(a, b savorydeal.PolicyRecord) int {
		return strings.Compare(a.Service, b.Service)
	})
	return records
}

// Match finds the operation of a call. Of the matching operations it returns
// the one with the longest path prefix, and with equal prefixes one that lists
// the method before one without methods. For example, POST /limits/7 is matched
// by an operation POST /limits before one on /limits without methods, and by
// that one before an operation on /.
func Match(policy savorydeal.Policy, method, path string) (savorydeal.Operation, bool) {
	best := -1
	bestScore := -1
	for i, operation := range policy.Operations {
		score := matchScore(operation, method, path)
		if score > bestScore {
			best = i
			bestScore = score
		}
	}
	if best < 0 {
		return savorydeal.Operation{}, false
	}
	return policy.Operations[best], true
}

// matchScore returns -1 if the operation does not match, else a score that is
// higher for a longer prefix and, at equal prefixes, for a listed method.
func matchScore(operation savorydeal.Operation, method, path string) int {
	if !hasPathPrefix(path, operation.PathPrefix) {
		return -1
	}
	score := 2 * len(operation.PathPrefix)
	if len(operation.Methods) == 0 {
		return score
	}
	if slices.Contains(operation.Methods, method) {
		return score + 1
	}
	return -1
}

// hasPathPrefix reports whether the path begins with the prefix, compared by
// whole segments: /limits does not match /limitsets.
func hasPathPrefix(path, prefix string) bool {
	if !strings.HasPrefix(path, prefix) {
		return false
	}
	if strings.HasSuffix(prefix, "/") || len(path) == len(prefix) {
		return true
	}
	next := path[len(prefix)]
	return next == '/' || next == '?'
}
