package sdsidecar

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/savorydeal/savorydeal"
	"github.com/savorydeal/savorydeal/internal/sdhttp"
)

// Paths served at the metrics address.
const (
	metricsPath = "/metrics"
	statePath   = "/state"
)

// handleMetrics serves the metrics and the state dump at the metrics address.
func (n *Node) handleMetrics(ctx context.Context, request *sdhttp.Request) *sdhttp.Response {
	switch request.Target {
	case metricsPath:
		return n.metricsResponse()
	case statePath:
		return n.stateResponse(ctx)
	}
	return &sdhttp.Response{Status: http.StatusNotFound}
}

// stateResponse returns the state dump: the data that the node's decisions use, as
// JSON.
func (n *Node) stateResponse(ctx context.Context) *sdhttp.Response {
	now := n.clock.Now()
	state := map[string]any{"node": n.settings.Node, "generation": n.generation, "stopping": n.stopping.Load(), "watch_rank": n.watchRank.Load()}
	state["store"] = n.eraState(now)
	err := n.callControl(ctx, func(c *controlState) {
		target := c.tracker.State()
		state["target"] = map[string]any{
			"state": target.Target, "identity": target.Heartbeat.Identity, "started": target.Heartbeat.Started, "sequence": target.Heartbeat.Sequence,
			"slots": target.Heartbeat.Slots,
		}
		state["departures"] = departuresState(now, c.tracker.Departures())
		departuresOfOthers := make(map[string]any)
		for _, member := range c.members {
			if departures := c.departures.Of(member.Node); len(departures) > 0 {
				departuresOfOthers[string(member.Node)] = departuresState(now, departures)
			}
		}
		state["departures_of_others"] = departuresOfOthers
		state["config"] = map[string]any{
			"version": c.config.Version, "routes": len(c.config.Routes), "confirmed_ago_s": now.Sub(c.confirmed.At).Seconds(),
			"accounts": accountsState(c.config.Accounts),
		}
		members := make([]map[string]any, 0, len(c.members))
		for _, member := range c.members {
			members = append(members, map[string]any{
				"node": member.Node, "state": member.State, "target": member.TargetState, "service": member.Service,
				"data_centre": member.DataCentre, "generation": member.Generation, "slots": member.Slots,
			})
		}
		state["members"] = members
	})
	if err != nil {
		return &sdhttp.Response{Status: http.StatusServiceUnavailable}
	}
	n.mu.Lock()
	services := make(map[string]any)
	if table := n.routes.Load(); table != nil {
		for _, service := range table.Config().Services {
			pressure, _ := n.shedder.Pressure(now, service.Name)
			services[service.Name] = map[string]any{
				"load": pressure.Load, "demand": pressure.Demand, "door_level": n.shedder.Level(service.Name), "budget_left": n.budget.Remaining(now, service.Name),
			}
		}
	}
	feedbackOfOthers := make(map[string]any)
	for node, known := range n.feedback.All() {
		entry := feedbackState(known.Start, known.Feedback)
		if known.Feedback.Limited {
			entry["limit_stated_ago_s"] = now.Sub(known.LimitAt).Seconds()
		}
		feedbackOfOthers[string(node)] = entry
	}
	n.mu.Unlock()
	state["services"] = services
	state["feedback_of_others"] = feedbackOfOthers
	crashingRequests := make([]map[string]any, 0)
	for _, entry := range n.poison.List(now) {
		crashingRequests = append(crashingRequests, map[string]any{
			"fingerprint": entry.Fingerprint.String(), "service": entry.Service, "method": entry.Method, "path": entry.Path,
			"crashes": entry.Crashes, "blocked": entry.Blocked, "until": entry.Until,
		})
	}
	state["crashing_requests"] = crashingRequests
	state["quotas"] = n.quotas.state()
	n.target.mu.Lock()
	load, start, feedback := n.target.load(), n.target.feedback.Start(), n.target.feedback.InForce()
	n.target.mu.Unlock()
	state["target_feedback"] = feedbackState(start, feedback)
	state["queue"] = map[string]any{"running": load.Running, "waiting": load.Queued, "limit": load.Limit}
	text, err := json.MarshalIndent(state, "", "  ")
	if err != nil {
		n.log.Error("state dump not encoded", "error", err)
		return &sdhttp.Response{Status: http.StatusInternalServerError}
	}
	return &sdhttp.Response{Status: http.StatusOK, Header: http.Header{"Content-Type": {"application/json"}}, Body: append(text, '\n')}
}

// departuresState returns departures; started is 0 if the target has not stated it.
func departuresState(now time.Time, departures []savorydeal.Departure) []map[string]any {
	state := make([]map[string]any, 0, len(departures))
	for _, departure := range departures {
		state = append(state, map[string]any{
			"identity": departure.Start.Identity, "started": departure.Start.Started, "left_ago_s": now.Sub(departure.LeftAt).Seconds(),
		})
	}
	return state
}

// accountsState returns the accounts without their keys.
func accountsState(accounts []savorydeal.Account) []map[string]any {
	state := make([]map[string]any, 0, len(accounts))
	for _, account := range accounts {
		state = append(state, map[string]any{
			"name": account.Name, "keys": len(account.Keys), "priority": account.Priority, "rate": account.Quota.Rate, "burst": account.Quota.Burst,
		})
	}
	return state
}

// feedbackState returns what holds of a target; rate_limit is absent if it states none.
func feedbackState(start savorydeal.TargetStart, feedback savorydeal.Feedback) map[string]any {
	state := map[string]any{"identity": start.Identity, "started": start.Started, "leaving": feedback.Leaving}
	if feedback.Limited {
		state["rate_limit"] = feedback.RateLimit
	}
	return state
}
