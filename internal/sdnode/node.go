// Package sdnode is the process beside a target. It connects the packages that
// decide (membership, configuration, admission, placement, keys) to listeners,
// links, datagrams, the platform and timers. One goroutine owns the control
// state (control.go); all others serve calls and read what it publishes.
package sdnode

import (
	"context"
	cryptorand "crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/hashicorp/go-hclog"

	"github.com/savorydeal/savorydeal"
	"github.com/savorydeal/savorydeal/internal/sdchain"
	"github.com/savorydeal/savorydeal/internal/sddispatch"
	"github.com/savorydeal/savorydeal/internal/sdentry"
	"github.com/savorydeal/savorydeal/internal/sdforward"
	"github.com/savorydeal/savorydeal/internal/sdgossip"
	"github.com/savorydeal/savorydeal/internal/sdkeyed"
	"github.com/savorydeal/savorydeal/internal/sdlink"
	"github.com/savorydeal/savorydeal/internal/sdmemory"
	"github.com/savorydeal/savorydeal/internal/sdmetrics"
	"github.com/savorydeal/savorydeal/internal/sdplacement"
	"github.com/savorydeal/savorydeal/internal/sdplatform"
	"github.com/savorydeal/savorydeal/internal/sdpoison"
	"github.com/savorydeal/savorydeal/internal/sdpolicy"
	"github.com/savorydeal/savorydeal/internal/sdpressure"
	"github.com/savorydeal/savorydeal/internal/sdserve"
	"github.com/savorydeal/savorydeal/internal/sdsettings"
	"github.com/savorydeal/savorydeal/internal/sdtls"
	"github.com/savorydeal/savorydeal/internal/sdunknown"
)

// initialLimit is the concurrency limit until the target announces its number of
// slots. No call is admitted before that.
const initialLimit = 1

// Node is the process beside one target.
type Node struct {
	settings   sdsettings.Settings
	version    string
	clock      savorydeal.Clock
	log        hclog.Logger
	self       savorydeal.NodeID
	generation uint64
	randomMu   sync.Mutex
	random     *rand.Rand

	events           chan controlEvent
	control          control
	policies         atomic.Pointer[sdpolicy.Table]
	members          atomic.Pointer[[]savorydeal.Member]
	rejectedPolicies atomic.Int64
	// reachable is control.platformReachable for other goroutines.
	reachable atomic.Bool
	cluster   clusterState

	links         *sdlink.Links
	panics        atomic.Int64
	placement     *sdplacement.Chooser
	gate          *sdserve.Gate
	admitter      *sdserve.Admitter
	server        *sdserve.Server
	runs          *sdchain.RunTable
	owner         *sdkeyed.Owner
	keyPartitions *sdkeyed.Partitions
	poison        *sdpoison.Table
	// crashesFetched is true once another node has given a complete list of crash
	// records, or none has in crashFetchTime.
	crashesFetched  atomic.Bool
	unknownOutcomes *sdunknown.Queue
	// unknownRandom draws the jitter of the writes of unknown outcomes.
	unknownRandom *rand.Rand
	router        *sdkeyed.Router
	shedding      *sdpressure.Forwarder
	metrics       *sdmetrics.Metrics
	ids           *identifiers
	stop          stopState
	// requestMemory bounds the memory of all requests together. Within it, heads and
	// bodies bound the memory of the heads of clients' requests and of the
	// bodies of keyed ones, peerCalls that of the calls of other nodes.
	requestMemory *sdmemory.Budget
	heads         *sdmemory.Budget
	bodies        *sdmemory.Budget
	peerCalls     *sdmemory.Budget
	platform      atomic.Pointer[sdplatform.CircuitBreaker]
	keyring       atomic.Pointer[sdgossip.Keyring]
	tlsProvider   atomic.Pointer[sdtls.Provider]
}

// New returns a node that has not started. seed determines the random choices
// of its decisions; identifiers are drawn from the VM's own random source.
func New(settings sdsettings.Settings, version string, seed uint64, clock savorydeal.Clock, log hclog.Logger) *Node {
	generation := uint64(clock.Now().UnixNano())
	self := savorydeal.NodeID(settings.PeerAddress)
	requestMemory := sdmemory.NewBudget(requestBudgetBytes)
	n := &Node{
		settings:      settings,
		version:       version,
		clock:         clock,
		log:           log,
		self:          self,
		generation:    generation,
		random:        rand.New(rand.NewPCG(seed, generation)),
		events:        make(chan controlEvent, controlBacklog),
		links:         sdlink.New(sdlink.Identity{Node: self, Generation: generation}, clock, log.Named("link")),
		gate:          sdserve.NewGate(),
		metrics:       sdmetrics.New(),
		ids:           newIdentifiers(),
		heads:         sdmemory.Within(requestMemory, headBudgetBytes),
		requestMemory: requestMemory,
		bodies:        sdmemory.Within(requestMemory, bodyBudgetBytes),
		peerCalls:     sdmemory.Within(requestMemory, peerBudgetBytes),
	}
	if !testing.Testing() { // in tests, a violated invariant has to end the process
		n.links.Recovered = n.reportPanic
	}
	n.control = n.newControl()
	n.stop.init()
	n.stop.handoverFuncs = []func(context.Context) error{n.HandOverKeys}
	n.placement = n.newPlacement()
	n.poison = sdpoison.New()
	n.unknownOutcomes = &sdunknown.Queue{}
	n.unknownRandom = n.newRandom()
	n.wireTraffic()
	n.registerMetrics()
	n.registerMembershipMetrics()
	return n
}

