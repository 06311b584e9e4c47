// Package sdcluster starts a small cluster of the platform on loopback: a
// stand-in of the configuration store, targets, and nodes that use the
// platform's protocols. Tests run the nodes in their own process, the platform
// demonstration runs each node as a process of its own.
package sdcluster

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/savorydeal/savorydeal"
	"github.com/savorydeal/savorydeal/internal/sdstandapp"
	"github.com/savorydeal/savorydeal/internal/sdstandstore"
	"github.com/savorydeal/savorydeal/platform"
	"github.com/savorydeal/savorydeal/platform/platformtest"
)

// All VMs use the same ports on addresses of their own.
const (
	portStore    = 20100
	portCallers  = 20104
	portReady    = 20102
	portAnnounce = 20106
	portTarget   = 20101
	portPeers    = 20120
	portMetrics  = 20121
	// firstStoreHost is added to the number of a VM for the last part of the IP address at
	// which the VM reaches the store.
	firstStoreHost    = 100
	heartbeatInterval = 300 * time.Millisecond
	memoryBytes       = 256 << 20
	// revokeApply is the age of a configuration from which strict revocation refuses keys.
	revokeApply = 5 * time.Second
	// maxConnections is the limit on connections to one target that operators set
	// for a service.
	maxConnections = 1000
)

// Bounds within which the quotas of accounts must hold.
const (
	QuotaWindow = 5 * time.Second
	QuotaExcess = 0.1
	QuotaSlack  = 20
)

// Host is the host name of all routes.
const Host = "estate.example"

// Service describes one service and its targets.
type Service struct {
	Name string
	// Slots is the number of requests that a target runs at once.
	Slots int
	// ServiceTime is the time that a target takes for a request.
	ServiceTime time.Duration
	// Targets is the number of targets, each on a VM of its own, per data centre.
	Targets int
}

// Plan describes a cluster.
type Plan struct {
	DataCentres []string
	Services    []Service
	Config      Config
	// Calls maps a path prefix to the calls that every run of such a request makes.
	Calls map[string][]sdstandapp.OnwardCall
	// Grace is the time from the stop signal until a node is killed.
	Grace time.Duration
	// StrictRevocation makes nodes refuse API keys that may have been withdrawn.
	StrictRevocation bool
	// MemoryBytes and MaxDescriptors are limits in the settings of the nodes, Limits those
	// in the configuration; 0 means the defaults.
	MemoryBytes    int64
	MaxDescriptors int
	Limits         savorydeal.RequestLimits
}

// Route is one route of the configuration. It sends all requests for Host whose
// path begins with Prefix to Service.
type Route struct {
	Name, Prefix, Service string
	Kind                  savorydeal.RouteKind
	Timeout               time.Duration
	Priority, MaxTargets  int
	Public                bool
}

// Config is the configuration that the store holds.
type Config struct {
	Version  uint64
	Routes   []Route
	Accounts []savorydeal.Account
}

var defaultLimits = savorydeal.RequestLimits{MaxHeaderBytes: 16 << 10, MaxBodyBytes: 1 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}

// Cluster is a running cluster. Close ends it.
type Cluster struct {
	Store  *sdstandstore.Store
	Ledger *sdstandapp.Ledger
	VMs    []*VM
	Plan   Plan

	folder        string
	storeServer   *http.Server
	storeListener net.Listener
	// storeCallers maps the IP addresses at which single VMs reach the store to these VMs'.
	storeCallers map[string]string
	client       *http.Client
	log          hclog.Logger
}

// Start starts the store and the targets of a plan, and writes the settings of
// the nodes to the folder. It does not start the nodes: see StartNodes, StartNode
// and StartProcess.
func Start(plan Plan, folder string, log hclog.Logger) (*Cluster, error) {
	c := &Cluster{
		Store: sdstandstore.New(), Ledger: &sdstandapp.Ledger{}, Plan: plan, folder: folder, log: log,
		storeCallers: make(map[string]string),
		client:       &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}},
	}
	network, err := c.reserveNetwork()
	if err != nil {
		return nil, err
	}
	c.storeServer = &http.Server{Handler: http.HandlerFunc(c.serveStore)}
	go func() { _ = c.storeServer.Serve(c.storeListener) }()
	if err := c.SetConfig(plan.Config); err != nil {
		return nil, err
	}
	for _, dataCentre := range plan.DataCentres {
		for _, service := range plan.Services {
			for range service.Targets {
				if err := c.addVM(network, dataCentre, service); err != nil {
					c.Close()
					return nil, err
				}
			}
		}
	}
	return c, nil
}

// StoreAddress returns the IP address and port of the store.
func (c *Cluster) StoreAddress() string {
	return c.storeListener.Addr().String()
}

