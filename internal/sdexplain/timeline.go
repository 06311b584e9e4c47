package sdexplain

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

const (
	// nearbyWindow is how long before the request's first line and after its
	// last one the events of the nodes involved are shown.
	nearbyWindow = 2 * time.Second
	// maxNearby is the maximum number of those events that are shown.
	maxNearby = 40
	// maxBuffered is the maximum number of lines about nodes that Add keeps, some
	// 30 MB.
	maxBuffered = 100_000
)

// Timeline collects the lines of one request and of its nested calls, and the
// events of the nodes that took part in it.
type Timeline struct {
	requestID string
	own       []Line
	// nodeLines are lines about nodes, which do not belong to any request.
	nodeLines []Line
	// oldest is the index of the oldest line in nodeLines once it holds
	// maxBuffered lines.
	oldest int
}

// NewTimeline returns the empty timeline of the request with the ID.
func NewTimeline(requestID string) *Timeline {
	return &Timeline{requestID: requestID}
}

// AddOwn adds a line if it belongs to the request or to one of its nested
// calls, and reports whether it did.
func (t *Timeline) AddOwn(line Line) bool {
	request := line.Get("request")
	if request != t.requestID && !strings.HasPrefix(request, t.requestID+".") {
		return false
	}
	t.own = append(t.own, line)
	return true
}

// AddNearby adds a line about a node that took part in the request, if it was
// logged at about the same time. All lines of the request must have been added
// by AddOwn before.
func (t *Timeline) AddNearby(line Line) {
	if line.Get("request") == "" && len(t.own) > 0 && t.isNearby(line) {
		t.nodeLines = append(t.nodeLines, line)
	}
}

// Add adds any line, for input that can be read only once. Of the lines about
// nodes it keeps the last maxBuffered, from which Write selects.
func (t *Timeline) Add(line Line) {
	if t.AddOwn(line) || line.Get("request") != "" {
		return
	}
	if len(t.nodeLines) < maxBuffered {
		t.nodeLines = append(t.nodeLines, line)
		return
	}
	t.nodeLines[t.oldest] = line
	t.oldest = (t.oldest + 1) % maxBuffered
}

// isNearby reports whether a line is about a node that took part in the
// request, within nearbyWindow of the request. Traffic counters are left out:
// they cover other requests and do not explain this one.
func (t *Timeline) isNearby(line Line) bool {
	if line.Event == "traffic" {
		return false
	}
	first, last := t.span()
	if line.Time.Before(first.Add(-nearbyWindow)) || line.Time.After(last.Add(nearbyWindow)) {
		return false
	}
	for _, own := range t.own {
		for _, involved := range []string{own.Node, own.Get("peer")} {
			if involved != "" && (involved == line.Node || involved == line.Get("peer") || involved == line.Get("member")) {
				return true
			}
		}
	}
	return false
}

// span returns the times of the request's first and last lines. Lines of
// different nodes may come in any order.
func (t *Timeline) span() (first, last time.Time) {
	first, last = t.own[0].Time, t.own[0].Time
	for _, line := range t.own {
		if line.Time.Before(first) {
			first = line.Time
		}
		if line.Time.After(last) {
			last = line.Time
		}
	}
	return first, last
}

// Write writes the lines sorted by time, each with its offset from the
// request's first line. An asterisk marks the lines of the request.
func (t *Timeline) Write(out io.Writer) error {
	if len(t.own) == 0 {
		_, err := fmt.Fprintf(out, "no log line belongs to request %s: it was answered at the first attempt, or the nodes left its lines out (see lines_left_out)\n", t.requestID)
		return err
	}
	first, _ := t.span()
	lines := slices.Clone(t.own)
	for _, line := range t.nodeLines {
		if len(lines)-len(t.own) < maxNearby && t.isNearby(line) {
			lines = append(lines, line)
		}
	}
	slices.SortStableFunc(lines, compareTimes)
	if _, err := fmt.Fprintf(out, "request %s, first line at %s\n", t.requestID, first.Format(time.RFC3339Nano)); err != nil {
		return err
	}
	for _, line := range lines {
		mark := " "
		if line.Get("request") != "" {
			mark = "*"
		}
		if _, err := fmt.Fprintf(out, "%s %+9.3fs  %s  %s %s\n", mark, line.Time.Sub(first).Seconds(), line.Node, line.Event, formatFields(line)); err != nil {
			return err
		}
	}
	return nil
}

func compareTimes(a, b Line) int {
	return a.Time.Compare(b.Time)
}

// formatFields returns all pairs except the node, which Write prints separately.
func formatFields(line Line) string {
	pairs := make([]string, 0, len(line.Fields))
	for _, field := range line.Fields {
		if field.Key != "node" {
			pairs = append(pairs, field.Key+"="+field.Value)
		}
	}
	return strings.Join(pairs, " ")
}
