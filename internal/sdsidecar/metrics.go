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
	"github.com/savorydeal/savorydeal/internal/sdinvariant"
)

const namespace = "savorydeal"

// metrics are the counters, gauges and histograms of one node.
type metrics struct {
	registry       *prometheus.Registry
	requests       *prometheus.CounterVec
	requestSeconds *prometheus.HistogramVec
	storeCalls     *prometheus.CounterVec
	members        prometheus.Gauge
	targets        prometheus.Gauge
	configVersion  prometheus.Gauge
	eventsDropped  prometheus.Counter
	linesDropped   prometheus.Counter
	panics         prometheus.Counter
	refusals       *prometheus.CounterVec
	unauthorised   *prometheus.CounterVec
	attempts       *prometheus.CounterVec
	targetRequests prometheus.Counter
	quota          quotaMetrics
	connsClosed    *prometheus.CounterVec
}

func newMetrics() *metrics {
	m := &metrics{
		registry: prometheus.NewRegistry(),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "requests_total", Help: "Requests answered, by route and status.",
		}, []string{"route", "status"}),
		requestSeconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: namespace, Name: "request_seconds", Help: "Time from a request's arrival to its answer, in seconds.",
			Buckets: prometheus.ExponentialBuckets(0.001, 2, 14),
		}, []string{"route"}),
		storeCalls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "store_calls_total", Help: "Calls to the platform's store, by result.",
		}, []string{"result"}),
		members:       prometheus.NewGauge(prometheus.GaugeOpts{Namespace: namespace, Name: "members", Help: "Live nodes in this node's view."}),
		targets:       prometheus.NewGauge(prometheus.GaugeOpts{Namespace: namespace, Name: "targets", Help: "Ready targets in this node's view."}),
		configVersion: prometheus.NewGauge(prometheus.GaugeOpts{Namespace: namespace, Name: "config_version", Help: "Version of the configuration in force."}),
		eventsDropped: prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Name: "control_events_dropped_total", Help: "Control events dropped because the control queue was full."}),
		linesDropped:  prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Name: "log_lines_dropped_total", Help: "Log lines about requests omitted by the rate limit."}),
	}
	m.panics = prometheus.NewCounter(prometheus.CounterOpts{
		Namespace: namespace, Name: "request_panics_total", Help: "Requests ended by a panic; any increase indicates a bug in the program.",
	})
	m.refusals = prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: namespace, Name: "refusals_total", Help: "Requests that this node refused, by reason.",
	}, []string{"reason"})
	m.unauthorised = prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: namespace, Name: "requests_unauthorised_total", Help: "Requests answered with 401, by reason.",
	}, []string{"reason"})
	m.attempts = prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: namespace, Name: "tries_total", Help: "Ended attempts, by service and verdict.",
	}, []string{"service", "verdict"})
	m.targetRequests = prometheus.NewCounter(prometheus.CounterOpts{
		Namespace: namespace, Name: "target_requests_total", Help: "Requests sent to the target, those that it rejects included.",
	})
	m.quota = newQuotaMetrics(m.registry)
	m.connsClosed = prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: namespace, Name: "connections_closed_total", Help: "Connections closed or refused because an address had as many as it may have.",
	}, []string{"address"})
	m.registry.MustRegister(m.connsClosed, m.targetRequests, m.refusals, m.unauthorised, m.attempts, m.requests, m.requestSeconds, m.storeCalls, m.members, m.targets, m.configVersion, m.eventsDropped, m.linesDropped, m.panics,
		collectors.NewGoCollector(), sdinvariant.Collector{})
	return m
}

func (m *metrics) observeRequest(r *request, status int, duration time.Duration) {
	m.requests.WithLabelValues(r.route.Name, strconv.Itoa(status)).Inc()
	m.requestSeconds.WithLabelValues(r.route.Name).Observe(duration.Seconds())
}

