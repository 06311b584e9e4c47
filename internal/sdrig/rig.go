// Package sdrig is a test rig: it starts nodes, stand-in targets and a stand-in
// platform on loopback, for tests and benchmarks. Every node has its own IP
// address in 127.0.0.0/8, which stands for a VM.
package sdrig

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/savorydeal/savorydeal/internal/sdclock"
	"github.com/savorydeal/savorydeal/internal/sdnode"
	"github.com/savorydeal/savorydeal/internal/sdoperatorapi"
	"github.com/savorydeal/savorydeal/internal/sdsettings"
	"github.com/savorydeal/savorydeal/internal/sdstandplatform"
	"github.com/savorydeal/savorydeal/internal/sdstandtarget"
)

const (
	portPlatform = 7900
	portPeer     = 7000
	portCaller   = 7080
	portOnward   = 7081
	portAnnounce = 7082
	portAdmin    = 7083
	portTarget   = 9000

	stopTimeout  = 20 * time.Second
	stopGrace    = time.Second
	pollInterval = 20 * time.Millisecond
)

// nextBlock counts the address blocks that this process has tried, so that its
// rigs start their search at different ones.
var nextBlock atomic.Int32

// Rig holds a stand-in platform and the nodes started on loopback.
type Rig struct {
	Platform *sdstandplatform.Store
	// PlatformURL is the base URL of the stand-in platform.
	PlatformURL string

	log hclog.Logger
	// base holds the second and third octet of the first address.
	base           [2]byte
	platformServer *http.Server

	mu    sync.Mutex
	nodes []*Node
}

// New reserves a block of addresses and starts a stand-in platform. The caller
// must call Close.
func New(log hclog.Logger) (*Rig, error) {
	rig := &Rig{Platform: sdstandplatform.NewStore(), log: log}
	handler, err := sdstandplatform.NewServer(rig.Platform)
	if err != nil {
		return nil, fmt.Errorf("stand-in platform: %w", err)
	}
	listener, err := rig.claimBlock()
	if err != nil {
		return nil, fmt.Errorf("stand-in platform: %w", err)
	}
	rig.platformServer = &http.Server{Handler: handler, ReadHeaderTimeout: time.Second}
	go func() { _ = rig.platformServer.Serve(listener) }()
	rig.PlatformURL = "http://" + listener.Addr().String()
	return rig, nil
}

const (
	minSecondOctet = 16
	secondOctets   = 200
	// thirdOctets is the number of blocks for each value of the second octet.
	// Each block uses two values of the third octet, of which 240 is the highest.
	thirdOctets = 120
	blockCount  = secondOctets * thirdOctets
	// pidStride separates the first choices of processes with consecutive IDs.
	pidStride = 97
)

// claimBlock reserves a block of addresses that no other rig uses, in this
// process or another, by listening on the block's platform address.
func (r *Rig) claimBlock() (net.Listener, error) {
	for range blockCount {
		block := (os.Getpid()*pidStride + int(nextBlock.Add(1))) % blockCount
		r.base = [2]byte{byte(minSecondOctet + block/thirdOctets), byte(1 + 2*(block%thirdOctets))}
		listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", r.address(0), portPlatform))
		if errors.Is(err, syscall.EADDRINUSE) {
			continue
		}
		return listener, err
	}
	return nil, errors.New("every block of loopback addresses is in use")
}

// vmsPerOctet is the number of addresses for each value of the third octet: the
// last octet stays between 1 and 250. Further VMs use the next value.
const vmsPerOctet = 250

// address returns the IP address of the rig's n-th VM; 0 is the platform.
func (r *Rig) address(n int) string {
	return fmt.Sprintf("127.%d.%d.%d", r.base[0], int(r.base[1])+n/vmsPerOctet, n%vmsPerOctet+1)
}

// NodeSpec describes a node to start.
type NodeSpec struct {
	DataCentre string
	Region     string
	// Process runs the node as a child process instead of within this process.
	// The running program must then start a node when its first argument is
	// "node".
	Process bool
	// Edit changes the default settings before the start; nil keeps them.
	Edit func(*sdsettings.Settings)
}

// Node is a running or stopped node of a rig.
type Node struct {
	Settings    sdsettings.Settings
	OperatorAPI *sdoperatorapi.Client
	// InProcess is the node if it runs within this process, and nil if it is a
	// child process.
	InProcess *sdnode.Node

	host    string
	log     hclog.Logger
	cancel  context.CancelFunc
	command *exec.Cmd
	// done is closed after the node has ended and err is set.
	done chan struct{}
	err  error
}

// Host returns the node's IP address.
func (n *Node) Host() string {
	return n.host
}

// StartNode starts a node at a new IP address.
func (r *Rig) StartNode(spec NodeSpec) (*Node, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	node, err := r.startAt(r.address(len(r.nodes)+1), spec)
	if err != nil {
		return nil, err
	}
	r.nodes = append(r.nodes, node)
	return node, nil
}

// RestartNode starts a node at the address of an earlier one that has stopped,
// like a replacement VM that gets the address of its predecessor.
func (r *Rig) RestartNode(earlier *Node, spec NodeSpec) (*Node, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	node, err := r.startAt(earlier.host, spec)
	if err != nil {
		return nil, err
	}
	r.nodes = append(r.nodes, node)
	return node, nil
}

