package savorydeal

import "time"

// RouteKind is whether the requests of a route may be repeated.
type RouteKind string

// Kinds of routes.
const (
	// RouteIdempotent requests may run more than once.
	RouteIdempotent RouteKind = "idempotent"
	// RouteNonIdempotent requests run at most once for each request of a caller.
	RouteNonIdempotent RouteKind = "non_idempotent"
	// RouteDownload requests are idempotent and have large answers.
	RouteDownload RouteKind = "download"
)

// Repeatable reports whether a request that may have run may be sent again.
func (k RouteKind) Repeatable() bool {
	return k == RouteIdempotent || k == RouteDownload
}

// Split is one service of a route with its share of the route's requests.
type Split struct {
	Service string
	// Weight is relative to the weights of the route's other services.
	Weight float64
}

// Route sends the requests of a host under a path prefix to services.
type Route struct {
	Name string
	Host string
	// PathPrefix begins and ends with a slash.
	PathPrefix string
	Kind       RouteKind
	// Timeout limits the time from a request's arrival to its answer.
	Timeout time.Duration
	// LatencyObjective is the latency up to which an answer has its full value.
	LatencyObjective time.Duration
	// Priority is the importance of the requests; 0 is the most important.
	Priority int
	Splits   []Split
	// MaxTargets limits the number of targets that one request is sent to.
	MaxTargets int
	// Public requests need no API key.
	Public bool
}

// ServiceSpec is the configuration of a service.
type ServiceSpec struct {
	Name       string
	HealthPath string
	// MaxConnections limits the connections to one target of the service.
	MaxConnections int
}

// RequestLimits limit the requests and connections of callers.
type RequestLimits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	// IdleTimeout is how long a connection without a request is kept open.
	IdleTimeout time.Duration
}

// Pressure is the measured load of a target or a service.
type Pressure struct {
	// Load is the number of running and queued calls, divided by the concurrency
	// limit of the target, or by the sum of the limits of a service's targets.
	Load float64
	// Demand is the share of that limit that the arriving calls would use if none
	// of them were queued; above 1 the queue grows.
	Demand float64
}

// RouteConfig is the complete configuration of routes, as operators wrote it.
type RouteConfig struct {
	// Version grows with each change, not always by one.
	Version  uint64
	Routes   []Route
	Services []ServiceSpec
	Limits   RequestLimits
	// Accounts are the client accounts; without any, requests need no API key.
	Accounts []Account
}

// EdgeHeaders are the names of the headers between callers, nodes and targets.
type EdgeHeaders struct {
	// RequestID holds the ID of one request of a caller.
	RequestID string
	// Timeout holds the time in milliseconds that the sender will wait.
	Timeout string
	// TargetIdentity holds the identity of the target that has to run a request.
	TargetIdentity string
	// CallerService holds the service of the VM whose node received the request
	// from its caller.
	CallerService string
	// NotRun is present on an answer whose request did not run.
	NotRun string
	// Signature is the target's signature of its answer.
	Signature string
	// Identity holds the identity of the target that sent an answer.
	Identity string
	// Account holds the name of the client account whose API key came with the request.
	Account string
}

// Heartbeat is one announcement of a target, on a platform that identifies
// targets by identity and start time.
type Heartbeat struct {
	Identity string
	// Started is the time of the target's start in Unix milliseconds.
	Started int64
	// Sequence grows with each heartbeat after one start.
	Sequence   int64
	Service    string
	Address    string
	DataCentre string
	Slots      int
	Leaving    bool
	// WarmUpLeft is the remaining warm-up time, in which the target is still slow
	// after its start.
	WarmUpLeft time.Duration
}

// Start returns the start of the target that sent the announcement.
func (h Heartbeat) Start() TargetStart {
	return TargetStart{Identity: h.Identity, Started: h.Started}
}