// serveStore serves a call of the store. All callers on loopback may have the same IP address:
// a VM is known by the address at which it reaches the store.
func (c *Cluster) serveStore(w http.ResponseWriter, r *http.Request) {
	if local, ok := r.Context().Value(http.LocalAddrContextKey).(*net.TCPAddr); ok {
		if caller, ok := c.storeCallers[local.IP.String()]; ok {
			r.RemoteAddr = net.JoinHostPort(caller, "0")
		}
	}
	c.Store.ServeHTTP(w, r)
}

// maxReserveAttempts bounds how many networks Start tries to reserve.
const maxReserveAttempts = 20

// reserveNetwork chooses a random network of loopback addresses and returns its
// prefix, such as "127.16.0.". Listening on the store's address reserves the
// network: another cluster that chooses the same one, in this process or another,
// cannot listen there and chooses again.
func (c *Cluster) reserveNetwork() (string, error) {
	var err error
	for range maxReserveAttempts {
		network := fmt.Sprintf("127.%d.%d.", 16+rand.IntN(200), rand.IntN(250))
		if c.storeListener, err = net.Listen("tcp", fmt.Sprintf("%s250:%d", network, portStore)); err == nil {
			return network, nil
		}
	}
	return "", fmt.Errorf("no free loopback network among those chosen at random: %w", err)
}

// addVM writes the settings of a new VM's node and starts the VM's target with its
// heartbeats.
func (c *Cluster) addVM(network, dataCentre string, service Service) error {
	number := len(c.VMs) + 1
	vm := &VM{
		Name: fmt.Sprintf("%s-%s-%d", dataCentre, service.Name, number), DataCentre: dataCentre, Service: service.Name,
		Address: fmt.Sprintf("%s%d", network, number), cluster: c, nodeStopped: make(chan error, 1),
	}
	addressOf := func(port int) string { return fmt.Sprintf("%s:%d", vm.Address, port) }
	storeIP := fmt.Sprintf("%s%d", network, firstStoreHost+number)
	storeListener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", storeIP, portStore))
	if err != nil {
		return fmt.Errorf("listen for calls of %s to the store: %w", vm.Name, err)
	}
	c.storeCallers[storeIP], vm.StoreAddress = vm.Address, storeListener.Addr().String()
	go func() { _ = c.storeServer.Serve(storeListener) }()
	settings, err := platformtest.EncodeSettings(platform.Settings{
		Node: vm.Name, DataCentre: dataCentre, Region: "loopback", Service: service.Name, TargetAddress: addressOf(portTarget),
		CallerAddress: addressOf(portCallers), ReadyAddress: addressOf(portReady), AnnounceAddress: addressOf(portAnnounce), AnnounceEvery: heartbeatInterval,
		MemoryBytes: cmp.Or(c.Plan.MemoryBytes, memoryBytes), MaxDescriptors: c.Plan.MaxDescriptors, StoreAddress: vm.StoreAddress,
		Bounds: platform.Bounds{
			Drain: 2 * time.Second, Grace: c.Plan.Grace, RetryRatio: 0.2, BudgetWindow: 10 * time.Second, MinRetries: 50, ConfigApply: 2 * time.Second,
			QuotaWindow: QuotaWindow, QuotaExcess: QuotaExcess, QuotaSlack: QuotaSlack,
			StrictRevocation: c.Plan.StrictRevocation, RevokeApply: revokeApply,
		},
	}, vm.Address, [2]int{portPeers, portMetrics})
	if err != nil {
		return err
	}
	vm.SettingsPath = filepath.Join(c.folder, vm.Name+".json")
	if err := os.WriteFile(vm.SettingsPath, settings, 0o600); err != nil {
		return fmt.Errorf("settings of %s: %w", vm.Name, err)
	}
	vm.target = sdstandapp.Config{
		Edge: platform.Headers(), Address: addressOf(portTarget), OnwardAddress: addressOf(portCallers), AnnounceAddress: addressOf(portAnnounce),
		Identity: "i-" + vm.Name, Service: service.Name, DataCentre: dataCentre,
		Slots: service.Slots, ServiceTime: service.ServiceTime, OnwardCalls: c.Plan.Calls, HeartbeatInterval: heartbeatInterval,
	}
	if err := vm.StartTarget(); err != nil {
		return err
	}
	c.VMs = append(c.VMs, vm)
	return nil
}

// SetConfig writes a configuration to the store.
func (c *Cluster) SetConfig(config Config) error {
	encoded := savorydeal.RouteConfig{
		Version: config.Version, Accounts: config.Accounts,
		Limits: cmp.Or(c.Plan.Limits, defaultLimits),
	}
	for _, route := range config.Routes {
		encoded.Routes = append(encoded.Routes, savorydeal.Route{
			Name: route.Name, Host: Host, PathPrefix: route.Prefix, Kind: route.Kind, Timeout: route.Timeout,
			LatencyObjective: route.Timeout / 2, Priority: route.Priority, MaxTargets: route.MaxTargets, Public: route.Public,
			Splits: []savorydeal.Split{{Service: route.Service, Weight: 1}},
		})
	}
	for _, service := range c.Plan.Services {
		encoded.Services = append(encoded.Services, savorydeal.ServiceSpec{Name: service.Name, HealthPath: "/health", MaxConnections: maxConnections})
	}
	spec, err := platformtest.EncodeConfig(encoded)
	if err != nil {
		return err
	}
	c.Store.Set(platform.ConfigKind, platform.ConfigName, spec)
	return nil
}

