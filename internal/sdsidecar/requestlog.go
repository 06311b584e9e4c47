package sdsidecar

import (
	"sync"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/time/rate"

	"github.com/savorydeal/savorydeal"
)

const (
	// linesPerSecond and lineBurst limit the lines of each event that is logged per
	// request.
	linesPerSecond = 20
	lineBurst      = 100
)

// requestLog is the node's log. Lines logged per request are rate limited for each
// event; omitted lines are counted, and the event's next line carries the count.
type requestLog struct {
	hclog.Logger
	clock   savorydeal.Clock
	metrics *metrics

	mu     sync.Mutex
	events map[string]*eventLimit
}

// eventLimit limits the rate of one event's lines.
type eventLimit struct {
	limiter *rate.Limiter
	omitted int
}

func newRequestLog(logger hclog.Logger, clock savorydeal.Clock, metrics *metrics) *requestLog {
	return &requestLog{Logger: logger, clock: clock, metrics: metrics, events: make(map[string]*eventLimit)}
}

// Request logs a line about one request, unless the event exceeds its rate limit.
func (l *requestLog) Request(event string, pairs ...any) {
	omitted, ok := l.allow(event)
	if !ok {
		l.metrics.linesDropped.Inc()
		return
	}
	if omitted > 0 {
		pairs = append(pairs, "lines_left_out", omitted)
	}
	l.Info(event, pairs...)
}

// allow reports whether a line of the event may be written, and how many lines have
// been omitted since the last one.
func (l *requestLog) allow(event string) (omitted int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	limit := l.events[event]
	if limit == nil {
		limit = &eventLimit{limiter: rate.NewLimiter(linesPerSecond, lineBurst)}
		l.events[event] = limit
	}
	if !limit.limiter.AllowN(l.clock.Now(), 1) {
		limit.omitted++
		return 0, false
	}
	omitted, limit.omitted = limit.omitted, 0
	return omitted, true
}
