// Package sdgraph estimates which services the runs of a route call, and how
// often, from the numbers of calls reported at the end of each run. It does no I/O.
package sdgraph

import (
	"maps"
	"time"
)

const (
	// minRunWeight is the least weight of a new run in the mean of its route. The
	// first runs have a higher weight.
	minRunWeight = 0.05
	// minRuns is the number of runs from which the mean of a route is used.
	minRuns = 5
	// maxAge is the time after the last run from which the mean is no longer used,
	// because routes move to other services.
	maxAge = 30 * time.Second
	// minCalls is the mean number of calls per run below which a service counts as
	// not called.
	minCalls = 0.02
)

// routeCalls is the estimate for one route.
type routeCalls struct {
	// means holds the mean number of calls per run by service.
	means      map[string]float64
	runs       int
	observedAt time.Time
}

// Graph holds one node's estimates of the calls of all routes. It is not safe for
// concurrent use.
type Graph struct {
	routes map[string]*routeCalls
}

// New returns an empty Graph.
func New() *Graph {
	return &Graph{routes: make(map[string]*routeCalls)}
}

// Observe records the calls that one run of a route has made, by service,
// including calls of downstream services. An incomplete run may have made only
// some of its calls, so that it can only raise the means.
func (g *Graph) Observe(now time.Time, route string, calls map[string]float64, complete bool) {
	estimate := g.routes[route]
	if estimate == nil || now.Sub(estimate.observedAt) > maxAge {
		g.routes[route] = &routeCalls{means: maps.Clone(calls), runs: 1, observedAt: now}
		return
	}
	estimate.runs++
	estimate.observedAt = now
	weight := max(minRunWeight, 1/float64(estimate.runs))
	if estimate.means == nil {
		estimate.means = make(map[string]float64)
	}
	for service := range calls {
		if _, ok := estimate.means[service]; !ok {
			estimate.means[service] = 0
		}
	}
	for service, mean := range estimate.means {
		if !complete && calls[service] <= mean {
			continue
		}
		mean += weight * (calls[service] - mean)
		if mean < minCalls {
			delete(estimate.means, service)
			continue
		}
		estimate.means[service] = mean
	}
}

// Calls returns the mean number of calls per run by service, or nil if there are
// too few runs or none is recent. The caller must not modify the result.
func (g *Graph) Calls(now time.Time, route string) map[string]float64 {
	estimate := g.routes[route]
	if estimate == nil || estimate.runs < minRuns || now.Sub(estimate.observedAt) > maxAge {
		return nil
	}
	return estimate.means
}

// Expire removes the routes without a recent run.
func (g *Graph) Expire(now time.Time) {
	for route, estimate := range g.routes {
		if now.Sub(estimate.observedAt) > maxAge {
			delete(g.routes, route)
		}
	}
}
