package sdreport

import (
	"bytes"
	"errors"
	"fmt"
	"html/template"
	"io"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	// Registers the "svg" format.
	_ "gonum.org/v1/plot/vg/vgsvg"
)

const (
	plotWidth  = 8 * vg.Inch
	plotHeight = 3 * vg.Inch
)

// ErrNoEvents means that none of the lines holds an event that is plotted.
var ErrNoEvents = errors.New("no traffic or state events found: give log files of nodes that log at level info")

var page = template.Must(template.New("page").Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>savorydeal: report of the nodes</title>
<style>body{font-family:sans-serif;max-width:60em;margin:2em auto}svg{max-width:100%;height:auto}</style></head>
<body><h1>Report of the nodes</h1>
<p>{{.Lines}} lines, from {{.From}} to {{.To}}. Refusals include those whose lines the nodes left out (lines_left_out).</p>
{{range .Plots}}<h2>{{.Title}}</h2>
{{.Picture}}
{{end}}</body></html>
`))

// plotSection is one plot of the page.
type plotSection struct {
	Title   string
	Picture template.HTML
}

// Write writes the HTML page. It returns ErrNoEvents if there is nothing to plot.
func (r *Report) Write(out io.Writer) error {
	if r.lines == 0 {
		return ErrNoEvents
	}
	data := struct {
		Lines    int
		From, To string
		Plots    []plotSection
	}{Lines: r.lines, From: formatBinStart(r.firstBin), To: formatBinStart(r.lastBin + 1)}
	for _, c := range r.charts() {
		picture, err := r.draw(c)
		if err != nil {
			return fmt.Errorf("plot %q: %w", c.title, err)
		}
		data.Plots = append(data.Plots, plotSection{Title: c.title, Picture: picture})
	}
	if err := page.Execute(out, data); err != nil {
		return fmt.Errorf("write page: %w", err)
	}
	return nil
}

// formatBinStart returns the time at which a bin starts.
func formatBinStart(bin int64) string {
	return time.Unix(0, bin*int64(binWidth)).UTC().Format(time.RFC3339)
}

// draw returns the plot as an SVG element.
func (r *Report) draw(c chart) (template.HTML, error) {
	if len(c.curves) == 0 {
		return "<p>none</p>", nil
	}
	p := plot.New()
	p.X.Label.Text = "seconds since the first line"
	p.Y.Label.Text = c.unit
	p.Y.Min = 0
	p.Legend.Top = true
	var namesAndPoints []any
	for _, curve := range c.curves {
		namesAndPoints = append(namesAndPoints, curve.name, r.points(curve))
	}
	if err := plotutil.AddLines(p, namesAndPoints...); err != nil {
		return "", err
	}
	writer, err := p.WriterTo(plotWidth, plotHeight, "svg")
	if err != nil {
		return "", err
	}
	var svg bytes.Buffer
	if _, err := writer.WriteTo(&svg); err != nil {
		return "", err
	}
	_, element, found := bytes.Cut(svg.Bytes(), []byte("<svg"))
	if !found {
		return "", errors.New("the plotting library wrote no svg element")
	}
	// The library escapes the texts, so that names of routes cannot become markup.
	return template.HTML("<svg" + string(element)), nil
}

// points returns the points of a curve, with seconds since the first bin as X.
func (r *Report) points(c curve) plotter.XYs {
	var points plotter.XYs
	for bin := r.firstBin; bin <= r.lastBin; bin++ {
		value, ok := c.points[bin]
		if !ok && c.skipEmpty {
			continue
		}
		if c.perSecond {
			value /= binWidth.Seconds()
		}
		points = append(points, plotter.XY{X: float64(bin-r.firstBin) * binWidth.Seconds(), Y: value})
	}
	return points
}
