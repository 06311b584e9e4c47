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
	killMargin = 300 * time.Millisecond
	// refusalWriteTime is the time that is left at the end for the answers to calls which
	// still wait for the target and are refused.
	refusalWriteTime = 100 * time.Millisecond
	stopPollInterval = 20 * time.Millisecond
	// housekeepingInterval is the time between two closings of unused connections.
	housekeepingInterval = time.Second
)

// stopSchedule holds the times of a graceful stop.
type stopSchedule struct {
	// callersUntil and peersUntil are the times until which each request of callers and
	// each call of other nodes is taken; later ones are if they end in time.
	callersUntil, peersUntil time.Time
	// end is when the requests in progress are cut.
	end time.Time
}

func newStopSchedule(signalledAt time.Time, grace time.Duration) *stopSchedule {
	leaveAfter := min(peerServeTime, time.Duration(peerServeShare*float64(grace)))
	return &stopSchedule{
		callersUntil: signalledAt.Add(callersCloseTime), peersUntil: signalledAt.Add(leaveAfter), end: signalledAt.Add(grace - killMargin),
	}
}

// outlastsStop reports whether a request of a caller that is taken now might still be in
// progress when the node ends. Calls of runs in progress are not checked: they end with
// their run.
func (n *Node) outlastsStop(r *request) bool {
	stop := n.stop.Load()
	return stop != nil && r.parent == nil && time.Now().After(stop.callersUntil) && r.deadline.After(stop.end)
}

// callOutlastsStop reports the same of a call of another node.
func (n *Node) callOutlastsStop(deadline time.Time) bool {
	stop := n.stop.Load()
	return stop != nil && time.Now().After(stop.peersUntil) && deadline.After(stop.end)
}

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
	schedule := newStopSchedule(signalledAt, n.reloadable.Load().bounds.Grace)
	n.stop.Store(schedule)
	callersClosed, leaveAnnounced, drained := false, false, false
	for time.Now().Before(schedule.end) {
		time.Sleep(stopPollInterval)
		elapsed := time.Since(signalledAt)
		if !drained && time.Until(schedule.end) <= refusalWriteTime {
			drained = true
			n.target.refuseWaiting()
		}
		if !leaveAnnounced && time.Now().After(schedule.peersUntil) {
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

// runHousekeeping closes connections that have exceeded their idle timeout, and forgets
// client accounts without requests.
func (n *Node) runHousekeeping(ctx context.Context) error {
	for ctx.Err() == nil {
		n.sleep(ctx, housekeepingInterval)
		now := time.Now()
		n.peers.expire(now)
		n.target.pool.Expire(now)
		n.mu.Lock()
		n.fairShares.Expire(now)
		n.mu.Unlock()
	}
	return nil
}
