package sdbenchoverload

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"
)

// thinkTime is the mean pause of a closed-loop caller between two requests.
const thinkTime = 500 * time.Millisecond

// runClosed runs callers that wait for the end of one request before the next:
// enough of them for the calm rate, and the surge's multiple of them while the
// trigger lasts.
func (l *load) runClosed(ctx context.Context, start time.Time, s scenario, t timing) {
	cycle := thinkTime + l.bed.shape.service(l.bed.shape.bottleneck).serviceTime
	calm := int(l.rate * cycle.Seconds())
	spans := s.triggers(t)
	for i := range int(float64(calm) * s.surge) {
		worker := &closedCaller{load: l, index: i, start: start, random: rand.New(rand.NewPCG(l.random.Uint64(), 1))}
		l.wait.Add(1)
		go func() {
			defer l.wait.Done()
			if i < calm {
				worker.run(ctx, span{0, t.total()})
				return
			}
			for _, on := range spans {
				worker.run(ctx, on)
			}
		}()
	}
	l.wait.Wait()
}

// closedCaller is one caller with one request at a time.
type closedCaller struct {
	load   *load
	index  int
	sent   int
	start  time.Time
	random *rand.Rand
}

func (c *closedCaller) run(ctx context.Context, on span) {
	time.Sleep(time.Until(c.start.Add(on.from)))
	for ctx.Err() == nil {
		time.Sleep(time.Duration(c.random.ExpFloat64() * float64(thinkTime)))
		if time.Since(c.start) >= on.to {
			return
		}
		c.sent++
		c.load.mu.Lock()
		one := &entry{
			id:        fmt.Sprintf("c-%d-%d", c.index, c.sent),
			operation: c.load.draw(),
			caller:    c.index % callerCount,
			arrived:   time.Now(),
		}
		c.load.entries = append(c.load.entries, one)
		c.load.mu.Unlock()
		c.load.send(ctx, one, one.caller%dataCentres, c.random)
	}
}
