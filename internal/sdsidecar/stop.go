package sdsidecar

import (
	"context"
	"time"
)

const (
	// leastServe is the time for which callers are still served after the
	// signal: the platform takes two missed readiness questions, one a second,
	// before it sends no new work.
	leastServe = 2500 * time.Millisecond
	// lateRequests is the time after the signal from which new requests are not
	// expected any more.
	lateRequests = 3 * time.Second
	// killMargin is kept between the own end and the platform's kill.
	killMargin = 300 * time.Millisecond
	stopPoll   = 20 * time.Millisecond
	// housekeepEvery is the time between two rounds of housekeeping.
	housekeepEvery = time.Second
)

// waitAndStop waits for the signal and then ends the node: readiness goes
// first, other nodes are told, callers are served while they leave, and work
// in flight is finished within the platform's grace.
func (n *Node) waitAndStop(ctx, background context.Context, l listeners) error {
	select {
	case <-ctx.Done():
	case <-background.Done():
		return nil
	case <-n.aborted:
		return nil
	}
	began := time.Now()
	n.log.Info("stop begun", "active", n.callers.Active(), "serving_others", n.others.Active())
	n.stopping.Store(true)
	_ = n.do(background, func(c *control) {
		c.stopping = true
		n.publishTarget(c)
	})
	n.callers.CloseSoon()
	end := began.Add(n.changeable.Load().bounds.Grace - killMargin)
	closed := false
	for time.Now().Before(end) {
		time.Sleep(stopPoll)
		since := time.Since(began)
		if since < leastServe {
			continue
		}
		if !closed && since >= lateRequests {
			_ = l.callers.Close()
			closed = true
		}
		n.callers.CloseIdle()
		if closed && n.callers.Active() == 0 && n.others.Active() == 0 {
			break
		}
	}
	_ = n.do(background, func(c *control) { n.send(c, c.roster.Leave(n.clock.Now())) })
	n.log.Info("stop done", "took", time.Since(began), "active", n.callers.Active(), "serving_others", n.others.Active())
	return nil
}

// runHousekeeping closes connections that are not used.
func (n *Node) runHousekeeping(ctx context.Context) error {
	for ctx.Err() == nil {
		n.sleep(ctx, housekeepEvery)
		now := time.Now()
		n.peers.expire(now)
		n.target.pool.Expire(now)
	}
	return nil
}
