package sdbenchoverload

import (
	"net/http"
	"time"

	"github.com/savorydeal/savorydeal/internal/sdsettings"
	"github.com/savorydeal/savorydeal/internal/sdstandtarget"
)

const (
	// calmUtilisation is the share of the bottleneck's capacity that the requests of
	// the calm phase use.
	calmUtilisation = 0.6
	// slowFactor multiplies the bottleneck's service time in scenarios with a slowdown.
	slowFactor = 5
	// A restarted target is warmUpFactor times slower for warmUpTime.
	warmUpTime   = time.Second
	warmUpFactor = 3
	waveCount    = 3
	failedStatus = http.StatusInternalServerError
)

// timing holds the lengths of the three phases of a measurement: calm, overload
// and recovery.
type timing struct {
	calm     time.Duration
	overload time.Duration
	recovery time.Duration
}

func quickTiming() timing {
	return timing{calm: 1500 * time.Millisecond, overload: 4 * time.Second, recovery: 2500 * time.Millisecond}
}

func fullTiming() timing {
	return timing{calm: 5 * time.Second, overload: 20 * time.Second, recovery: 10 * time.Second}
}

// forScenario returns the timing of a scenario. Waves need a longer overload phase
// for the pauses between them.
func (t timing) forScenario(s scenario) timing {
	if s.waves > 0 {
		t.overload += t.overload / 2
	}
	return t
}

func (t timing) total() time.Duration {
	return t.calm + t.overload + t.recovery
}

// scenario describes the surge and the faults of the overload periods.
type scenario struct {
	name string
	// surge multiplies the request rate in the overload periods; 1 is no surge.
	surge float64
	// slowdown multiplies the bottleneck's service time in the overload periods; 1 is
	// no slowdown.
	slowdown int64
	// closedLoop makes callers send their next request only after the previous
	// one has ended; the surge multiplies the number of callers.
	closedLoop bool
	// waves is the number of equal overload periods, with pauses of the same
	// length between them; 0 is a single period.
	waves int
	// targetsLost stops the targets of data centre 2: a third of every service, or
	// one of four targets.
	targetsLost bool
	// dataCentrePartitioned separates data centre 2 from the others by a network
	// partition.
	dataCentrePartitioned bool
	// misreporting makes one of the bottleneck's targets announce three times its
	// slots, and another fail every request while it announces that it is ready.
	misreporting bool
	// weight is the part of maxParallelWeight that the scenario takes while it runs.
	weight int64
}

func scenarios() []scenario {
	return []scenario{
		{name: "surge_10x", surge: 10, slowdown: 1, weight: 2},
		{name: "slow_surge", surge: 3, slowdown: slowFactor, weight: 1},
		{name: "slow_5x", surge: 1, slowdown: slowFactor, weight: 1},
		{name: "surge_3x", surge: 3, slowdown: 1, weight: 1},
		{name: "closed_3x", surge: 3, slowdown: 1, closedLoop: true, weight: 1},
		{name: "waves", surge: 3, slowdown: 1, waves: waveCount, weight: 1},
		{name: "third_lost", surge: 1, slowdown: 1, targetsLost: true, weight: 1},
		{name: "dc_cut", surge: 1, slowdown: 1, dataCentrePartitioned: true, weight: 1},
		{name: "misled", surge: 1, slowdown: 1, misreporting: true, weight: 1},
	}
}

// period is the time [from, to) since the start of a measurement.
type period struct {
	from, to time.Duration
}

// overloadPeriods returns the periods in which the surge and the faults are active.
func (s scenario) overloadPeriods(t timing) []period {
	if s.waves == 0 {
		return []period{{t.calm, t.calm + t.overload}}
	}
	length := t.overload / time.Duration(2*s.waves-1)
	periods := make([]period, 0, s.waves)
	for i := range s.waves {
		from := t.calm + time.Duration(2*i)*length
		periods = append(periods, period{from, from + length})
	}
	return periods
}

// rateFactor returns the factor of the request rate as a function of the time since
// the start.
func (s scenario) rateFactor(t timing) func(time.Duration) float64 {
	periods := s.overloadPeriods(t)
	return func(offset time.Duration) float64 {
		for _, p := range periods {
			if offset >= p.from && offset < p.to {
				return s.surge
			}
		}
		return 1
	}
}

