package sdexplain

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

const (
	// around is how long before and after a request's own lines the events of
	// the nodes that it met are shown.
	around = 2 * time.Second
	// maxAround bounds those events.
	maxAround = 40
)

// Story is what the lines tell of one request and its calls.
type Story struct {
	id    string
	own   []Line
	other []Line
}

// NewStory returns the story of the request with the id.
func NewStory(id string) *Story {
	return &Story{id: id}
}

// Take takes a line: those of the request and its calls, and those that tell of
// a node and not of a request.
func (s *Story) Take(line Line) {
	switch request := line.Get("request"); {
	case request == s.id || strings.HasPrefix(request, s.id+"."):
		s.own = append(s.own, line)
	case request == "":
		s.other = append(s.other, line)
	}
}

// Write writes the request's lines as a timeline, with what changed meanwhile at
// the nodes that they name.
func (s *Story) Write(out io.Writer) error {
	if len(s.own) == 0 {
		_, err := fmt.Fprintf(out, "no line names request %s: it was answered at the first try, or its lines were left out (see lines_left_out)\n", s.id)
		return err
	}
	slices.SortStableFunc(s.own, byTime)
	first, last := s.own[0].At, s.own[len(s.own)-1].At
	met := make(map[string]bool)
	for _, line := range s.own {
		met[line.Node] = true
		if peer := line.Get("peer"); peer != "" {
			met[peer] = true
		}
	}
	lines := slices.Clone(s.own)
	for _, line := range s.other {
		near := !line.At.Before(first.Add(-around)) && !line.At.After(last.Add(around))
		if near && (met[line.Node] || met[line.Get("peer")] || met[line.Get("member")]) && len(lines)-len(s.own) < maxAround {
			lines = append(lines, line)
		}
	}
	slices.SortStableFunc(lines, byTime)
	if _, err := fmt.Fprintf(out, "request %s, first line at %s\n", s.id, first.Format(time.RFC3339Nano)); err != nil {
		return err
	}
	for _, line := range lines {
		mark := " "
		if line.Get("request") != "" {
			mark = "*"
		}
		if _, err := fmt.Fprintf(out, "%s %+9.3fs  %s  %s %s\n", mark, line.At.Sub(first).Seconds(), line.Node, line.Event, pairs(line)); err != nil {
			return err
		}
	}
	return nil
}

func byTime(a, b Line) int {
	return a.At.Compare(b.At)
}

func pairs(line Line) string {
	texts := make([]string, 0, len(line.Fields))
	for _, field := range line.Fields {
		if field.Key != "node" {
			texts = append(texts, field.Key+"="+field.Value)
		}
	}
	return strings.Join(texts, " ")
}

// Worst groups the failures by what they have in common.
type Worst struct {
	groups  map[string]*group
	leftOut int64
}

type group struct {
	cause   string
	count   int
	first   Line
	last    time.Time
	example string
}

// NewWorst returns an empty grouping.
func NewWorst() *Worst {
	return &Worst{groups: make(map[string]*group)}
}

// Take takes a line.
func (w *Worst) Take(line Line) {
	var left int64
	if _, err := fmt.Sscan(line.Get("lines_left_out"), &left); err == nil {
		w.leftOut += left
	}
	if line.Event != "request refused" && line.Event != "request failed" {
		return
	}
	cause := fmt.Sprintf("%s reason=%s service=%s route=%s depth=%s", line.Event, line.Get("reason"), line.Get("service"), line.Get("route"), line.Get("depth"))
	g := w.groups[cause]
	if g == nil {
		g = &group{cause: cause, first: line, example: line.Get("request")}
		w.groups[cause] = g
	}
	g.count++
	g.last = line.At
}

// Write writes the groups, the largest first, each with a request to look at.
func (w *Worst) Write(out io.Writer) error {
	groups := make([]*group, 0, len(w.groups))
	for _, g := range w.groups {
		groups = append(groups, g)
	}
	slices.SortFunc(groups, func(a, b *group) int {
		return cmp.Or(b.count-a.count, strings.Compare(a.cause, b.cause))
	})
	for _, g := range groups {
		if _, err := fmt.Fprintf(out, "%7d  %s  from %s for %s, such as %s\n", g.count, g.cause, g.first.At.Format(time.RFC3339Nano),
			g.last.Sub(g.first.At).Round(time.Millisecond), g.example); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintf(out, "%7d  lines were left out by the nodes\n", w.leftOut)
	return err
}
