// Package sdsidecar assembles the node that runs beside a target on the users'
// platform. The node serves callers and the calls of its own target at one address,
// keeps connections to the other nodes, and has a control state (members, target,
// configuration) that only one goroutine accesses.
package sdsidecar

import (
	"context"
	cryptorand "crypto/rand"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/oklog/run"

	"github.com/savorydeal/savorydeal"
	"github.com/savorydeal/savorydeal/internal/sdbalance"
	"github.com/savorydeal/savorydeal/internal/sdbudget"
	"github.com/savorydeal/savorydeal/internal/sdfairshare"
	"github.com/savorydeal/savorydeal/internal/sdfeedback"
	"github.com/savorydeal/savorydeal/internal/sdgossip"
	"github.com/savorydeal/savorydeal/internal/sdgraph"
	"github.com/savorydeal/savorydeal/internal/sdhttp"
	"github.com/savorydeal/savorydeal/internal/sdpoison"
	"github.com/savorydeal/savorydeal/internal/sdshedding"
	"github.com/savorydeal/savorydeal/platform"
)

// Node is the process that runs beside one target and through which the target and
// its callers send their calls.
type Node struct {
	settings platform.Settings
	// reloadable holds the settings that a reload may change.
	reloadable atomic.Pointer[reloadableSettings]
	headers    savorydeal.EdgeHeaders
	clock      savorydeal.Clock
	log        *requestLog
	self       savorydeal.NodeID
	generation uint64
	store      savorydeal.Platform
	era        storeEra

	events  chan controlEvent
	control controlState
	// departuresPending wakes runDepartureKeep.
	departuresPending chan struct{}
	socket            *sdgossip.Socket
	routes            atomic.Pointer[configInForce]
	// confirmedAt is a copy of controlState.confirmed.At for requests and metrics, nil
	// before the first confirmation.
	confirmedAt atomic.Pointer[time.Time]
	configCheck *configCheck
	// checkReadAt is when a check last read the store. Only checks use it.
	checkReadAt time.Time
	// watchRank is this node's rank, from 0, among the live nodes of its data centre.
	// The lowest ranks watch the store (sdjoin.WatchersPerDataCentre).
	watchRank atomic.Int64
	// joinAttempted is true once the node has tried to join other nodes or one of them
	// has found it. Before, watchRank is not meaningful.
	joinAttempted atomic.Bool

	// mu guards the following fields, which all requests share.
	mu       sync.Mutex
	balancer *sdbalance.Balancer
	budget   *sdbudget.Budget
	graph    *sdgraph.Graph
	shedder  *sdshedding.Shedder
	// fairShares measures the shares of client accounts in the requests of this node.
	fairShares *sdfairshare.Meter
	// feedback is what this node knows of the targets of other nodes.
	feedback *sdfeedback.Table
	random   *rand.Rand

	// memory bounds the bodies that all servers and pools hold together.
	memory     *sdhttp.Memory
	peers      peers
	crossBytes crossDataCentreBytes
	target     *targetServer
	runs       runTable
	quotas     *quotas
	poison     *sdpoison.Table
	crashes    crashCollector
	// crashesFetched is true once another node has given a complete list of crash records.
	crashesFetched atomic.Bool
	callerServer   *sdhttp.Server
	peerServer     *sdhttp.Server
	metrics        *metrics
	traffic        traffic
	stopping       atomic.Bool
	// stop holds the times of a graceful stop, nil before it.
	stop      atomic.Pointer[stopSchedule]
	aborted   chan struct{}
	abortOnce sync.Once
	started   time.Time
}

