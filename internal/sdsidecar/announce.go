package sdsidecar

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/savorydeal/savorydeal"
	"github.com/savorydeal/savorydeal/internal/sdhttp"
	"github.com/savorydeal/savorydeal/internal/sdinstance"
	"github.com/savorydeal/savorydeal/platform"
)

const (
	// targetPollInterval is the time between two health checks of a missing or
	// unreachable target. During the first startupPollDuration after the node's
	// start it is startupPollInterval.
	targetPollInterval  = 100 * time.Millisecond
	startupPollInterval = 15 * time.Millisecond
	startupPollDuration = time.Second
	// departedPollInterval is the time between two health checks while the last known
	// target is leaving and has not announced itself to this process.
	departedPollInterval = 500 * time.Millisecond
	// healthCheckTimeout is the maximum duration of one health check.
	healthCheckTimeout = 500 * time.Millisecond
	// minAssumedSlots and connectionsPerSlot estimate the slots of a target that
	// has not announced them yet: the service's maximum number of connections
	// divided by connectionsPerSlot, and at least minAssumedSlots. If the estimate
	// is too high, the target itself refuses the excess calls.
	minAssumedSlots    = 32
	connectionsPerSlot = 8
)

// handleReadiness answers the platform's readiness check: 200 while callers may be
// routed to this node, 503 while it stops or has no configuration yet.
func (n *Node) handleReadiness(_ context.Context, request *sdhttp.Request) *sdhttp.Response {
	if request.Target != platform.ReadinessPath {
		return &sdhttp.Response{Status: http.StatusNotFound}
	}
	if n.stopping.Load() || n.routes.Load() == nil {
		return &sdhttp.Response{Status: http.StatusServiceUnavailable}
	}
	return &sdhttp.Response{Status: http.StatusOK}
}

// handleAnnounce handles the announcements of this VM's target. The new target
// state applies to calls before the target receives the response.
func (n *Node) handleAnnounce(ctx context.Context, request *sdhttp.Request) *sdhttp.Response {
	if request.Target == membersPath {
		// The platform lists nodes to join through by their announce address.
		return n.handleControlCall(ctx, request)
	}
	identity, ok := strings.CutPrefix(request.Target, platform.HeartbeatPathPrefix)
	identity, _, _ = strings.Cut(identity, "?")
	if !ok || identity == "" {
		return &sdhttp.Response{Status: http.StatusNotFound}
	}
	var event controlEvent
	result, leaving := sdinstance.ResultForeign, false
	switch request.Method {
	case http.MethodPut:
		heartbeat, err := platform.DecodeHeartbeat(identity, request.Body)
		if err != nil {
			n.log.Warn("announcement rejected", "identity", identity, "error", err)
			return &sdhttp.Response{Status: http.StatusBadRequest}
		}
		leaving = heartbeat.Leaving
		event = func(c *controlState) { result = c.tracker.Announce(n.clock.Now(), heartbeat) }
	case http.MethodDelete:
		started, err := platform.DecodeLeave(request.Body)
		if err != nil {
			n.log.Warn("leave announcement rejected", "identity", identity, "error", err)
			return &sdhttp.Response{Status: http.StatusBadRequest}
		}
		leaving = true
		event = func(c *controlState) { result = c.tracker.Leave(n.clock.Now(), identity, started) }
	default:
		return &sdhttp.Response{Status: http.StatusMethodNotAllowed}
	}
	err := n.callControl(ctx, func(c *controlState) {
		event(c)
		n.publishTarget(c)
	})
	if err != nil {
		return &sdhttp.Response{Status: http.StatusServiceUnavailable}
	}
	if result != sdinstance.ResultAccepted {
		n.log.Info("announcement ignored", "identity", identity, "verdict", result, "method", request.Method)
	}
	if leaving && !n.awaitKept(ctx) {
		if ctx.Err() != nil {
			return &sdhttp.Response{Status: http.StatusServiceUnavailable}
		}
		n.log.Warn("leaving not acknowledged", "identity", identity, "method", request.Method, "waited", ackTimeout)
		return &sdhttp.Response{Status: http.StatusServiceUnavailable}
	}
	header := http.Header{"Content-Type": {"application/json"}}
	return &sdhttp.Response{Status: http.StatusOK, Header: header, Body: []byte(platform.HeartbeatResponse)}
}

// runTargetDiscovery polls the health check of a target that is unknown or
// unreachable. Without it, a node that has just started would have no target until
// the next announcement.
func (n *Node) runTargetDiscovery(ctx context.Context) error {
	for ctx.Err() == nil {
		interval := targetPollInterval
		if n.clock.Now().Sub(n.started) < startupPollDuration {
			interval = startupPollInterval
		}
		n.sleep(ctx, interval)
		table := n.routes.Load()
		if table == nil {
			continue
		}
		var state sdinstance.State
		missing := false
		if n.callControl(ctx, func(c *controlState) { state, missing = c.tracker.State(), c.tracker.Missing() }) != nil {
			continue
		}
		service, ok := table.Service(n.settings.Service)
		if !missing || !ok {
			continue
		}
		n.checkTargetHealth(ctx, service, state)
		if state.Target == savorydeal.TargetLeaving {
			n.sleep(ctx, departedPollInterval)
		}
	}
	return nil
}

// checkTargetHealth sends one health check to the target's address, if the target's rate
// limit allows it. A successful check makes a known target reachable again or discovers an
// unknown one; what the target states in its answer holds before the first call.
func (n *Node) checkTargetHealth(ctx context.Context, service savorydeal.ServiceSpec, state sdinstance.State) {
	if !n.target.takeStart() {
		return
	}
	sentAt := n.clock.Now()
	request := &sdhttp.Request{Method: http.MethodGet, Host: n.settings.TargetAddress, Target: service.HealthPath, Header: http.Header{}, Control: true}
	answer, err := n.target.pool.Do(ctx, request, time.Now().Add(healthCheckTimeout), true, acceptAny)
	if err != nil {
		return
	}
	identity := answer.Header.Get(n.headers.Identity)
	_ = n.callControl(ctx, func(c *controlState) {
		now := n.clock.Now()
		switch {
		case answer.Status != http.StatusOK:
		case identity == state.Heartbeat.Identity && c.tracker.ConnectionRestored(now):
			n.log.Info("target reachable again", "identity", identity)
		case c.tracker.Discovered(now, identity, max(minAssumedSlots, service.MaxConnections/connectionsPerSlot)):
			n.log.Info("target discovered by health check", "identity", identity)
		}
		if start := c.tracker.State().Heartbeat.Start(); identity != "" && identity == start.Identity {
			n.target.setState(c.tracker.State()) // so that the answer is that of a known target
			n.target.observeAnswer(start, sentAt, answer)
		}
		n.publishTarget(c)
	})
}
