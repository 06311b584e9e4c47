package sdbenchoverload

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"
)

// thinkTime is the mean pause of a closed-loop caller between two requests.
const thinkTime = 500 * time.Millisecond

// runClosedLoop runs callers that each wait for the end of a request before they
// send the next one. Their number gives the calm rate; during the overload
// periods it is multiplied by the surge.
func (g *loadGenerator) runClosedLoop(ctx context.Context, start time.Time, s scenario, t timing) {
	cycle := thinkTime + g.deployment.topology.service(g.deployment.topology.bottleneck).serviceTime
	calmCallers := int(g.rate * cycle.Seconds())
	overloadPeriods := s.overloadPeriods(t)
	for i := range int(float64(calmCallers) * s.surge) {
		caller := &closedLoopCaller{generator: g, index: i, start: start, random: rand.New(rand.NewPCG(g.random.Uint64(), 1))}
		g.pending.Add(1)
		go func() {
			defer g.pending.Done()
			if i < calmCallers {
				caller.run(ctx, period{0, t.total()})
				return
			}
			for _, overload := range overloadPeriods {
				caller.run(ctx, overload)
			}
		}()
	}
	g.pending.Wait()
}

// closedLoopCaller sends one request at a time.
type closedLoopCaller struct {
	generator *loadGenerator
	index     int
	sent      int
	start     time.Time
	random    *rand.Rand
}

// run sends requests with exponentially distributed pauses during the active period.
// A request that is in flight at its end is finished.
func (c *closedLoopCaller) run(ctx context.Context, active period) {
	time.Sleep(time.Until(c.start.Add(active.from)))
	for ctx.Err() == nil {
		time.Sleep(time.Duration(c.random.ExpFloat64() * float64(thinkTime)))
		if time.Since(c.start) >= active.to {
			return
		}
		c.sent++
		c.generator.mu.Lock()
		entry := &ledgerEntry{
			id:        fmt.Sprintf("c-%d-%d", c.index, c.sent),
			operation: c.generator.drawOperation(),
			caller:    c.index % callerCount,
			arrived:   time.Now(),
		}
		c.generator.entries = append(c.generator.entries, entry)
		c.generator.mu.Unlock()
		c.generator.send(ctx, entry, entry.caller%dataCentres, c.random)
	}
}
