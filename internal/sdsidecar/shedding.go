package sdsidecar

import (
	"context"
	"net/http"
	"time"

	"github.com/savorydeal/savorydeal"
	"github.com/savorydeal/savorydeal/internal/sdaccount"
	"github.com/savorydeal/savorydeal/internal/sdhttp"
	"github.com/savorydeal/savorydeal/internal/sdpeerheader"
)

// shedderInterval is the time between two updates of the refusal levels.
const shedderInterval = 100 * time.Millisecond

// shedderLogInterval is the time between two log lines while requests are refused.
const shedderLogInterval = time.Second

// runShedder updates the refusal levels regularly and logs them while one is above 0.
func (n *Node) runShedder(ctx context.Context) error {
	tick := time.NewTicker(shedderInterval)
	defer tick.Stop()
	refusing, loggedAt := false, time.Time{}
	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return nil
		}
		now := n.clock.Now()
		n.mu.Lock()
		n.shedder.Tick(now)
		levels, pressures := n.shedder.Levels(now)
		n.mu.Unlock()
		if refusing != (len(levels) > 0) || refusing && now.Sub(loggedAt) >= shedderLogInterval {
			refusing, loggedAt = len(levels) > 0, now
			n.log.Info("door", "closed", refusing, "levels", levels, "pressures", pressures)
		}
	}
}

// setPriorities passes the ranks of a configuration to the shedder.
func (n *Node) setPriorities(config savorydeal.RouteConfig) {
	n.mu.Lock()
	n.shedder.SetPriorities(sdaccount.Ranks(&config))
	n.mu.Unlock()
}

// checkPressure returns the refusal of a new request if a service that it would
// call is overloaded, and nil if the request may begin. Calls of a run in progress are
// never refused here.
func (n *Node) checkPressure(_ context.Context, r *request) *sdhttp.Response {
	n.mu.Lock()
	now := n.clock.Now()
	n.budget.RecordRequest(now, r.service)
	if r.parent != nil {
		n.mu.Unlock()
		return nil
	}
	service, refused := n.shedder.ShouldRefuse(r.rank, r.service, n.graph.Calls(now, r.route.Name), n.random.Float64())
	level := n.shedder.Level(service)
	pressure, _ := n.shedder.Pressure(now, service)
	reportAge := n.shedder.ReportAge(now, service)
	n.mu.Unlock()
	if !refused {
		return nil
	}
	n.log.Request("refused at the first node", "request", r.id, "route", r.route.Name, "rank", r.rank, "service", service,
		"level", level, "load", pressure.Load, "demand", pressure.Demand, "word_age", reportAge)
	return n.refuse(r, reasonOverload)
}

// observeReply records what an attempt's reply reports about its downstream calls and
// about the load of services.
func (n *Node) observeReply(r *request, response *sdhttp.Response, reply sdpeerheader.Reply) {
	if r.parent != nil && (reply.ReachedTarget || len(reply.DownstreamCalls) > 0) {
		r.parent.countCall(r.service, 1, reply.DownstreamCalls)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.clock.Now()
	if reply.Outcome == sdpeerheader.OutcomeRan {
		n.graph.Observe(now, r.route.Name, reply.DownstreamCalls, response.Status < http.StatusInternalServerError)
	}
	if pressure, ok := n.balancer.ServiceLoad(now, r.service); ok {
		n.shedder.Observe(now, r.service, pressure)
	}
	for service, pressure := range reply.Pressures {
		n.shedder.Observe(now, service, pressure)
	}
}

// downstreamPressures returns the known pressures on the services that a run has called.
func (n *Node) downstreamPressures(calls map[string]float64) map[string]savorydeal.Pressure {
	if len(calls) == 0 {
		return nil
	}
	pressures := make(map[string]savorydeal.Pressure, len(calls))
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.clock.Now()
	for service := range calls {
		if pressure, ok := n.shedder.Pressure(now, service); ok {
			pressures[service] = pressure
		}
	}
	return pressures
}
