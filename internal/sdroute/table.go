// Package sdroute finds the route of a request by its host and the longest
// matching prefix of its path, and the service of a route by weight. It does no
// I/O.
package sdroute

import (
	"net"
	"slices"
	"strings"

	"github.com/savorydeal/savorydeal"
)

// Table is an immutable index of one route configuration.
type Table struct {
	config savorydeal.RouteConfig
	// routesByHost holds the routes of each lower-case host, longest path
	// prefix first.
	routesByHost map[string][]*savorydeal.Route
	services     map[string]savorydeal.ServiceSpec
}

// NewTable returns the index of a configuration.
func NewTable(config savorydeal.RouteConfig) *Table {
	t := &Table{
		config:       config,
		routesByHost: make(map[string][]*savorydeal.Route),
		services:     make(map[string]savorydeal.ServiceSpec, len(config.Services)),
	}
	for i := range config.Routes {
		route := &config.Routes[i]
		t.routesByHost[route.Host] = append(t.routesByHost[route.Host], route)
	}
	for _, routes := range t.routesByHost {
		slices.SortStableFunc(routes, func(a, b *savorydeal.Route) int { return len(b.PathPrefix) - len(a.PathPrefix) })
	}
	for _, service := range config.Services {
		t.services[service.Name] = service
	}
	return t
}

// Config returns the configuration.
func (t *Table) Config() *savorydeal.RouteConfig {
	return &t.config
}

// Service returns the operators' settings of a service.
func (t *Table) Service(name string) (savorydeal.ServiceSpec, bool) {
	service, ok := t.services[name]
	return service, ok
}

// Find returns the route of a request. host is the Host header, with or without
// a port; target is the request target: a path with its query, if any.
func (t *Table) Find(host, target string) (*savorydeal.Route, bool) {
	routes, ok := t.routesByHost[strings.ToLower(host)]
	if !ok {
		if hostname, _, err := net.SplitHostPort(host); err == nil {
			routes = t.routesByHost[strings.ToLower(hostname)]
		}
	}
	path, _, _ := strings.Cut(target, "?")
	for _, route := range routes {
		if strings.HasPrefix(path, route.PathPrefix) {
			return route, true
		}
	}
	return nil, false
}

// ChooseService picks a service of a route by weight. draw selects it and must
// be uniform in [0, 1).
func ChooseService(route *savorydeal.Route, draw float64) string {
	if len(route.Splits) == 1 {
		return route.Splits[0].Service
	}
	total := 0.0
	for _, split := range route.Splits {
		total += split.Weight
	}
	draw *= total
	for _, split := range route.Splits {
		if draw < split.Weight {
			return split.Service
		}
		draw -= split.Weight
	}
	return route.Splits[len(route.Splits)-1].Service
}
