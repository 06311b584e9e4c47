package sdconfig

import (
	"slices"
	"strings"
	"time"

	"github.com/savorydeal/savorydeal"
)

const (
	// reportInterval is the longest time between two reports of a node.
	reportInterval = 4 * time.Second
	// reportTTL is how long a collector counts a report as current.
	reportTTL = 10 * time.Second
	// MaxNamedNodes bounds the lagging and, separately, the unreachable nodes
	// that an answer lists by name.
	MaxNamedNodes = 16
)

// Report is a node's report to its collector of what it has in force.
type Report struct {
	Node savorydeal.NodeID
	// Digest is the node's Store.InForceDigest.
	Digest uint64
}

// Query asks a collector how many nodes of the listed slots have at least a
// given version of an object in force.
type Query struct {
	Sequence uint64
	Key      Key
	Version  int64
	Slots    []int
}

// Answer is a collector's answer to a query. InForce, Lagging and Unreachable
// count nodes; the lists name at most MaxNamedNodes of them each.
type Answer struct {
	Sequence         uint64
	InForce          int
	Lagging          int
	Unreachable      int
	NamedLagging     []savorydeal.NodeID
	NamedUnreachable []savorydeal.NodeID
}

// Reporter decides when a node reports to its collector. One goroutine owns it.
type Reporter struct {
	lastReport    Report
	lastCollector savorydeal.NodeID
	lastReportAt  time.Time
}

// Due reports whether a report must be sent now, and if so records it as sent.
// It must be sent when the versions in force or the collector have changed, or
// when the last report is reportInterval old.
func (r *Reporter) Due(now time.Time, report Report, collector savorydeal.NodeID) bool {
	if report == r.lastReport && collector == r.lastCollector && now.Sub(r.lastReportAt) < reportInterval {
		return false
	}
	r.lastReport = report
	r.lastCollector = collector
	r.lastReportAt = now
	return true
}

// receivedReport is the last report of a node.
type receivedReport struct {
	digest     uint64
	receivedAt time.Time
}

// Collector holds the last reports of the nodes of some slots. One goroutine
// owns it.
type Collector struct {
	reports map[savorydeal.NodeID]receivedReport
}

// NewCollector returns a collector without reports.
func NewCollector() *Collector {
	return &Collector{reports: make(map[savorydeal.NodeID]receivedReport)}
}

// Record stores a node's report, replacing its last one.
func (c *Collector) Record(now time.Time, report Report) {
	c.reports[report.Node] = receivedReport{digest: report.Digest, receivedAt: now}
}

// Expire deletes reports older than reportTTL.
func (c *Collector) Expire(now time.Time) {
	for node, report := range c.reports {
		if now.Sub(report.receivedAt) > reportTTL {
			delete(c.reports, node)
		}
	}
}

// Answer counts the alive and suspect members of the query's slots. A node has
// the version in force if this node has it in force and both have the same
// digest. A node with another digest counts as lagging until the two agree, and
// one without a current report as unreachable.
func (c *Collector) Answer(now time.Time, query Query, store *Store, members []savorydeal.Member, dataCentre string) Answer {
	answer := Answer{Sequence: query.Sequence}
	entry, _ := store.Entry(query.Key)
	inForceHere := entry.Readable.Version >= query.Version
	for _, member := range members {
		if member.DataCentre != dataCentre || !slices.Contains(query.Slots, SlotOf(member.Node)) {
			continue
		}
		if member.State != savorydeal.MemberAlive && member.State != savorydeal.MemberSuspect {
			continue
		}
		report, ok := c.reports[member.Node]
		switch {
		case !ok || now.Sub(report.receivedAt) > reportTTL:
			answer.AddUnreachable(member.Node)
		case inForceHere && report.digest == store.InForceDigest():
			answer.InForce++
		default:
			answer.Lagging++
			answer.NamedLagging = appendNamed(answer.NamedLagging, member.Node)
		}
	}
	return answer
}

// AddUnreachable counts a node as unreachable.
func (a *Answer) AddUnreachable(node savorydeal.NodeID) {
	a.Unreachable++
	a.NamedUnreachable = appendNamed(a.NamedUnreachable, node)
}

// Merge adds the counts and node lists of another collector's answer and sorts
// the lists.
func (a *Answer) Merge(other Answer) {
	a.InForce += other.InForce
	a.Lagging += other.Lagging
	a.Unreachable += other.Unreachable
	for _, node := range other.NamedLagging {
		a.NamedLagging = appendNamed(a.NamedLagging, node)
	}
	for _, node := range other.NamedUnreachable {
		a.NamedUnreachable = appendNamed(a.NamedUnreachable, node)
	}
	slices.SortFunc(a.NamedLagging, compareNodes)
	slices.SortFunc(a.NamedUnreachable, compareNodes)
}

// appendNamed appends a node unless MaxNamedNodes are listed already.
func appendNamed(names []savorydeal.NodeID, node savorydeal.NodeID) []savorydeal.NodeID {
	if len(names) >= MaxNamedNodes {
		return names
	}
	return append(names, node)
}

func compareNodes(a, b savorydeal.NodeID) int {
	return strings.Compare(string(a), string(b))
}