// reportPanic reports a panic while the stream of a peer was handled.
func (n *Node) reportPanic(kind sdlink.Kind, peer savorydeal.NodeID, value any, stack []byte) {
	n.panics.Add(1)
	n.log.Error("stream of a peer ended by a panic", "kind", string(kind), "peer", string(peer), "panic", value, "stack", string(stack))
}

// newRandom returns a separate random source for one component, since sources
// are not safe for concurrent use.
func (n *Node) newRandom() *rand.Rand {
	n.randomMu.Lock()
	defer n.randomMu.Unlock()
	return rand.New(rand.NewPCG(n.random.Uint64(), n.random.Uint64()))
}

func (n *Node) member() savorydeal.Member {
	return savorydeal.Member{
		Node:        n.self,
		Generation:  n.generation,
		DataCentre:  n.settings.DataCentre,
		Region:      n.settings.Region,
		PeerAddress: n.settings.PeerAddress,
		State:       savorydeal.MemberAlive,
		TargetState: savorydeal.TargetAbsent,
	}
}

// wireTraffic builds the path of a call: router, key owner or dispatcher, link,
// server.
func (n *Node) wireTraffic() {
	n.policies.Store(sdpolicy.NewTable(nil))
	n.members.Store(&[]savorydeal.Member{n.member()})
	n.runs = sdchain.NewRunTable(func(bits []byte) { _, _ = cryptorand.Read(bits) })
	n.admitter = sdserve.NewAdmitter(n.clock, newAdmission(n.settings.Overload))
	n.server = sdserve.NewServer(n.clock, n.gate, n.admitter, n.runs)
	dispatcher := &sddispatch.Dispatcher{
		Clock:        n.clock,
		Placement:    n.leasedPlacement(),
		Retries:      n.newRetryDecider(),
		ForwarderTo:  n.forwarderTo,
		RetryRatio:   n.retryRatio,
		NewAttemptID: n.ids.next,
		Poison:       n.poison,
	}
	attempts := sdforward.NewAttempts(n.clock)
	calls := &sdforward.Server{Forwarder: n.server, Clock: n.clock, Attempts: attempts, Memory: n.peerCalls, Log: n.log.Named("call")}
	// Shedding comes after the key owner, which answers a repeated call that has
	// already run. Shedding before it would refuse the repetition as not run.
	n.shedding = n.newShedding(dispatcher)
	n.wireKeyed(n.shedding, attempts)
	n.wirePoison()
	n.wireUnknownOutcomes()
	n.links.Handle(sdlink.KindCall, n.stop.countPeerCalls(calls.Serve))
	n.links.Handle(sdlink.KindFetch, n.stop.countPeerCalls(calls.ServeFetch))
	n.links.Handle(sdlink.KindControl, n.serveControl)
}

// forwarderTo returns the forwarder to a member's target: over a link, or
// directly for this VM's own target.
func (n *Node) forwarderTo(member savorydeal.Member) savorydeal.Forwarder {
	if member.Node == n.self {
		return n.server
	}
	return &sdforward.Client{Links: n.links, Address: member.PeerAddress, Kind: sdlink.KindCall, NewAttemptID: n.ids.next}
}

func (n *Node) retryRatio(service string) float64 {
	record, ok := n.Policies().Policy(service)
	if !ok {
		return 0
	}
	return record.Policy.RetryRatio
}

// entry returns the HTTP handler for callers outside the VM or for the target's
// onward calls.
func (n *Node) entry(side sdentry.Side) http.Handler {
	return &sdentry.Entry{
		Side:         side,
		Clock:        n.clock,
		Log:          n.log.Named("entry"),
		Policies:     n.Policies,
		Runs:         n.runs,
		Next:         n.router,
		NewRequestID: n.ids.next,
		Observe:      n.metrics.Observe,
		KeyPrefix:    n.owner.Prefix,
		Bodies:       n.bodies,
	}
}

// Policies returns the policies in force at this node.
func (n *Node) Policies() *sdpolicy.Table {
	return n.policies.Load()
}

// Members returns this node's view of the members, itself first.
func (n *Node) Members() []savorydeal.Member {
	return *n.members.Load()
}

// ApplyAccepted applies an object that the platform has just accepted, and announces
// it to other nodes. It does so even if ctx has ended.
func (n *Node) ApplyAccepted(ctx context.Context, object savorydeal.Object) {
	n.apply(context.WithoutCancel(ctx), []savorydeal.Object{object})
}

// identifiers generates unique identifiers: random bits drawn at the start of
// the process, followed by a counter.
type identifiers struct {
	prefix  string
	mu      sync.Mutex
	counter uint64
}

func newIdentifiers() *identifiers {
	var bits [12]byte
	_, _ = cryptorand.Read(bits[:])
	return &identifiers{prefix: hex.EncodeToString(bits[:]) + "-"}
}

func (i *identifiers) next() string {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.counter++
	return i.prefix + strconv.FormatUint(i.counter, 36)
}

// NewSeed draws a seed from the VM's random source.
func NewSeed() (uint64, error) {
	var bits [8]byte
	if _, err := cryptorand.Read(bits[:]); err != nil {
		return 0, fmt.Errorf("draw a seed: %w", err)
	}
	return binary.BigEndian.Uint64(bits[:]), nil
}
