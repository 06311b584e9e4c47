package sdinvariant

import "github.com/prometheus/client_golang/prometheus"

var (
	evaluatedDesc = prometheus.NewDesc("savorydeal_invariant_checks_total",
		"Checks of an invariant in this process.", []string{"invariant"}, nil)
	violatedDesc = prometheus.NewDesc("savorydeal_invariant_violations_total",
		"Checks of an invariant that found it broken; any increase is a fault of the program.", []string{"invariant"}, nil)
)

// Collector exports the counters of all invariants.
type Collector struct{}

var _ prometheus.Collector = Collector{}

// Describe sends the two metrics.
func (Collector) Describe(descs chan<- *prometheus.Desc) {
	descs <- evaluatedDesc
	descs <- violatedDesc
}

// Collect sends the counters.
func (Collector) Collect(metrics chan<- prometheus.Metric) {
	for _, count := range Counts() {
		name := string(count.Name)
		metrics <- prometheus.MustNewConstMetric(evaluatedDesc, prometheus.CounterValue, float64(count.Evaluated), name)
		metrics <- prometheus.MustNewConstMetric(violatedDesc, prometheus.CounterValue, float64(count.Violated), name)
	}
}
