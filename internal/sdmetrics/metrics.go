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

// Metrics holds the counters, gauges and histograms of one node.
type Metrics struct {
	registry *prometheus.Registry
	requests *prometheus.CounterVec
	latency  *prometheus.HistogramVec
}

// New returns metrics in a new registry.
func New() *Metrics {
	m := &Metrics{
		registry: prometheus.NewRegistry(),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace,
			Name:      "requests_total",
			Help:      "Requests that ended at this node, by side, service, class, outcome and reason.",
		}, []string{"side", "service", "class", "outcome", "reason"}),
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: namespace,
			Name:      "request_seconds",
			Help:      "Time from a request's arrival to the end of its answer.",
			Buckets:   prometheus.ExponentialBuckets(0.0005, 2, 16),
		}, []string{"side", "class", "outcome"}),
	}
	m.registry.MustRegister(m.requests, m.latency)
	m.registry.MustRegister(sdinvariant.Collector{})
	m.registry.MustRegister(collectors.NewGoCollector())
	m.registry.MustRegister(collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return m
}

// Gauge adds a gauge whose value is read at each scrape.
func (m *Metrics) Gauge(name, help string, read func() float64) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Namespace: namespace,
		Name:      name,
		Help:      help,
	}, read))
}

// Counter adds a counter whose value is read at each scrape. The values that read
// returns must never decrease.
func (m *Metrics) Counter(name, help string, read func() float64) {
	m.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
		Namespace: namespace,
		Name:      name,
		Help:      help,
	}, read))
}

// Observe records one request. Requests that match no policy share one service
// label, since callers choose the service name and could create any number of
// time series.
func (m *Metrics) Observe(observation sdentry.Observation) {
	service := observation.Service
	if observation.Class == "" {
		service = "unmatched"
	}
	m.requests.WithLabelValues(string(observation.Side), service, string(observation.Class),
		string(observation.Outcome), string(observation.Reason)).Inc()
	m.latency.WithLabelValues(string(observation.Side), string(observation.Class),
		string(observation.Outcome)).Observe(observation.Latency.Seconds())
}

// Handler returns the HTTP handler that serves the metrics.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}
