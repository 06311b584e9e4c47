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

	// Registers the SVG format.
	_ "gonum.org/v1/plot/vg/vgsvg"

	"github.com/savorydeal/savorydeal"
)

const (
	// plotBin is the time over which a plotted rate is taken.
	plotBin    = 500 * time.Millisecond
	plotWidth  = 6 * vg.Inch
	plotHeight = 3 * vg.Inch
	// plotArgument is the prefix of the argument that names the folder for plots.
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

// drawPlots writes one plot for each scenario of the first topology: the rate of
// requests, and the rates of those completed with and without overload control.
func drawPlots(folder string, results []result) error {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return fmt.Errorf("create the folder for plots: %w", err)
	}
	byScenario := make(map[string][]result)
	for _, res := range results {
		if res.measurement.topology.name == khangai().name {
			byScenario[res.measurement.scenario.name] = append(byScenario[res.measurement.scenario.name], res)
		}
	}
	for name, scenarioResults := range byScenario {
		if err := drawPlot(filepath.Join(folder, name+".svg"), name, scenarioResults); err != nil {
			return err
		}
	}
	return nil
}

func drawPlot(file, name string, results []result) error {
	p := plot.New()
	p.Title.Text = "khangai, " + name
	p.X.Label.Text = "seconds since the start"
	p.Y.Label.Text = "requests/s"
	p.Legend.Top = true
	var lines []any
	for _, res := range results {
		all := func(*ledgerEntry) bool { return true }
		completed := func(entry *ledgerEntry) bool { return entry.completed }
		important := func(entry *ledgerEntry) bool {
			return entry.completed && entry.operation.class == savorydeal.ClassCritical
		}
		switch res.measurement.variant.name {
		case defaultVariant().name:
			lines = append(lines, "asked", arrivalRates(res.measurement, all), "completed", arrivalRates(res.measurement, completed),
				"completed, critical", arrivalRates(res.measurement, important))
		case baselines()[0].name:
			lines = append(lines, "completed, no control", arrivalRates(res.measurement, completed))
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

// arrivalRates returns the rate of the matching requests in requests/s, by arrival
// time.
func arrivalRates(m *measurement, matches func(*ledgerEntry) bool) plotter.XYs {
	bins := make(plotter.XYs, int(m.timing.total()/plotBin))
	for i := range bins {
		bins[i].X = (time.Duration(i)*plotBin + plotBin/2).Seconds()
	}
	for _, entry := range m.entries {
		if bin := int(m.sinceStart(entry.arrived) / plotBin); matches(entry) && bin < len(bins) {
			bins[bin].Y += 1 / plotBin.Seconds()
		}
	}
	return bins
}