func (r *Rig) startAt(host string, spec NodeSpec) (*Node, error) {
	settings := sdsettings.Settings{
		PeerAddress:     fmt.Sprintf("%s:%d", host, portPeer),
		CallerAddress:   fmt.Sprintf("%s:%d", host, portCaller),
		OnwardAddress:   fmt.Sprintf("%s:%d", host, portOnward),
		AnnounceAddress: fmt.Sprintf("%s:%d", host, portAnnounce),
		AdminAddress:    fmt.Sprintf("%s:%d", host, portAdmin),
		DataCentre:      spec.DataCentre,
		Region:          spec.Region,
		MeetingPoints:   []string{fmt.Sprintf("%s:%d", r.address(1), portPeer)},
		PlatformURL:     r.PlatformURL,
		StopTimeout:     stopTimeout,
		StopGrace:       stopGrace,
		LogLevel:        "warn",
	}
	if spec.Edit != nil {
		spec.Edit(&settings)
	}
	operatorAPI, err := sdoperatorapi.NewClient("http://" + settings.AdminAddress)
	if err != nil {
		return nil, fmt.Errorf("create the admin API client: %w", err)
	}
	node := &Node{Settings: settings, OperatorAPI: operatorAPI, host: host, log: r.log, done: make(chan struct{})}
	if spec.Process {
		return node, node.startProcess()
	}
	return node, node.startInProcess()
}

func (n *Node) startInProcess() error {
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	seed, err := sdnode.NewSeed()
	if err != nil {
		cancel()
		return err
	}
	n.InProcess = sdnode.New(n.Settings, "rig", seed, sdclock.System{}, n.log.Named(n.host))
	go func() {
		defer close(n.done)
		n.err = n.InProcess.Run(ctx)
	}()
	return nil
}

func (n *Node) startProcess() error {
	program, err := os.Executable()
	if err != nil {
		return fmt.Errorf("find the path of the running program: %w", err)
	}
	n.command = exec.Command(program, append([]string{"node"}, n.Settings.Flags()...)...)
	n.command.Stderr = n.log.StandardWriter(&hclog.StandardLoggerOptions{})
	// The kernel kills the node if this process dies.
	n.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := n.command.Start(); err != nil {
		return fmt.Errorf("start the node process: %w", err)
	}
	n.cancel = func() { _ = n.command.Process.Signal(syscall.SIGTERM) }
	go func() {
		defer close(n.done)
		n.err = n.command.Wait()
	}()
	return nil
}

// PID returns the process ID of a node that is a child process, else 0.
func (n *Node) PID() int {
	if n.command == nil {
		return 0
	}
	return n.command.Process.Pid
}

// Stop stops the node gracefully, waits until it has ended and returns its
// error.
func (n *Node) Stop() error {
	n.cancel()
	<-n.done
	return n.err
}

// Wait waits until the node has ended and returns its error.
func (n *Node) Wait() error {
	<-n.done
	return n.err
}

// Signal sends a signal to a node that is a child process.
func (n *Node) Signal(signal os.Signal) error {
	if n.command == nil {
		return errors.New("cannot signal a node that runs within this process; set NodeSpec.Process")
	}
	return n.command.Process.Signal(signal)
}

// WaitReady waits until the node's admin API answers.
func (n *Node) WaitReady(ctx context.Context) error {
	for {
		if _, err := n.OperatorAPI.GetStatus(ctx); err == nil {
			return nil
		}
		select {
		case <-time.After(pollInterval):
		case <-n.done:
			return fmt.Errorf("node %s ended: %w", n.host, n.err)
		case <-ctx.Done():
			return fmt.Errorf("node %s is not ready: %w", n.host, ctx.Err())
		}
	}
}

// StartTarget starts a stand-in target at the IP address of a node, on the rig's
// target port unless options.Address is set.
func (r *Rig) StartTarget(node *Node, options sdstandtarget.Options) (*sdstandtarget.Target, error) {
	if options.Address == "" {
		options.Address = fmt.Sprintf("%s:%d", node.host, portTarget)
	}
	options.OnwardAddress = node.Settings.OnwardAddress
	options.AnnounceAddress = node.Settings.AnnounceAddress
	return sdstandtarget.Start(options)
}

// PutPolicy creates or replaces a policy through a node and returns the new
// version.
func (r *Rig) PutPolicy(ctx context.Context, node *Node, policy sdoperatorapi.Policy, expected int64, changeID string) (int64, error) {
	record, err := node.OperatorAPI.PutPolicy(ctx, &sdoperatorapi.PolicyChange{
		ExpectedVersion: expected,
		ChangeID:        changeID,
		Policy:          policy,
	}, sdoperatorapi.PutPolicyParams{Service: policy.Service})
	if err != nil {
		return 0, fmt.Errorf("put policy %s: %w", policy.Service, err)
	}
	return record.Version, nil
}

// WaitUntil polls a condition until it holds or ctx ends.
func WaitUntil(ctx context.Context, condition func() bool) error {
	for !condition() {
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// Close stops the nodes and the platform. It does not stop the targets.
func (r *Rig) Close() {
	r.mu.Lock()
	nodes := r.nodes
	r.mu.Unlock()
	for _, node := range nodes {
		node.cancel()
	}
	for _, node := range nodes {
		<-node.done
	}
	_ = r.platformServer.Close()
}

// DiscardLogger returns a logger that drops every line.
func DiscardLogger() hclog.Logger {
	return hclog.New(&hclog.LoggerOptions{Output: io.Discard})
}
