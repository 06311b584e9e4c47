package sdbenchoverload

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	// The format of the plots.
	_ "gonum.org/v1/plot/vg/vgsvg"

	"github.com/savorydeal/savorydeal"
)

const (
	plotBin    = 500 * time.Millisecond
	plotWidth  = 6 * vg.Inch
	plotHeight = 3 * vg.Inch
	// plotArgument names the folder that the plots go to.
	plotArgument = "plots="
)

func plotFolder(arguments []string) string {
	for _, argument := range arguments {
		if folder, ok := strings.CutPrefix(argument, plotArgument); ok {
			return folder
		}
	}
	return ""
}

// drawPlots writes one plot for each scenario of the first shape: what was
// asked, and what completed with control and without.
func drawPlots(folder string, results []result) error {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return fmt.Errorf("folder of plots: %w", err)
	}
	byScenario := make(map[string][]result)
	for _, r := range results {
		if r.run.shape.name == khangai().name {
			byScenario[r.run.scenario.name] = append(byScenario[r.run.scenario.name], r)
		}
	}
	for name, runs := range byScenario {
		if err := drawPlot(filepath.Join(folder, name+".svg"), name, runs); err != nil {
			return err
		}
	}
	return nil
}

func drawPlot(file, name string, runs []result) error {
	p := plot.New()
	p.Title.Text = "khangai, " + name
	p.X.Label.Text = "seconds since the start"
	p.Y.Label.Text = "requests/s"
	p.Legend.Top = true
	var lines []any
	for _, r := range runs {
		all := func(*entry) bool { return true }
		done := func(one *entry) bool { return one.completed }
		important := func(one *entry) bool { return one.completed && one.operation.class == savorydeal.ClassCritical }
		switch r.run.variant.name {
		case controlled().name:
			lines = append(lines, "asked", rates(r.run, all), "completed", rates(r.run, done),
				"completed, critical", rates(r.run, important))
		case baselines()[0].name:
			lines = append(lines, "completed, no control", rates(r.run, done))
		}
	}
	if err := plotutil.AddLines(p, lines...); err != nil {
		return fmt.Errorf("plot %s: %w", name, err)
	}
	if err := p.Save(plotWidth, plotHeight, file); err != nil {
		return fmt.Errorf("write %s: %w", file, err)
	}
	return nil
}

// rates returns the rate of the requests that match, by the time they arrived.
func rates(r *run, matches func(*entry) bool) plotter.XYs {
	bins := make(plotter.XYs, int(r.timing.total()/plotBin))
	for i := range bins {
		bins[i].X = (time.Duration(i)*plotBin + plotBin/2).Seconds()
	}
	for _, one := range r.entries {
		if bin := int(r.since(one.arrived) / plotBin); matches(one) && bin < len(bins) {
			bins[bin].Y += 1 / plotBin.Seconds()
		}
	}
	return bins
}
