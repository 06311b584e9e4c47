package sdbenchoverload

import (
	"net/http"
	"time"

	"github.com/savorydeal/savorydeal"
)

// The topologies have as many targets as the real deployments and a tenth of their
// slots and connections. Service times are long enough that the bottleneck's slots
// limit the calls, not the VM that runs the benchmark.
const (
	slotScale = 10
	// frontServiceTime is the service time of the services in front of the bottleneck.
	frontServiceTime = 10 * time.Millisecond
	dataCentres      = 3
)

// serviceSpec is one service of a deployment.
type serviceSpec struct {
	name        string
	targets     int
	slots       int
	connections int
	serviceTime time.Duration
}

// operationSpec is one kind of request and its chain of services, the first of
// which is called by the caller.
type operationSpec struct {
	name   string
	class  savorydeal.Class
	method string
	// share is the share of this kind in all requests, in [0, 1].
	share float64
	chain []string
}

func (o operationSpec) path() string {
	return "/" + o.name
}

func (o operationSpec) passes(service string) bool {
	for _, visited := range o.chain {
		if visited == service {
			return true
		}
	}
	return false
}

// topology describes the services of a deployment and the chains of calls through
// them.
type topology struct {
	name       string
	services   []serviceSpec
	operations []operationSpec
	// bottleneck is the last service of most chains, whose slots limit the
	// requests.
	bottleneck string
}

func (t topology) service(name string) serviceSpec {
	for _, service := range t.services {
		if service.name == name {
			return service
		}
	}
	return serviceSpec{}
}

// capacity returns the maximum requests/s that the bottleneck's slots allow.
func (t topology) capacity() float64 {
	service := t.service(t.bottleneck)
	return float64(service.targets*service.slots) / service.serviceTime.Seconds()
}

// bottleneckShare returns the share of requests that pass the bottleneck.
func (t topology) bottleneckShare() float64 {
	share := 0.0
	for _, operation := range t.operations {
		if operation.passes(t.bottleneck) {
			share += operation.share
		}
	}
	return share
}

func topologies() []topology {
	return []topology{khangai(), basak()}
}

func khangai() topology {
	const (
		lookup  = "limit-lookup"
		review  = "review-decision"
		change  = "limit-change"
		history = "review-history"
	)
	return topology{
		name:       "khangai",
		bottleneck: history,
		services: []serviceSpec{
			{lookup, 6, 140 / slotScale, 900 / slotScale, frontServiceTime},
			{review, 4, 200 / slotScale, 1300 / slotScale, frontServiceTime},
			{change, 3, 270 / slotScale, 1700 / slotScale, frontServiceTime},
			{history, 3, 40 / slotScale, 300 / slotScale, 150 * time.Millisecond},
		},
		operations: []operationSpec{
			{"decide", savorydeal.ClassCritical, http.MethodGet, 0.10, []string{review, change, history}},
			{"raise", savorydeal.ClassCritical, http.MethodPost, 0.10, []string{review, change, history}},
			{"open-review", savorydeal.ClassHigh, http.MethodGet, 0.15, []string{review, history}},
			{"view-history", savorydeal.ClassNormal, http.MethodGet, 0.20, []string{history}},
			{"look-up", savorydeal.ClassLow, http.MethodGet, 0.35, []string{lookup, history}},
			{"peek", savorydeal.ClassLow, http.MethodGet, 0.10, []string{lookup}},
		},
	}
}

func basak() topology {
	const (
		catalogue = "catalogue"
		orders    = "orders"
		payments  = "payments"
		dispatch  = "dispatch"
	)
	return topology{
		name:       "basak",
		bottleneck: dispatch,
		services: []serviceSpec{
			{catalogue, 4, 120 / slotScale, 800 / slotScale, frontServiceTime},
			{orders, 3, 160 / slotScale, 1050 / slotScale, frontServiceTime},
			{payments, 3, 160 / slotScale, 1050 / slotScale, frontServiceTime},
			{dispatch, 3, 50 / slotScale, 400 / slotScale, 190 * time.Millisecond},
		},
		operations: []operationSpec{
			{"lorry-slot", savorydeal.ClassCritical, http.MethodGet, 0.10, []string{orders, payments, dispatch}},
			{"book", savorydeal.ClassCritical, http.MethodPost, 0.10, []string{orders, payments, dispatch}},
			{"draft", savorydeal.ClassHigh, http.MethodGet, 0.15, []string{orders, dispatch}},
			{"stock", savorydeal.ClassNormal, http.MethodGet, 0.20, []string{orders, dispatch}},
			{"browse", savorydeal.ClassLow, http.MethodGet, 0.35, []string{catalogue, dispatch}},
			{"price", savorydeal.ClassLow, http.MethodGet, 0.10, []string{catalogue}},
		},
	}
}
