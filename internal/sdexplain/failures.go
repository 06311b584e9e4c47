package sdexplain

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

// FailureGroups groups refused and failed requests by reason, service, route
// and depth.
type FailureGroups struct {
	byCause map[string]*failureGroup
	// leftOut is the number of lines that the nodes did not write because of
	// their rate limit.
	leftOut int64
}

type failureGroup struct {
	cause string
	count int
	first Line
	last  time.Time
	// exampleID is the ID of the group's first request.
	exampleID string
}

// NewFailureGroups returns an empty grouping.
func NewFailureGroups() *FailureGroups {
	return &FailureGroups{byCause: make(map[string]*failureGroup)}
}

// Add counts a line if it is a refusal or a failure. It adds up lines_left_out of
// all lines.
func (f *FailureGroups) Add(line Line) {
	var leftOut int64
	if _, err := fmt.Sscan(line.Get("lines_left_out"), &leftOut); err == nil {
		f.leftOut += leftOut
	}
	if line.Event != "request refused" && line.Event != "request failed" {
		return
	}
	cause := fmt.Sprintf("%s reason=%s service=%s route=%s depth=%s", line.Event, line.Get("reason"), line.Get("service"), line.Get("route"), line.Get("depth"))
	g := f.byCause[cause]
	if g == nil {
		g = &failureGroup{cause: cause, first: line, exampleID: line.Get("request")}
		f.byCause[cause] = g
	}
	g.count++
	g.last = line.Time
}

// Write writes the groups, the largest first, each with the ID of one of its
// requests, and the number of lines that the nodes left out.
func (f *FailureGroups) Write(out io.Writer) error {
	groups := make([]*failureGroup, 0, len(f.byCause))
	for _, g := range f.byCause {
		groups = append(groups, g)
	}
	slices.SortFunc(groups, func(a, b *failureGroup) int {
		return cmp.Or(b.count-a.count, strings.Compare(a.cause, b.cause))
	})
	for _, g := range groups {
		if _, err := fmt.Fprintf(out, "%7d  %s  from %s for %s, for example request %s\n", g.count, g.cause, g.first.Time.Format(time.RFC3339Nano),
			g.last.Sub(g.first.Time).Round(time.Millisecond), g.exampleID); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintf(out, "%7d  lines left out by the nodes' rate limit\n", f.leftOut)
	return err
}
