package sdnode

import (
	"github.com/savorydeal/savorydeal"
	"github.com/savorydeal/savorydeal/internal/sdadmission"
	"github.com/savorydeal/savorydeal/internal/sdlimit"
	"github.com/savorydeal/savorydeal/internal/sdplacement"
	"github.com/savorydeal/savorydeal/internal/sdpressure"
	"github.com/savorydeal/savorydeal/internal/sdretry"
	"github.com/savorydeal/savorydeal/internal/sdsettings"
)

// SetBlockedPeers cuts this node's links to the addresses for which blocked returns
// true; see sdlink.Links.SetBlockedPeers.
func (n *Node) SetBlockedPeers(blocked func(address string) bool) {
	n.links.SetBlockedPeers(blocked)
}

// newAdmission returns the admission that the settings select.
func newAdmission(overload sdsettings.Overload) savorydeal.Admission {
	if overload.Unbounded {
		return sdadmission.NewFIFO(sdlimit.Unlimited{})
	}
	limiter := newLimiter(overload.Limiter)
	if overload.FIFO {
		return sdadmission.NewFIFO(limiter)
	}
	return sdadmission.New(limiter, sdadmission.Options{
		OldestFirst:  overload.Disabled.NewestFirst,
		IgnoreDepth:  overload.Disabled.DepthPriority,
		IgnoreCaller: overload.Disabled.Fairness,
	})
}

func newLimiter(name sdsettings.Limiter) savorydeal.Limiter {
	switch name {
	case sdsettings.LimiterFixed:
		return sdlimit.NewFixed(initialLimit)
	case sdsettings.LimiterAIMD:
		return sdlimit.NewAIMD(initialLimit)
	case sdsettings.LimiterGradient:
		return sdlimit.NewGradient(initialLimit)
	case sdsettings.LimiterDelay:
		return sdlimit.NewDelay(initialLimit)
	default:
		return sdlimit.NewTrial(initialLimit)
	}
}

// newShedding returns the forwarder that sheds requests before a target is chosen.
func (n *Node) newShedding(next savorydeal.Forwarder) *sdpressure.Forwarder {
	shedder := sdpressure.New(n.newRandom())
	shedder.IgnoreCallerShares = n.settings.Overload.Disabled.Fairness
	return &sdpressure.Forwarder{
		Clock:    n.clock,
		Shedder:  shedder,
		Next:     next,
		AdmitAll: n.settings.Overload.Disabled.Shedding || n.settings.Overload.Unbounded,
	}
}

// newRetryDecider returns the decider on retries, which limits them under overload
// unless the settings switch that off.
func (n *Node) newRetryDecider() savorydeal.RetryDecider {
	retries := sdretry.New(n.newRandom())
	if n.settings.Overload.Disabled.Shedding || n.settings.Overload.Unbounded {
		return retries
	}
	return sdpressure.OverloadRetryDecider{RetryDecider: retries}
}

func (n *Node) newPlacement() *sdplacement.Chooser {
	disabled := n.settings.Overload.Disabled
	return sdplacement.New(sdplacement.Options{
		Self:       n.self,
		DataCentre: n.settings.DataCentre,
		NoSpill:    disabled.Spillover || n.settings.Overload.Unbounded,
		NoEjection: disabled.Ejection || n.settings.Overload.Unbounded,
		NoRamp:     disabled.Ramp || n.settings.Overload.Unbounded,
	}, n.newRandom())
}

// registerOverloadMetrics registers the metrics of admission, shedding and outlier
// ejection.
func (n *Node) registerOverloadMetrics() {
	n.metrics.Gauge("target_level", "Admission level of this VM's target: 0 admits every call, 512 none.", func() float64 {
		return float64(n.admitter.Signal().DropLevel)
	})
	n.metrics.Gauge("target_delay_seconds", "Moving average of the queueing time of calls that started on this VM's target.", func() float64 {
		return n.admitter.Signal().Delay.Seconds()
	})
	n.metrics.Gauge("door_level", "Highest admission level of any service that was reported to this node.", func() float64 {
		highest := 0
		for _, pressure := range n.shedding.Shedder.Levels(n.clock.Now()) {
			highest = max(highest, pressure.DropLevel)
		}
		return float64(highest)
	})
	n.metrics.Gauge("targets_ejected", "Targets to which this node sends no calls because calls to them failed.", func() float64 {
		return float64(len(n.placement.Ejected(n.clock.Now())))
	})
}

// overloadDump is the dump section of admission, shedding and outlier ejection.
type overloadDump struct {
	// Level is the admission level of this VM's target.
	Level int `json:"level"`
	// Services holds the levels above 0 that were reported to this node.
	Services []serviceLevelDump `json:"services"`
	// Ejected names the nodes whose targets get no calls because calls to them
	// failed.
	Ejected []string `json:"ejected"`
}

type serviceLevelDump struct {
	Service string `json:"service"`
	Level   int    `json:"level"`
}

func (n *Node) dumpOverload() overloadDump {
	now := n.clock.Now()
	dump := overloadDump{
		Level:    n.admitter.Signal().DropLevel,
		Services: []serviceLevelDump{},
		Ejected:  []string{},
	}
	for _, pressure := range n.shedding.Shedder.Levels(now) {
		dump.Services = append(dump.Services, serviceLevelDump{Service: pressure.Service, Level: pressure.DropLevel})
	}
	for _, node := range n.placement.Ejected(now) {
		dump.Ejected = append(dump.Ejected, string(node))
	}
	return dump
}
