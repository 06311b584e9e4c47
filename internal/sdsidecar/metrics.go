package sdsidecar

import (
	"bytes"
	"net/http"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/common/expfmt"

	"github.com/savorydeal/savorydeal/internal/sdhttp"
)

const namespace = "savorydeal"

// metrics are the counters, gauges and histograms of one node.
type metrics struct {
	registry      *prometheus.Registry
	requests      *prometheus.CounterVec
	seconds       *prometheus.HistogramVec
	storeCalls    *prometheus.CounterVec
	members       prometheus.Gauge
	targets       prometheus.Gauge
	configVersion prometheus.Gauge
	eventsDropped prometheus.Counter
	linesDropped  prometheus.Counter
}

func newMetrics() *metrics {
	m := &metrics{
		registry: prometheus.NewRegistry(),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "requests_total", Help: "Requests answered, by route and status.",
		}, []string{"route", "status"}),
		seconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: namespace, Name: "request_seconds", Help: "Time from a request to its answer.",
			Buckets: prometheus.ExponentialBuckets(0.001, 2, 14),
		}, []string{"route"}),
		storeCalls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "store_calls_total", Help: "Calls of the platform's store, by result.",
		}, []string{"result"}),
		members:       prometheus.NewGauge(prometheus.GaugeOpts{Namespace: namespace, Name: "members", Help: "Live nodes in this node's view."}),
		targets:       prometheus.NewGauge(prometheus.GaugeOpts{Namespace: namespace, Name: "targets", Help: "Targets in this node's view that take calls."}),
		configVersion: prometheus.NewGauge(prometheus.GaugeOpts{Namespace: namespace, Name: "config_version", Help: "Version of the configuration in force."}),
		eventsDropped: prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Name: "control_events_dropped_total", Help: "Control events that came faster than they were taken."}),
		linesDropped:  prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Name: "log_lines_dropped_total", Help: "Log lines left out since there were too many."}),
	}
	m.registry.MustRegister(m.requests, m.seconds, m.storeCalls, m.members, m.targets, m.configVersion, m.eventsDropped, m.linesDropped,
		collectors.NewGoCollector())
	return m
}

func (m *metrics) observe(r *request, status int, took time.Duration) {
	m.requests.WithLabelValues(r.route.Name, strconv.Itoa(status)).Inc()
	m.seconds.WithLabelValues(r.route.Name).Observe(took.Seconds())
}

func (m *metrics) storeCall(err error) {
	result := "answered"
	if err != nil {
		result = "failed"
	}
	m.storeCalls.WithLabelValues(result).Inc()
}

func (n *Node) registerGauges() {
	gauge := func(name, help string, read func() float64) {
		n.metrics.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help}, read))
	}
	queue := func(read func(s *targetServer) int) func() float64 {
		return func() float64 {
			n.target.mu.Lock()
			defer n.target.mu.Unlock()
			return float64(read(n.target))
		}
	}
	gauge("target_running", "Calls on the target.", queue(func(s *targetServer) int { return s.queue.Running() }))
	gauge("target_queued", "Calls that wait for the target.", queue(func(s *targetServer) int { return s.queue.Waiting() }))
	gauge("target_limit", "Calls that the target may run at once.", queue(func(s *targetServer) int { return s.queue.Limit() }))
	gauge("callers_active", "Requests of callers under way.", func() float64 { return float64(n.callers.Active()) })
}

// writeMetrics writes the metrics as text.
func (n *Node) writeMetrics() *sdhttp.Response {
	families, err := n.metrics.registry.Gather()
	if err != nil {
		n.log.Warn("metrics not gathered", "error", err)
	}
	var text bytes.Buffer
	format := expfmt.NewFormat(expfmt.TypeTextPlain)
	encoder := expfmt.NewEncoder(&text, format)
	for _, family := range families {
		if err := encoder.Encode(family); err != nil {
			n.log.Warn("metrics not written", "error", err)
		}
	}
	return &sdhttp.Response{Status: http.StatusOK, Header: http.Header{"Content-Type": {string(format)}}, Body: text.Bytes()}
}
