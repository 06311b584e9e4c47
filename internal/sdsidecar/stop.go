package sdsidecar

import (
	"context"
	"time"
)

const (
	// minCallerServeTime is the minimum time for which callers are still served
	// after the stop signal. The platform checks readiness once a second and stops
	// sending new requests after two failed checks.
	minCallerServeTime = 2500 * time.Millisecond
	// peerServeTime is the time after the stop signal for which this VM's target is
	// still advertised to other nodes as ready, so that a restart costs its service
	// little capacity. The time from then to callersCloseTime is left for their calls
	// to end.
	peerServeTime = 2 * time.Second
	// peerServeShare bounds peerServeTime by this share of the platform's grace
	// period.
	peerServeShare = 1.0 / 3
	// callersCloseTime is the time after the stop signal at which the listener for
	// callers closes: from then on no new requests are expected.
	callersCloseTime = 3 * time.Second
	// minIdleBeforeClose is how long a connection of a caller must have had no request
	// before it is closed: the first request of a connection that was just accepted is
	// still on its way.
	minIdleBeforeClose = 300 * time.Millisecond
	// killMargin is the time before the platform's kill at which the process ends.
	killMargin       = 300 * time.Millisecond
	stopPollInterval = 20 * time.Millisecond
	// housekeepingInterval is the time between two closings of unused connections.
	housekeepingInterval = time.Second
)

// waitAndStop waits for the end of ctx (the stop signal) and then stops the node
// gracefully. First the readiness check fails while requests are still served, then
// the target is advertised as leaving, then the caller listener closes. Calls in
// progress may finish until killMargin before the end of the platform's grace period.
func (n *Node) waitAndStop(ctx, background context.Context, l listeners) error {
	select {
	case <-ctx.Done():
	case <-background.Done():
		return nil
	case <-n.aborted:
		return nil
	}
	signalledAt := time.Now()
	n.log.Info("graceful stop started", "active", n.callerServer.ActiveRequests(), "serving_others", n.peerServer.ActiveRequests())
	n.stopping.Store(true)
	n.callerServer.DisableKeepAlives()
	grace := n.reloadable.Load().bounds.Grace
	end := signalledAt.Add(grace - killMargin)
	leaveAfter := min(peerServeTime, time.Duration(peerServeShare*float64(grace)))
	callersClosed, leaveAnnounced := false, false
	for time.Now().Before(end) {
		time.Sleep(stopPollInterval)
		elapsed := time.Since(signalledAt)
		if !leaveAnnounced && elapsed >= leaveAfter {
			leaveAnnounced = true
			_ = n.callControl(background, func(c *controlState) {
				c.stopping = true
				n.publishTarget(c)
			})
		}
		if elapsed < minCallerServeTime {
			continue
		}
		if !callersClosed && elapsed >= callersCloseTime {
			_ = l.callers.Close()
			callersClosed = true
		}
		n.callerServer.CloseIdle(minIdleBeforeClose)
		if callersClosed && n.callerServer.OpenConns() == 0 && n.peerServer.ActiveRequests() == 0 {
			break
		}
	}
	_ = n.callControl(background, func(c *controlState) { n.send(c, c.roster.Leave(n.clock.Now())) })
	n.log.Info("graceful stop finished", "took", time.Since(signalledAt), "active", n.callerServer.ActiveRequests(), "serving_others", n.peerServer.ActiveRequests())
	return nil
}

// runHousekeeping closes connections that have exceeded their idle timeout.
func (n *Node) runHousekeeping(ctx context.Context) error {
	for ctx.Err() == nil {
		n.sleep(ctx, housekeepingInterval)
		now := time.Now()
		n.peers.expire(now)
		n.target.pool.Expire(now)
	}
	return nil
}