// New returns a node; Run starts it.
func New(settings platform.Settings, clock savorydeal.Clock, log hclog.Logger) (*Node, error) {
	seed, err := newSeed()
	if err != nil {
		return nil, err
	}
	now := clock.Now()
	n := &Node{
		settings:   settings,
		headers:    platform.Headers(),
		clock:      clock,
		self:       savorydeal.NodeID(settings.PeerAddress),
		generation: uint64(now.UnixNano()),
		events:     make(chan controlEvent, controlQueueSize),
		random:     rand.New(rand.NewPCG(seed, uint64(now.UnixNano()))),
		metrics:    newMetrics(),
		started:    now,
		aborted:    make(chan struct{}),

		departuresPending: make(chan struct{}, 1),
	}
	n.era.init(now, rand.New(rand.NewPCG(seed, n.generation)))
	n.setStore(platform.NewStore(settings.StoreAddress))
	n.reloadable.Store(newReloadableSettings(settings))
	n.log = newRequestLog(log, clock, n.metrics)
	n.balancer = sdbalance.New(settings.DataCentre, n.newRandom())
	n.budget = sdbudget.New(budgetLimits(settings.Bounds))
	n.graph = sdgraph.New()
	n.shedder = sdshedding.New()
	n.fairShares = sdfairshare.NewMeter()
	n.feedback = sdfeedback.NewTable()
	n.control = n.newControl()
	n.quotas = newQuotas(n)
	conns := newConnLimits(settings.MaxDescriptors, settings.MemoryBytes)
	n.peers.init(conns.toPeers)
	n.runs.init()
	n.poison = sdpoison.New()
	n.memory = sdhttp.NewBoundedMemory(int64(bodyMemoryShare*float64(settings.MemoryBytes)), int64(requestMemoryShare*float64(settings.MemoryBytes)))
	n.peers.memory = n.memory
	n.configCheck = newConfigCheck(clock, n.checkConfig)
	n.target = newTargetServer(n, conns.toTarget)
	n.callerServer = &sdhttp.Server{
		Handler: n.handleCaller, Limits: n.callerLimits, Recovered: n.recovered(), Memory: n.memory, Busy: n.refuseLargeRequest,
		MaxConns: conns.callers, Limited: n.connsLimited("callers"),
	}
	// A node whose connection is closed cannot know that its call has not run.
	n.peerServer = &sdhttp.Server{
		Handler: n.handlePeer, Limits: peerLimits, Recovered: n.recovered(), Memory: n.memory, Busy: n.refuseLargeCall,
		MaxConns: conns.peers, RefuseByAnswer: true, Limited: n.connsLimited("peers"),
	}
	n.registerGauges()
	return n, nil
}

// recovered returns the function that reports a panic of one request. It is nil in
// tests, where a violated invariant has to end the process.
func (n *Node) recovered() func(value any, stack []byte) {
	if testing.Testing() {
		return nil
	}
	return func(value any, stack []byte) {
		n.metrics.panics.Inc()
		n.log.Error("request ended by a panic", "panic", value, "stack", string(stack))
	}
}

func newSeed() (uint64, error) {
	var random [8]byte
	if _, err := cryptorand.Read(random[:]); err != nil {
		return 0, fmt.Errorf("read random seed: %w", err)
	}
	return binary.BigEndian.Uint64(random[:]), nil
}

// newRandom returns a new random source, seeded from the node's own.
func (n *Node) newRandom() *rand.Rand {
	n.mu.Lock()
	defer n.mu.Unlock()
	return rand.New(rand.NewPCG(n.random.Uint64(), n.random.Uint64()))
}

func (n *Node) randomFraction() float64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.random.Float64()
}

// bodyMemoryShare is the share of the platform's memory limit that the bodies of requests and
// answers may take, beyond the first 64 KiB of each.
const bodyMemoryShare = 0.3

// requestMemoryShare is the share that the heads of requests and the first 64 KiB of their
// bodies may take. The smallest VM has room for 500 requests of 36 KB or 20 heads with as many
// fields as 16,384 bytes hold.
const requestMemoryShare = 0.15

// Limits on connections of other nodes, and of callers until a configuration sets their
// limits.
const (
	defaultMaxHeaderBytes    = 64 << 10
	defaultMaxBodyBytes      = 64 << 20
	headerTimeout            = 10 * time.Second
	peerIdleTimeout          = 60 * time.Second
	defaultCallerIdleTimeout = 60 * time.Second
)

func (n *Node) callerLimits() sdhttp.Limits {
	limits := peerLimits()
	limits.IdleTimeout = defaultCallerIdleTimeout
	if table := n.routes.Load(); table != nil {
		configured := table.Config().Limits
		limits.MaxBodyBytes = configured.MaxBodyBytes
		limits.MaxHeaderBytes = configured.MaxHeaderBytes
		limits.HeaderTimeout = configured.HeaderTimeout
		limits.IdleTimeout = configured.IdleTimeout
	}
	return limits
}

