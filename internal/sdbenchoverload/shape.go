package sdbenchoverload

import (
	"net/http"
	"time"

	"github.com/savorydeal/savorydeal"
)

// Scale of the shapes: the numbers of targets are those of the deployments,
// slots and connections a tenth of them, and service times are chosen so that
// the bottleneck's slots and not the machine bound the calls.
const (
	slotScale   = 10
	frontTime   = 10 * time.Millisecond
	dataCentres = 3
)

// serviceShape is one service of a deployment.
type serviceShape struct {
	name        string
	targets     int
	slots       int
	connections int
	serviceTime time.Duration
}

// operationShape is one kind of request and the services it passes, the first
// of them called by the caller.
type operationShape struct {
	name   string
	class  savorydeal.Class
	method string
	// share is the part of all requests that are of this kind.
	share float64
	chain []string
}

func (o operationShape) path() string {
	return "/" + o.name
}

func (o operationShape) passes(service string) bool {
	for _, passed := range o.chain {
		if passed == service {
			return true
		}
	}
	return false
}

// shape is one deployment with chains through its services.
type shape struct {
	name       string
	services   []serviceShape
	operations []operationShape
	// bottleneck is the deep service whose slots bound most requests.
	bottleneck string
}

func (s shape) service(name string) serviceShape {
	for _, service := range s.services {
		if service.name == name {
			return service
		}
	}
	return serviceShape{}
}

// capacity is the most requests a second that the bottleneck's slots allow.
func (s shape) capacity() float64 {
	service := s.service(s.bottleneck)
	return float64(service.targets*service.slots) / service.serviceTime.Seconds()
}

// bound is the share of requests that pass the bottleneck.
func (s shape) bound() float64 {
	share := 0.0
	for _, operation := range s.operations {
		if operation.passes(s.bottleneck) {
			share += operation.share
		}
	}
	return share
}

func shapes() []shape {
	return []shape{khangai(), basak()}
}

func khangai() shape {
	const (
		lookup  = "limit-lookup"
		review  = "review-decision"
		change  = "limit-change"
		history = "review-history"
	)
	return shape{
		name:       "khangai",
		bottleneck: history,
		services: []serviceShape{
			{lookup, 6, 140 / slotScale, 900 / slotScale, frontTime},
			{review, 4, 200 / slotScale, 1300 / slotScale, frontTime},
			{change, 3, 270 / slotScale, 1700 / slotScale, frontTime},
			{history, 3, 40 / slotScale, 300 / slotScale, 150 * time.Millisecond},
		},
		operations: []operationShape{
			{"decide", savorydeal.ClassCritical, http.MethodGet, 0.10, []string{review, change, history}},
			{"raise", savorydeal.ClassCritical, http.MethodPost, 0.10, []string{review, change, history}},
			{"open-review", savorydeal.ClassHigh, http.MethodGet, 0.15, []string{review, history}},
			{"view-history", savorydeal.ClassNormal, http.MethodGet, 0.20, []string{history}},
			{"look-up", savorydeal.ClassLow, http.MethodGet, 0.35, []string{lookup, history}},
			{"peek", savorydeal.ClassLow, http.MethodGet, 0.10, []string{lookup}},
		},
	}
}

func basak() shape {
	const (
		catalogue = "catalogue"
		orders    = "orders"
		payments  = "payments"
		dispatch  = "dispatch"
	)
	return shape{
		name:       "basak",
		bottleneck: dispatch,
		services: []serviceShape{
			{catalogue, 4, 120 / slotScale, 800 / slotScale, frontTime},
			{orders, 3, 160 / slotScale, 1050 / slotScale, frontTime},
			{payments, 3, 160 / slotScale, 1050 / slotScale, frontTime},
			{dispatch, 3, 50 / slotScale, 400 / slotScale, 190 * time.Millisecond},
		},
		operations: []operationShape{
			{"lorry-slot", savorydeal.ClassCritical, http.MethodGet, 0.10, []string{orders, payments, dispatch}},
			{"book", savorydeal.ClassCritical, http.MethodPost, 0.10, []string{orders, payments, dispatch}},
			{"draft", savorydeal.ClassHigh, http.MethodGet, 0.15, []string{orders, dispatch}},
			{"stock", savorydeal.ClassNormal, http.MethodGet, 0.20, []string{orders, dispatch}},
			{"browse", savorydeal.ClassLow, http.MethodGet, 0.35, []string{catalogue, dispatch}},
			{"price", savorydeal.ClassLow, http.MethodGet, 0.10, []string{catalogue}},
		},
	}
}
