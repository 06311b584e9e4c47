package sdsidecar

import (
	"sync"
	"sync/atomic"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/time/rate"

	"github.com/savorydeal/savorydeal"
)

const (
	// linesPerSecond and linesBurst bound the lines about single requests.
	linesPerSecond = 50
	linesBurst     = 200
)

// journal is the node's log. Lines about single requests are bounded; those
// that are left out are counted and the count goes out with the next line.
type journal struct {
	hclog.Logger
	clock   savorydeal.Clock
	metrics *metrics
	mu      sync.Mutex
	limiter *rate.Limiter
	dropped atomic.Int64
}

func newJournal(log hclog.Logger, clock savorydeal.Clock, metrics *metrics) *journal {
	return &journal{Logger: log, clock: clock, metrics: metrics, limiter: rate.NewLimiter(linesPerSecond, linesBurst)}
}

// Request writes a line about one request.
func (j *journal) Request(message string, pairs ...any) {
	j.mu.Lock()
	allowed := j.limiter.AllowN(j.clock.Now(), 1)
	j.mu.Unlock()
	if !allowed {
		j.dropped.Add(1)
		j.metrics.linesDropped.Inc()
		return
	}
	if dropped := j.dropped.Swap(0); dropped > 0 {
		pairs = append(pairs, "lines_left_out", dropped)
	}
	j.Info(message, pairs...)
}