func peerLimits() sdhttp.Limits {
	return sdhttp.Limits{
		MaxHeaderBytes: defaultMaxHeaderBytes, MaxBodyBytes: defaultMaxBodyBytes, HeaderTimeout: headerTimeout, IdleTimeout: peerIdleTimeout,
	}
}

func (n *Node) member() savorydeal.Member {
	return savorydeal.Member{
		Node:        n.self,
		Generation:  n.generation,
		DataCentre:  n.settings.DataCentre,
		Region:      n.settings.Region,
		PeerAddress: n.settings.PeerAddress,
		State:       savorydeal.MemberAlive,
		Service:     n.settings.Service,
		TargetState: savorydeal.TargetAbsent,
	}
}

type listeners struct {
	callers, ready, announce, peers, metrics net.Listener
}

func (n *Node) listen() (listeners, error) {
	var l listeners
	for _, address := range []struct {
		hostPort    string
		destination *net.Listener
	}{
		{n.settings.CallerAddress, &l.callers},
		{n.settings.ReadyAddress, &l.ready},
		{n.settings.AnnounceAddress, &l.announce},
		{n.settings.PeerAddress, &l.peers},
		{n.settings.MetricsAddress, &l.metrics},
	} {
		listener, err := net.Listen("tcp", address.hostPort)
		if err != nil {
			l.close()
			return listeners{}, fmt.Errorf("listen on %s: %w", address.hostPort, err)
		}
		*address.destination = listener
	}
	return l, nil
}

// close closes the listeners that are open.
func (l listeners) close() {
	for _, listener := range []net.Listener{l.callers, l.ready, l.announce, l.peers, l.metrics} {
		if listener != nil {
			_ = listener.Close() // nothing was accepted yet, so that nothing is lost
		}
	}
}

// Run serves until ctx ends and then stops gracefully. Settings received from changes
// are applied while the node runs; changes may be nil.
func (n *Node) Run(ctx context.Context, changes <-chan platform.Settings) error {
	l, err := n.listen()
	if err != nil {
		return err
	}
	if n.socket, err = sdgossip.Listen(n.settings.PeerAddress, 0, nil); err != nil {
		l.close()
		return err
	}
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	var group run.Group
	addTask := func(serve func(ctx context.Context) error) {
		group.Add(func() error { return serve(background) }, func(error) { cancel() })
	}
	addServer := func(listener net.Listener, serve func(net.Listener) error) {
		group.Add(func() error { return serve(listener) }, func(error) { _ = listener.Close() })
	}
	if !n.settings.FirstStart {
		n.control.tracker.AwaitRestore()
	}
	addTask(n.runControl)
	addTask(n.runGossip)
	addTask(n.runJoin)
	addTask(n.runEra)
	addTask(n.runConfigWatch)
	addTask(n.runTargetDiscovery)
	addTask(n.runHousekeeping)
	addTask(n.runCrashExpiry)
	addTask(n.runCrashFetch)
	addTask(n.runDepartureRestore)
	addTask(n.runDepartureKeep)
	addTask(n.runDepartureExpiry)
	addTask(n.runTraffic)
	addTask(n.runShedder)
	addTask(n.runProbes)
	addTask(n.quotas.run)
	addTask(func(ctx context.Context) error { return n.runReload(ctx, changes) })
	addServer(l.callers, n.callerServer.Serve)
	addServer(l.peers, n.peerServer.Serve)
	servers := []*sdhttp.Server{n.callerServer, n.peerServer}
	for _, local := range n.newLocalServers(l) {
		servers = append(servers, local.server)
		addServer(local.listener, local.server.Serve)
	}
	group.Add(func() error { return n.waitAndStop(ctx, background, l) }, func(error) { cancel() })
	n.log.Info("node started", "service", n.settings.Service, "data_centre", n.settings.DataCentre,
		"caller_address", n.settings.CallerAddress, "peer_address", n.settings.PeerAddress, "target_address", n.settings.TargetAddress)
	err = group.Run()
	for _, server := range servers {
		server.Close()
	}
	n.log.Info("node stopped", "error", err)
	return err
}

// Abort ends the node immediately, without a graceful stop.
func (n *Node) Abort() {
	n.abortOnce.Do(func() { close(n.aborted) })
}
