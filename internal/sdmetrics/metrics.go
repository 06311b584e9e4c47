// Package sdmetrics holds the node's Prometheus metrics.
package sdmetrics

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/savorydeal/savorydeal/internal/sdentry"
	"github.com/savorydeal/savorydeal/internal/sdinvariant"
)

const namespace = "savorydeal"

// Metrics are the counters and gauges of one node.
type Metrics struct {
	registry *prometheus.Registry
	requests *prometheus.CounterVec
	seconds  *prometheus.HistogramVec
}

// New returns metrics in a registry of their own.
func New() *Metrics {
	m := &Metrics{
		registry: prometheus.NewRegistry(),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace,
			Name:      "requests_total",
			Help:      "Requests that ended at this node, by side, service, class, outcome and reason.",
		}, []string{"side", "service", "class", "outcome", "reason"}),
		seconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: namespace,
			Name:      "request_seconds",
			Help:      "Time from a request's arrival to the end of its answer.",
			Buckets:   prometheus.ExponentialBuckets(0.0005, 2, 16),
		}, []string{"side", "class", "outcome"}),
	}
	m.registry.MustRegister(m.requests, m.seconds)
	m.registry.MustRegister(sdinvariant.Collector{})
	m.registry.MustRegister(collectors.NewGoCollector())
	m.registry.MustRegister(collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return m
}

// Gauge adds a gauge that is read when metrics are scraped.
func (m *Metrics) Gauge(name, help string, read func() float64) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Namespace: namespace,
		Name:      name,
		Help:      help,
	}, read))
}

// Counter adds a counter that is read when metrics are scraped. What read
// returns must never fall.
func (m *Metrics) Counter(name, help string, read func() float64) {
	m.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
		Namespace: namespace,
		Name:      name,
		Help:      help,
	}, read))
}

// Observe counts one request. A service without a policy is counted under one
// label, since callers choose its name.
func (m *Metrics) Observe(observation sdentry.Observation) {
	service := observation.Service
	if observation.Class == "" {
		service = "unmatched"
	}
	m.requests.WithLabelValues(string(observation.Side), service, string(observation.Class),
		string(observation.Outcome), string(observation.Reason)).Inc()
	m.seconds.WithLabelValues(string(observation.Side), string(observation.Class),
		string(observation.Outcome)).Observe(observation.Latency.Seconds())
}

// Handler serves the metrics.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}
