package sdsidecar

import (
	"sync"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/time/rate"

	"github.com/savorydeal/savorydeal"
)

const (
	// linesPerSecond and linesBurst bound the lines of each event about single
	// requests.
	linesPerSecond = 20
	linesBurst     = 100
)

// journal is the node's log. Lines about single requests are bounded for each
// event; those that are left out are counted, and the count goes out with the
// event's next line.
type journal struct {
	hclog.Logger
	clock   savorydeal.Clock
	metrics *metrics

	mu     sync.Mutex
	events map[string]*eventLimit
}

// eventLimit bounds the lines of one event.
type eventLimit struct {
	limiter *rate.Limiter
	dropped int
}

func newJournal(log hclog.Logger, clock savorydeal.Clock, metrics *metrics) *journal {
	return &journal{Logger: log, clock: clock, metrics: metrics, events: make(map[string]*eventLimit)}
}

// Request writes a line about one request.
func (j *journal) Request(event string, pairs ...any) {
	dropped, ok := j.allow(event)
	if !ok {
		j.metrics.linesDropped.Inc()
		return
	}
	if dropped > 0 {
		pairs = append(pairs, "lines_left_out", dropped)
	}
	j.Info(event, pairs...)
}

// allow reports whether a line of the event may be written, and how many were
// left out before it.
func (j *journal) allow(event string) (dropped int, ok bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	limit := j.events[event]
	if limit == nil {
		limit = &eventLimit{limiter: rate.NewLimiter(linesPerSecond, linesBurst)}
		j.events[event] = limit
	}
	if !limit.limiter.AllowN(j.clock.Now(), 1) {
		limit.dropped++
		return 0, false
	}
	dropped, limit.dropped = limit.dropped, 0
	return dropped, true
}
