package sdnode

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/savorydeal/savorydeal"
	"github.com/savorydeal/savorydeal/internal/sdconfig"
	"github.com/savorydeal/savorydeal/internal/sdoperator"
)

func (n *Node) adminHandler(operators http.Handler) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/v1/", operators)
	mux.Handle("GET /metrics", n.metrics.Handler())
	return n.requireRole(mux)
}

func (n *Node) registerMetrics() {
	n.registerOverloadMetrics()
	n.metrics.Gauge("target_running", "Calls running on this VM's target.", func() float64 {
		return float64(n.admitter.Signal().Running)
	})
	n.metrics.Gauge("target_queued", "Calls waiting for this VM's target.", func() float64 {
		return float64(n.admitter.Signal().Queued)
	})
	n.metrics.Gauge("target_limit", "Current concurrency limit of this VM's target.", func() float64 {
		return float64(n.admitter.Signal().Limit)
	})
	n.metrics.Counter("links_silent_total", "Links closed because no bytes arrived on them in time.", func() float64 {
		return float64(n.links.UnresponsiveCount())
	})
	n.metrics.Counter("stream_panics_total", "Streams of other nodes ended by a panic.", func() float64 {
		return float64(n.panics.Load())
	})
	n.metrics.Gauge("keys_held", "Records of idempotency keys held by this node.", func() float64 {
		return float64(n.owner.RecordCount())
	})
	n.metrics.Gauge("members_alive", "Nodes that this node considers alive, itself included.", func() float64 {
		return float64(n.aliveCount())
	})
	n.metrics.Gauge("policies_rejected", "Policies whose newest version this node cannot read.", func() float64 {
		return float64(n.rejectedPolicies.Load())
	})
}

func (n *Node) aliveCount() int {
	alive := 0
	for _, member := range n.Members() {
		if member.State == savorydeal.MemberAlive {
			alive++
		}
	}
	return alive
}

// Status returns a summary of this node's state.
func (n *Node) Status() sdoperator.Status {
	return sdoperator.Status{
		Self:              n.Members()[0],
		Version:           n.version,
		NodesAlive:        n.aliveCount(),
		Policies:          len(n.Policies().Records()),
		PoliciesRejected:  int(n.rejectedPolicies.Load()),
		PlatformReachable: n.platformReachable(),
	}
}

// memberDump is the dump entry of one member.
type memberDump struct {
	Node        string `json:"node"`
	Generation  uint64 `json:"generation"`
	Incarnation uint64 `json:"incarnation"`
	State       string `json:"state"`
	Service     string `json:"service"`
	TargetState string `json:"target_state"`
	DataCentre  string `json:"data_centre"`
}

// objectDump is the dump entry of one object of the platform, such as a policy.
type objectDump struct {
	Kind           string `json:"kind"`
	Name           string `json:"service"`
	NewestVersion  int64  `json:"newest_version"`
	InForceVersion int64  `json:"in_force_version"`
	Rejected       string `json:"rejected,omitempty"`
	// ReceivedAt is when this node received the newest version.
	ReceivedAt time.Time `json:"taken_at"`
}

// targetDump is the dump section of this VM's target.
type targetDump struct {
	State   string `json:"state"`
	Service string `json:"service"`
	Address string `json:"address"`
	Running int    `json:"running"`
	Queued  int    `json:"queued"`
	Limit   int    `json:"limit"`
}

// trafficDump is the dump section of the current runs, key records and links.
type trafficDump struct {
	Runs       int `json:"chains_running"`
	KeyRecords int `json:"keys_held"`
	LinksOpen  int `json:"links_open"`
}

// Dump returns the state of this node by section. If ctx ends before the control
// state is read, it returns a single section with the error.
func (n *Node) Dump(ctx context.Context) []sdoperator.Section {
	dump, err := doResult(ctx, n, n.dumpControl)
	if err != nil {
		return []sdoperator.Section{section("error", err.Error())}
	}
	members, objects, target := dump.members, dump.objects, dump.target
	signal := n.admitter.Signal()
	target.Running, target.Queued, target.Limit = signal.Running, signal.Queued, signal.Limit
	return []sdoperator.Section{
		section("members", members),
		section("policies", objects),
		section("target", target),
		section("pressure", n.dumpOverload()),
		section("keys", n.dumpKeys()),
		section("runs", runsDump{Wasted: n.server.WastedRuns()}),
		section("poison", dumpPoison(n.Poison())),
		section("unknown_outcomes", n.dumpUnknownOutcomes()),
		section("leases", describeLeases(n.clock.Now(), n.cluster.leases.Load())),
		section("traffic", trafficDump{Runs: n.runs.Len(), KeyRecords: n.owner.RecordCount(), LinksOpen: n.links.Count()}),
		section("stop", n.dumpStop()),
		section("platform", n.dumpPlatform()),
	}
}

// controlDump holds the parts of a dump that come from the control state.
type controlDump struct {
	members []memberDump
	objects []objectDump
	target  targetDump
}

func (n *Node) dumpControl(c *control) controlDump {
	dump := controlDump{members: []memberDump{}, objects: []objectDump{}}
	for _, member := range c.roster.Members() {
		dump.members = append(dump.members, dumpMember(member))
	}
	for _, object := range c.store.Objects() {
		entry, _ := c.store.Entry(sdconfig.KeyOf(object))
		dump.objects = append(dump.objects, objectDump{
			Kind:           object.Kind,
			Name:           object.Name,
			NewestVersion:  entry.Newest.Version,
			InForceVersion: entry.Readable.Version,
			Rejected:       entry.Rejected,
			ReceivedAt:     c.receivedAt[sdconfig.KeyOf(object)],
		})
	}
	announcement := c.targetLease.Announcement()
	dump.target = targetDump{
		State: string(c.targetLease.State(n.clock.Now())), Service: announcement.Service, Address: announcement.Address,
	}
	return dump
}

func dumpMember(member savorydeal.Member) memberDump {
	return memberDump{
		Node:        string(member.Node),
		Generation:  member.Generation,
		Incarnation: member.Incarnation,
		State:       string(member.State),
		Service:     member.Service,
		TargetState: string(member.TargetState),
		DataCentre:  member.DataCentre,
	}
}

func section(name string, value any) sdoperator.Section {
	encoded, err := json.Marshal(value)
	if err != nil {
		encoded = []byte(`"not encodable"`)
	}
	return sdoperator.Section{Name: name, Value: encoded}
}
