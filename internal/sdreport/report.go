// Package sdreport plots what nodes logged: answered, failed and refused
// requests, admission levels, concurrency limits and load of the targets, members
// and configuration versions. The result is one HTML page with SVG plots.
package sdreport

import (
	"maps"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/savorydeal/savorydeal/internal/sdexplain"
)

// binWidth is the time that one point of a plot covers. Nodes log their traffic
// counters every two seconds.
const binWidth = 2 * time.Second

// series holds one value per bin. Its keys are bin numbers, counted from the Unix
// epoch.
type series map[int64]float64

// Report aggregates the lines of a period by bin. Its memory depends on the
// length of the period, not on the number of lines.
type Report struct {
	// answered and failed are by route, refused is by reason; all are counts.
	answered, failed, refused map[string]series
	// levels are admission levels by service.
	levels map[string]*means
	// running, queued and limit are sums over the lines of all nodes.
	running, queued, limit series
	members, versions      *extremes
	// firstBin and lastBin are the bins of the earliest and the latest line.
	firstBin, lastBin int64
	lines             int
}

// means holds the sum and the number of the values of each bin.
type means struct {
	sum, count series
}

// extremes holds the smallest and the greatest value of each bin.
type extremes struct {
	smallest, greatest series
}

// NewReport returns an empty report.
func NewReport() *Report {
	return &Report{
		answered: make(map[string]series), failed: make(map[string]series), refused: make(map[string]series),
		levels: make(map[string]*means), running: make(series), queued: make(series), limit: make(series),
		members: newExtremes(), versions: newExtremes(), firstBin: math.MaxInt64, lastBin: math.MinInt64,
	}
}

func newExtremes() *extremes {
	return &extremes{smallest: make(series), greatest: make(series)}
}

func (e *extremes) add(bin int64, value float64) {
	if smallest, ok := e.smallest[bin]; !ok || value < smallest {
		e.smallest[bin] = value
	}
	e.greatest[bin] = max(e.greatest[bin], value)
}

// Add adds a line. Events that are not plotted are ignored.
func (r *Report) Add(line sdexplain.Line) {
	bin := line.Time.UnixNano() / int64(binWidth)
	switch line.Event {
	case "traffic":
		route := line.Get("route")
		addTo(r.answered, route, bin, number(line, "answered"))
		addTo(r.failed, route, bin, number(line, "failed"))
	case "request refused":
		addTo(r.refused, line.Get("reason"), bin, 1+number(line, "lines_left_out"))
	case "state":
		r.running[bin] += number(line, "running")
		r.queued[bin] += number(line, "queued")
		r.limit[bin] += number(line, "limit")
		r.members.add(bin, number(line, "members"))
		if version := number(line, "version"); version > 0 {
			r.versions.add(bin, version)
		}
	case "door":
		r.addLevels(bin, line.Get("levels"))
	default:
		return
	}
	r.lines++
	r.firstBin, r.lastBin = min(r.firstBin, bin), max(r.lastBin, bin)
}

// addLevels reads admission levels as they are logged: map[service:level ...].
func (r *Report) addLevels(bin int64, text string) {
	text = strings.TrimSuffix(strings.TrimPrefix(text, "map["), "]")
	for _, pair := range strings.Fields(text) {
		service, value, _ := strings.Cut(pair, ":")
		level, err := strconv.ParseFloat(value, 64)
		if err != nil {
			continue // the line was truncated; levels are logged again a second later
		}
		m := r.levels[service]
		if m == nil {
			m = &means{sum: make(series), count: make(series)}
			r.levels[service] = m
		}
		m.sum[bin] += level
		m.count[bin]++
	}
}

// addTo adds a value to a bin of the named series.
func addTo(byName map[string]series, name string, bin int64, value float64) {
	if byName[name] == nil {
		byName[name] = make(series)
	}
	byName[name][bin] += value
}

// number returns the value of a numeric field, or 0 if the line does not have it.
func number(line sdexplain.Line, field string) float64 {
	value, err := strconv.ParseFloat(line.Get(field), 64)
	if err != nil {
		return 0
	}
	return value
}

// curve is a named series of a plot.
type curve struct {
	name   string
	points series
	// perSecond divides the values by the seconds of a bin.
	perSecond bool
	// skipEmpty omits bins without a value, which otherwise are drawn as 0.
	skipEmpty bool
}

// chart is one plot. unit is the label of its Y axis.
type chart struct {
	title, unit string
	curves      []curve
}

// rateChart returns a chart with one curve per name, as rates per second.
func rateChart(title, unit string, all map[string]series) chart {
	c := chart{title: title, unit: unit}
	for _, name := range slices.Sorted(maps.Keys(all)) {
		if len(all[name]) > 0 {
			c.curves = append(c.curves, curve{name: name, points: all[name], perSecond: true})
		}
	}
	return c
}

// charts returns all plots in the order of the page.
func (r *Report) charts() []chart {
	admission := chart{title: "Admission levels: ranks refused, mean over the nodes", unit: "ranks"}
	for _, service := range slices.Sorted(maps.Keys(r.levels)) {
		mean := make(series)
		for bin, sum := range r.levels[service].sum {
			mean[bin] = sum / r.levels[service].count[bin]
		}
		admission.curves = append(admission.curves, curve{name: service, points: mean})
	}
	return []chart{
		rateChart("Goodput by route", "requests/s", r.answered),
		rateChart("Failures by route", "requests/s", r.failed),
		rateChart("Refusals by reason", "requests/s", r.refused),
		admission,
		{title: "Targets: concurrency limits, running and queued calls", unit: "calls", curves: []curve{
			{name: "limit", points: r.limit}, {name: "running", points: r.running}, {name: "queued", points: r.queued},
		}},
		{title: "Members known to a node", unit: "nodes", curves: []curve{
			{name: "smallest", points: r.members.smallest, skipEmpty: true}, {name: "greatest", points: r.members.greatest, skipEmpty: true},
		}},
		{title: "Configuration version", unit: "version", curves: []curve{
			{name: "oldest", points: r.versions.smallest, skipEmpty: true}, {name: "newest", points: r.versions.greatest, skipEmpty: true},
		}},
	}
}
