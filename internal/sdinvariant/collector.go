package sdinvariant

import "github.com/prometheus/client_golang/prometheus"

var (
	checksDesc = prometheus.NewDesc("savorydeal_invariant_checks_total",
		"Checks of an invariant in this process.", []string{"invariant"}, nil)
	violationsDesc = prometheus.NewDesc("savorydeal_invariant_violations_total",
		"Failed checks of an invariant in this process; any increase indicates a bug in the program.", []string{"invariant"}, nil)
)

// Collector exports the check and violation counters of all invariants.
type Collector struct{}

var _ prometheus.Collector = Collector{}

// Describe sends the descriptions of the two metrics.
func (Collector) Describe(descs chan<- *prometheus.Desc) {
	descs <- checksDesc
	descs <- violationsDesc
}

// Collect sends the current counters.
func (Collector) Collect(metrics chan<- prometheus.Metric) {
	for _, count := range Counts() {
		name := string(count.Name)
		metrics <- prometheus.MustNewConstMetric(checksDesc, prometheus.CounterValue, float64(count.Evaluated), name)
		metrics <- prometheus.MustNewConstMetric(violationsDesc, prometheus.CounterValue, float64(count.Violated), name)
	}
}
