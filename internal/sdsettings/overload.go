package sdsettings

// Overload selects the mechanisms of overload control. It has no flags: only
// benchmarks that compare mechanisms within one process set it. The zero value is
// the configuration of a production node.
type Overload struct {
	// Limiter selects the algorithm that sets the concurrency limit.
	Limiter Limiter
	// Unbounded switches overload control off: calls run and queue without any
	// limit.
	Unbounded bool
	// FIFO queues calls in the order of arrival, regardless of their class.
	FIFO bool
	// Disabled switches individual mechanisms off.
	Disabled Disabled
}

// Limiter names an algorithm that sets the concurrency limit.
type Limiter string

// Limiters.
const (
	LimiterDefault  Limiter = ""
	LimiterFixed    Limiter = "fixed"
	LimiterAIMD     Limiter = "aimd"
	LimiterGradient Limiter = "gradient"
	LimiterDelay    Limiter = "delay"
)

// Disabled selects the mechanisms that are switched off; the zero value leaves all
// of them on.
type Disabled struct {
	// Shedding refuses requests at their first node and limits retries under
	// overload.
	Shedding bool
	// Fairness prefers callers with fewer calls than others, in shedding and in
	// the target's queue.
	Fairness bool
	// NewestFirst starts the newest calls of a class first while the target's
	// queue stays long.
	NewestFirst bool
	// DepthPriority prefers queued calls that are deeper in their call chain.
	DepthPriority bool
	// Spillover sends calls to another data centre while the node's own one is
	// saturated and the other has spare capacity.
	Spillover bool
	// Ejection stops sending calls for a while to targets to which calls fail.
	Ejection bool
	// Ramp sends fewer calls to a target that has just become ready.
	Ramp bool
}