// StartNodes starts all nodes within this process and waits as WaitReady does.
func (c *Cluster) StartNodes(ctx context.Context) error {
	for _, vm := range c.VMs {
		if err := vm.StartNode(); err != nil {
			return err
		}
	}
	return c.WaitReady(ctx)
}

// WaitReady waits until every node is ready, knows all targets and answers a
// request of each route with 200.
func (c *Cluster) WaitReady(ctx context.Context) error {
	for _, vm := range c.VMs {
		for !vm.Ready(ctx) || !c.knowsAllTargets(ctx, vm) || !c.servesAllRoutes(ctx, vm) {
			select {
			case <-time.After(20 * time.Millisecond):
			case <-ctx.Done():
				return fmt.Errorf("node %s is not ready: %w", vm.Name, ctx.Err())
			}
		}
	}
	return nil
}

// knowsAllTargets reports whether a node's membership view holds the targets of
// all VMs.
func (c *Cluster) knowsAllTargets(ctx context.Context, vm *VM) bool {
	text, err := c.get(ctx, vm, "/metrics")
	return err == nil && strings.Contains(text, fmt.Sprintf("\nsavorydeal_targets %d\n", len(c.VMs)))
}

// State returns the state dump of the VM's node as JSON text.
func (c *Cluster) State(ctx context.Context, vm *VM) (string, error) {
	return c.get(ctx, vm, "/state")
}

// Metrics returns the metrics of the VM's node as text.
func (c *Cluster) Metrics(ctx context.Context, vm *VM) (string, error) {
	return c.get(ctx, vm, "/metrics")
}

// get returns the body of a path on the node's metrics address.
func (c *Cluster) get(ctx context.Context, vm *VM, path string) (string, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s:%d%s", vm.Address, portMetrics, path), nil)
	if err != nil {
		return "", err
	}
	response, err := c.client.Do(request)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return string(text), err
}

// servesAllRoutes reports whether a node answers a request of each route with
// 200.
func (c *Cluster) servesAllRoutes(ctx context.Context, vm *VM) bool {
	var header http.Header
	if accounts := c.Plan.Config.Accounts; len(accounts) > 0 {
		header = http.Header{"Authorization": {"Bearer " + accounts[0].Keys[0]}}
	}
	for _, route := range c.Plan.Config.Routes {
		answer := c.Do(ctx, vm, Request{Path: route.Prefix + "ready", ID: fmt.Sprintf("ready-%d", rand.Uint64()), Header: header})
		if answer.Status != http.StatusOK {
			return false
		}
	}
	return true
}

// Request is one request of a caller.
type Request struct {
	ID, Path string
	// Timeout is sent to the node; 0 means defaultTimeout.
	Timeout time.Duration
	Header  http.Header
	// Body makes the request one with method POST unless it is empty.
	Body []byte
}

// Answer is what the caller received. Err is set if the answer is missing or
// incomplete.
type Answer struct {
	Status int
	Header http.Header
	Body   string
	Err    error
}

// defaultTimeout is the timeout of a request that does not set one.
const defaultTimeout = 3 * time.Second

// Do sends a request, with method GET unless it has a body, to the VM's node and returns the
// answer.
func (c *Cluster) Do(ctx context.Context, vm *VM, request Request) Answer {
	if request.Timeout == 0 {
		request.Timeout = defaultTimeout
	}
	names := platform.Headers()
	method := http.MethodGet
	if len(request.Body) > 0 {
		method = http.MethodPost
	}
	url := fmt.Sprintf("http://%s:%d%s", vm.Address, portCallers, request.Path)
	httpRequest, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(request.Body))
	if err != nil {
		return Answer{Err: err}
	}
	httpRequest.Host = Host
	for name, values := range request.Header {
		httpRequest.Header[name] = values
	}
	httpRequest.Header.Set(names.RequestID, request.ID)
	httpRequest.Header.Set(names.Timeout, fmt.Sprint(request.Timeout.Milliseconds()))
	response, err := c.client.Do(httpRequest)
	if err != nil {
		return Answer{Err: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return Answer{Status: response.StatusCode, Header: response.Header, Body: string(body), Err: err}
}

// Close ends all nodes, targets and the store. It does not end processes that
// StartProcess started.
func (c *Cluster) Close() {
	for _, vm := range c.VMs {
		if err := vm.KillNode(); err != nil && !errors.Is(err, context.Canceled) {
			c.log.Warn("node ended with an error", "node", vm.Name, "error", err)
		}
		vm.stopHeartbeats()
		vm.App.Close()
	}
	c.Store.Close()
	_ = c.storeServer.Close()
}
