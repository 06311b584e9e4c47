package sdpolicy

import (
	"slices"
	"strings"

	"github.com/savorydeal/savorydeal"
)

// Table is an immutable set of policies in force. Traffic goroutines read it
// through an atomic pointer.
type Table struct {
	policies map[string]savorydeal.PolicyRecord
}

// NewTable returns a table of the records that are not deleted.
func NewTable(records []savorydeal.PolicyRecord) *Table {
	table := &Table{policies: make(map[string]savorydeal.PolicyRecord, len(records))}
	for _, record := range records {
		if !record.Deleted {
			table.policies[record.Service] = record
		}
	}
	return table
}

// Policy returns the policy of a service.
func (t *Table) Policy(service string) (savorydeal.PolicyRecord, bool) {
	record, ok := t.policies[service]
	return record, ok
}

// Records returns all policies sorted by service.
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

// Match finds the operation of a call: the longest path prefix wins, and a
// named method wins over none. For instance POST /limits/7 matches an operation
// POST /limits before one without methods on /limits, and that one before /.
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

// hasPathPrefix matches whole segments: /limits does not match /limitsets.
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
