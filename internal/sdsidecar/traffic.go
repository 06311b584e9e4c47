package sdsidecar

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"
)

// trafficLogInterval is the time between two log lines about the traffic of each route
// and about the node's state. Requests that succeed at the first attempt have no log
// line of their own.
const trafficLogInterval = 2 * time.Second

// routeTraffic counts callers' requests of one route since the last log line.
type routeTraffic struct {
	answered, refused, failed int
	// late is the number of answered requests that exceeded the route's latency
	// objective.
	late int
}

// traffic counts the requests of callers by route.
type traffic struct {
	mu     sync.Mutex
	routes map[string]*routeTraffic
}

func (t *traffic) record(r *request, status int, duration time.Duration) {
	if r.depth > 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.routes == nil {
		t.routes = make(map[string]*routeTraffic)
	}
	counts := t.routes[r.route.Name]
	if counts == nil {
		counts = &routeTraffic{}
		t.routes[r.route.Name] = counts
	}
	switch {
	case status == http.StatusServiceUnavailable, !r.dispatched:
		counts.refused++
	case status >= http.StatusInternalServerError:
		counts.failed++
	default:
		counts.answered++
		if duration > r.route.LatencyObjective {
			counts.late++
		}
	}
}

func (t *traffic) takeCounts() map[string]*routeTraffic {
	t.mu.Lock()
	defer t.mu.Unlock()
	routes := t.routes
	t.routes = nil
	return routes
}

// runTraffic logs the traffic counts of each route and the node's state regularly.
func (n *Node) runTraffic(ctx context.Context) error {
	for ctx.Err() == nil {
		n.sleep(ctx, trafficLogInterval)
		routes := n.traffic.takeCounts()
		for _, name := range slices.Sorted(maps.Keys(routes)) {
			counts := routes[name]
			n.log.Info("traffic", "route", name, "answered", counts.answered, "late", counts.late, "refused", counts.refused, "failed", counts.failed)
		}
		n.target.mu.Lock()
		load := n.target.load()
		n.target.mu.Unlock()
		members, version := 0, uint64(0)
		var confirmedAgo time.Duration
		err := n.callControl(ctx, func(c *controlState) {
			version, confirmedAgo = c.config.Version, n.clock.Now().Sub(c.confirmed.At)
			for _, member := range c.members {
				if member.Live() {
					members++
				}
			}
		})
		if err != nil {
			return nil
		}
		n.log.Info("state", "running", load.Running, "queued", load.Queued, "limit", load.Limit, "demand", load.Demand,
			"cross_dc_bytes", n.crossBytes.total(), "members", members, "version", version, "confirmed_ago", confirmedAgo.Round(time.Millisecond))
	}
	return nil
}
