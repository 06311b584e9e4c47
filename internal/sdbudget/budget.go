// Package sdbudget limits how often requests are sent to a further target. All
// nodes together share the retry budget of a service, and each node spends its own
// part of it. It does no I/O.
package sdbudget

import "time"

// Limits configure the retry budget of a service over all nodes.
type Limits struct {
	// Ratio is the number of retries allowed for each request.
	Ratio float64
	// Window is the length of the sliding window in which requests and retries
	// are counted.
	Window time.Duration
	// MinRetries is the number of retries that all nodes together may make in
	// each window, in addition to those by Ratio.
	MinRetries float64
}

const (
	// bucketCount is the number of buckets of a window; the window slides by one
	// bucket.
	bucketCount = 10
	// usableShare is the share of the budget that nodes spend. The rest is reserved
	// for retries that they cannot count: the calls of repeated runs, and requests
	// that moved to another node.
	usableShare = 0.75
)

// counter counts, in a ring of buckets, the requests for a service and the calls to
// it that were spent on retries.
type counter struct {
	// intervals holds the interval that each bucket counts; see Budget.interval.
	intervals [bucketCount]int64
	requests  [bucketCount]float64
	spent     [bucketCount]float64
}

// Budget is one node's part of the retry budgets of all services. It is not safe
// for concurrent use.
type Budget struct {
	limits   Limits
	nodes    int
	counters map[string]*counter
}

// New returns a Budget without requests, for a single node.
func New(limits Limits) *Budget {
	return &Budget{limits: limits, nodes: 1, counters: make(map[string]*counter)}
}

// SetLimits replaces the limits. It keeps the counts unless the length of the
// window changes.
func (b *Budget) SetLimits(limits Limits) {
	if limits.Window != b.limits.Window {
		b.counters = make(map[string]*counter)
	}
	b.limits = limits
}

// SetNodes sets the number of nodes that share the budget. Values below 1 count as
// 1.
func (b *Budget) SetNodes(nodes int) {
	b.nodes = max(1, nodes)
}

func (b *Budget) counter(service string) *counter {
	c := b.counters[service]
	if c == nil {
		c = &counter{}
		b.counters[service] = c
	}
	return c
}

// interval returns the number of the bucket interval that a time falls into,
// counted from the Unix epoch.
func (b *Budget) interval(now time.Time) int64 {
	return now.UnixNano() / max(1, int64(b.limits.Window)/bucketCount)
}

// bucket returns the index of an interval's bucket, and clears the bucket if it
// still holds an earlier interval.
func (c *counter) bucket(interval int64) int {
	i := int(interval % bucketCount)
	if c.intervals[i] != interval {
		c.intervals[i], c.requests[i], c.spent[i] = interval, 0, 0
	}
	return i
}

// RecordRequest counts a request for a service, from a caller or from another
// target.
func (b *Budget) RecordRequest(now time.Time, service string) {
	interval := b.interval(now)
	c := b.counter(service)
	c.requests[c.bucket(interval)]++
}

// Spend charges one retry to the budgets of several services. costs holds the
// number of calls that the retry makes to each of them. If one budget is too low,
// Spend charges nothing and reports false. reserve is the share of the budgets,
// from 0 to 1, that stays reserved for more important requests.
func (b *Budget) Spend(now time.Time, costs map[string]float64, reserve float64) bool {
	interval := b.interval(now)
	for service, cost := range costs {
		allowed, spent := b.totals(interval, service)
		if allowed*(1-reserve)-spent < cost {
			return false
		}
	}
	for service, cost := range costs {
		c := b.counter(service)
		c.spent[c.bucket(interval)] += cost
	}
	return true
}

// totals returns the number of calls that the node may spend on retries in the
// window that ends with an interval, and the number that it has spent.
func (b *Budget) totals(interval int64, service string) (allowed, spent float64) {
	c := b.counter(service)
	requests, spentCalls := 0.0, 0.0
	for i := range bucketCount {
		if interval-c.intervals[i] < bucketCount {
			requests += c.requests[i]
			spentCalls += c.spent[i]
		}
	}
	return usableShare * (b.limits.Ratio*requests + b.limits.MinRetries/float64(b.nodes)), spentCalls
}

// Remaining returns the number of calls to a service that the node may still spend
// on retries in the current window.
func (b *Budget) Remaining(now time.Time, service string) float64 {
	allowed, spent := b.totals(b.interval(now), service)
	return allowed - spent
}
