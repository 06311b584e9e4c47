package sdnode

import (
	"github.com/savorydeal/savorydeal"
	"github.com/savorydeal/savorydeal/internal/sdcircuit"
	"github.com/savorydeal/savorydeal/internal/sdplatform"
)

// newPlatform returns a client of the platform with a limited call rate and a
// circuit breaker. It is called once.
func (n *Node) newPlatform() (savorydeal.Platform, error) {
	client, err := sdplatform.New(n.settings.PlatformURL)
	if err != nil {
		return nil, err
	}
	breaker := sdplatform.NewCircuitBreaker(client, n.clock, n.newRandom())
	n.platform.Store(breaker)
	n.registerPlatformMetrics(breaker)
	return breaker, nil
}

func (n *Node) registerPlatformMetrics(breaker *sdplatform.CircuitBreaker) {
	n.metrics.Gauge("platform_rate_share", "Share of this node's full rate of calls to the platform that is in force, from 0.1 to 1.", func() float64 {
		return breaker.Status().RateShare
	})
	n.metrics.Gauge("platform_circuit_open", "1 while the circuit to the platform is open or half-open after failed calls, otherwise 0.", func() float64 {
		if breaker.Status().State == sdcircuit.StateClosed {
			return 0
		}
		return 1
	})
	count := func(name, help string, read func(sdcircuit.Counts) int64) {
		n.metrics.Counter(name, help, func() float64 { return float64(read(breaker.Status().Counts)) })
	}
	count("platform_reads_total", "Reads sent to the platform.", func(c sdcircuit.Counts) int64 { return c.Sent[sdcircuit.KindRead] })
	count("platform_writes_total", "Writes sent to the platform.", func(c sdcircuit.Counts) int64 { return c.Sent[sdcircuit.KindWrite] })
	count("platform_watches_total", "Watches sent to the platform.", func(c sdcircuit.Counts) int64 { return c.Sent[sdcircuit.KindWatch] })
	count("platform_throttled_total", "Calls that the platform refused because of the call rate.", func(c sdcircuit.Counts) int64 { return c.Results[sdcircuit.ResultThrottled] })
	count("platform_failed_total", "Calls to the platform that ended with an error, a timeout or a broken connection.", func(c sdcircuit.Counts) int64 { return c.Results[sdcircuit.ResultFailed] })
	count("platform_not_sent_open_total", "Calls not sent because the circuit to the platform was open.", func(c sdcircuit.Counts) int64 { return c.RefusedOpen })
	count("platform_not_sent_rate_total", "Calls not sent because this node's rate of calls to the platform was used up.", func(c sdcircuit.Counts) int64 { return c.RefusedRate })
	count("platform_circuit_opened_total", "Times that the circuit to the platform opened.", func(c sdcircuit.Counts) int64 { return c.Opened })
}

// platformReachable reports whether the platform answered both the last background
// read (a watch or the meeting points) and the last call of any kind.
func (n *Node) platformReachable() bool {
	breaker := n.platform.Load()
	return n.reachable.Load() && breaker != nil && !breaker.Status().Failing
}

// platformDump is the dump section of the calls to the platform.
type platformDump struct {
	State       string           `json:"state"`
	RateShare   float64          `json:"rate_share"`
	Sent        map[string]int64 `json:"sent"`
	Results     map[string]int64 `json:"results"`
	NotSentOpen int64            `json:"not_sent_open"`
	NotSentRate int64            `json:"not_sent_rate"`
	Opened      int64            `json:"opened"`
}

func (n *Node) dumpPlatform() platformDump {
	breaker := n.platform.Load()
	if breaker == nil {
		return platformDump{}
	}
	status := breaker.Status()
	dump := platformDump{
		State:       string(status.State),
		RateShare:   status.RateShare,
		Sent:        make(map[string]int64),
		Results:     make(map[string]int64),
		NotSentOpen: status.Counts.RefusedOpen,
		NotSentRate: status.Counts.RefusedRate,
		Opened:      status.Counts.Opened,
	}
	for kind, count := range status.Counts.Sent {
		dump.Sent[string(kind)] = count
	}
	for result, count := range status.Counts.Results {
		dump.Results[string(result)] = count
	}
	return dump
}