// variant is one configuration of overload control to measure.
type variant struct {
	name     string
	overload sdsettings.Overload
	// targetsRetry makes targets repeat failed onward calls by themselves.
	targetsRetry bool
}

func defaultVariant() variant {
	return variant{name: "savorydeal"}
}

// baselines returns a variant without overload control and one with fixed limits and
// first-in, first-out queues and no other mechanism.
func baselines() []variant {
	return []variant{
		{name: "no_control", overload: sdsettings.Overload{Unbounded: true}, targetsRetry: true},
		{name: "static_fifo", overload: sdsettings.Overload{Limiter: sdsettings.LimiterFixed, FIFO: true, Disabled: allDisabled()}},
	}
}

func allDisabled() sdsettings.Disabled {
	return sdsettings.Disabled{
		Shedding: true, Fairness: true, NewestFirst: true, DepthPriority: true, Spillover: true, Ejection: true, Ramp: true,
	}
}

// ablations returns the default and variants of it with one mechanism replaced or
// switched off.
func ablations() []variant {
	variants := []variant{defaultVariant()}
	for _, limiter := range []sdsettings.Limiter{
		sdsettings.LimiterFixed, sdsettings.LimiterAIMD, sdsettings.LimiterGradient, sdsettings.LimiterDelay,
	} {
		variants = append(variants, variant{name: "limiter_" + string(limiter), overload: sdsettings.Overload{Limiter: limiter}})
	}
	for _, mechanism := range []struct {
		name     string
		disabled sdsettings.Disabled
	}{
		{"no_door", sdsettings.Disabled{Shedding: true}},
		{"no_fairness", sdsettings.Disabled{Fairness: true}},
		{"oldest_first", sdsettings.Disabled{NewestFirst: true}},
		{"no_depth", sdsettings.Disabled{DepthPriority: true}},
		{"no_spill", sdsettings.Disabled{Spillover: true}},
		{"no_ejection", sdsettings.Disabled{Ejection: true}},
		{"no_ramp", sdsettings.Disabled{Ramp: true}},
	} {
		variants = append(variants, variant{name: mechanism.name, overload: sdsettings.Overload{Disabled: mechanism.disabled}})
	}
	return append(variants, variant{name: "fifo", overload: sdsettings.Overload{FIFO: true}})
}

// startFaults starts the faults of a scenario.
func (d *deployment) startFaults(s scenario) {
	if s.slowdown > 1 {
		for _, v := range d.vmsOf(d.topology.bottleneck) {
			v.target.SetSlowdown(s.slowdown)
		}
	}
	if s.targetsLost {
		for _, v := range d.vmsIn(2) {
			v.target.Stop()
			v.stoppedTargets = append(v.stoppedTargets, v.target)
			v.target = nil
		}
	}
	if s.dataCentrePartitioned {
		d.partitionDataCentre()
	}
	if s.misreporting {
		d.vmsOf(d.topology.bottleneck)[2].target.SetHandler(func(w http.ResponseWriter, _ *http.Request) {
			http.Error(w, "broken", failedStatus)
		})
	}
}

// partitionDataCentre blocks all links between data centre 2 and the others.
func (d *deployment) partitionDataCentre() {
	for _, v := range d.vms {
		blocked := make(map[string]bool)
		for _, other := range d.vms {
			if (other.dataCentre == 2) != (v.dataCentre == 2) {
				blocked[other.node.Settings.PeerAddress] = true
			}
		}
		v.node.InProcess.SetBlockedPeers(func(address string) bool {
			if blocked[address] {
				d.blockedLinks.Add(1)
			}
			return blocked[address]
		})
	}
}

// endFaults ends the faults of a scenario and restarts the stopped targets.
func (d *deployment) endFaults(s scenario) error {
	for i, v := range d.vms {
		if s.slowdown > 1 && v.target != nil {
			v.target.SetSlowdown(1)
		}
		if s.dataCentrePartitioned {
			v.node.InProcess.SetBlockedPeers(nil)
		}
		if s.misreporting && v.target != nil {
			v.target.SetHandler(nil)
		}
		if v.target == nil {
			target, err := d.startTarget(v, sdstandtarget.Behaviour{
				Seed: d.seed + uint64(i), LogNormalSigma: serviceTimeSigma, WarmUpTime: warmUpTime, WarmUpFactor: warmUpFactor,
			})
			if err != nil {
				return err
			}
			v.target = target
		}
	}
	return nil
}