func (m *metrics) countStoreCall(err error) {
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
	queueGauge := func(read func(s *targetServer) int) func() float64 {
		return func() float64 {
			n.target.mu.Lock()
			defer n.target.mu.Unlock()
			return float64(read(n.target))
		}
	}
	gauge("target_running", "Calls running on the target.", queueGauge(func(s *targetServer) int { return s.queue.Running() }))
	gauge("target_queued", "Calls queued for the target.", queueGauge(func(s *targetServer) int { return s.queue.Waiting() }))
	gauge("target_limit", "Limit of concurrent calls on the target.", queueGauge(func(s *targetServer) int { return s.queue.Limit() }))
	gauge("target_rate_limit", "Requests per second that the target accepts according to its answers; +Inf if it states no limit.", func() float64 {
		n.target.mu.Lock()
		defer n.target.mu.Unlock()
		return rateLimitValue(n.target.feedback.InForce())
	})
	gauge("body_memory_bytes", "Bytes of large request and answer bodies that are held.", func() float64 { return float64(n.memory.Used()) })
	gauge("store_era", "Highest era of the store that is known; it rises each time the store has come back from an older copy of its data.", func() float64 { return float64(n.era.current()) })
	gauge("request_memory_bytes", "Bytes of request heads, and of the beginnings of request bodies, that are held.", func() float64 { return float64(n.memory.RequestsUsed()) })
	gauge("config_age_seconds", "Seconds since a node last read the store and found no newer configuration.", func() float64 {
		return n.confirmationAge().Seconds()
	})
	gauge("accounts", "Client accounts in force.", func() float64 {
		if config := n.routes.Load(); config != nil {
			return float64(config.accounts.Len())
		}
		return 0
	})
	n.metrics.registry.MustRegister(serviceCollector{node: n}, &n.crossBytes)
	gauge("callers_active", "Caller requests in progress.", func() float64 { return float64(n.callerServer.ActiveRequests()) })
}

// metricsResponse returns the metrics in the Prometheus text format.
func (n *Node) metricsResponse() *sdhttp.Response {
	families, err := n.metrics.registry.Gather()
	if err != nil {
		n.log.Warn("metrics not gathered", "error", err)
	}
	var text bytes.Buffer
	format := expfmt.NewFormat(expfmt.TypeTextPlain)
	encoder := expfmt.NewEncoder(&text, format)
	for _, family := range families {
		if err := encoder.Encode(family); err != nil {
			n.log.Warn("metrics not encoded", "error", err)
		}
	}
	return &sdhttp.Response{Status: http.StatusOK, Header: http.Header{"Content-Type": {string(format)}}, Body: text.Bytes()}
}

// serviceCollector exports the refusal level, remaining retry budget, load and demand
// of each service as this node knows them.
type serviceCollector struct {
	node *Node
}

var (
	shedLevelDesc       = serviceDesc("door_level", "Number of ranks refused because of the service, least important first; the fraction is the refused part of the last one.")
	serviceLoadDesc     = serviceDesc("service_load", "Calls running or queued at the service, divided by its capacity.")
	serviceDemandDesc   = serviceDesc("service_demand", "Share of the service's capacity that the arriving calls need.")
	retryBudgetLeftDesc = serviceDesc("retry_budget_left", "Retries that this node may still send to the service.")
)

func serviceDesc(name, help string) *prometheus.Desc {
	return prometheus.NewDesc(prometheus.BuildFQName(namespace, "", name), help, []string{"service"}, nil)
}

// Describe implements prometheus.Collector.
func (c serviceCollector) Describe(descs chan<- *prometheus.Desc) {
	for _, desc := range []*prometheus.Desc{shedLevelDesc, serviceLoadDesc, serviceDemandDesc, retryBudgetLeftDesc} {
		descs <- desc
	}
}

// Collect implements prometheus.Collector.
func (c serviceCollector) Collect(metrics chan<- prometheus.Metric) {
	table := c.node.routes.Load()
	if table == nil {
		return
	}
	now := c.node.clock.Now()
	gauge := func(desc *prometheus.Desc, value float64, service string) {
		metrics <- prometheus.MustNewConstMetric(desc, prometheus.GaugeValue, value, service)
	}
	for _, service := range table.Config().Services {
		c.node.mu.Lock()
		level := c.node.shedder.Level(service.Name)
		pressure, known := c.node.shedder.Pressure(now, service.Name)
		budgetLeft := c.node.budget.Remaining(now, service.Name)
		c.node.mu.Unlock()
		gauge(shedLevelDesc, level, service.Name)
		gauge(retryBudgetLeftDesc, budgetLeft, service.Name)
		if known {
			gauge(serviceLoadDesc, pressure.Load, service.Name)
			gauge(serviceDemandDesc, pressure.Demand, service.Name)
		}
	}
}

// RegisterLogPipeCounters registers counters of the log lines that the log's output
// has dropped and of its failed writes.
func (n *Node) RegisterLogPipeCounters(dropped, failed func() int64) {
	for _, c := range []struct {
		name, help string
		read       func() int64
	}{
		{"log_pipe_dropped_total", "Log lines dropped because the log's reader is slow or gone.", dropped},
		{"log_pipe_failed_total", "Failed writes to the log's output.", failed},
	} {
		n.metrics.registry.MustRegister(prometheus.NewCounterFunc(
			prometheus.CounterOpts{Namespace: namespace, Name: c.name, Help: c.help}, func() float64 { return float64(c.read()) },
		))
	}
}
