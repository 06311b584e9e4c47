package sdsoak

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/savorydeal/savorydeal"
	"github.com/savorydeal/savorydeal/internal/sdoperatorapi"
	"github.com/savorydeal/savorydeal/internal/sdrig"
	"github.com/savorydeal/savorydeal/internal/sdsettings"
	"github.com/savorydeal/savorydeal/internal/sdstandcaller"
	"github.com/savorydeal/savorydeal/internal/sdstandtarget"
)

const (
	// Every run of the front service calls the mid service, and every run of
	// the mid service calls the deep one.
	serviceFront = "review-decision"
	serviceMid   = "limit-change"
	serviceDeep  = "limit-lookup"

	// slots and connections are the limits of each target.
	slots       = 4
	connections = 64
	// serviceTime is the time for which a run occupies a slot.
	serviceTime     = 4 * time.Millisecond
	nodeStopTimeout = 5 * time.Second
	// startTimeout limits the start of the whole cluster.
	startTimeout      = 30 * time.Second
	callerConnections = 64
)

func dataCentres() []string { return []string{"ub-1", "ub-2", "ub-3"} }
func services() []string    { return []string{serviceFront, serviceMid, serviceDeep} }

// vm is one VM with a node, a target, and a caller that sends to the node.
type vm struct {
	dataCentre string
	service    string
	caller     *sdstandcaller.Caller

	mu     sync.Mutex
	node   *sdrig.Node
	target *sdstandtarget.Target
	// down is set while callers know that the node is gone and send nothing to it.
	down bool
}

func (v *vm) up() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return !v.down
}

func (v *vm) setDown(down bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.down = down
}

func (v *vm) current() (*sdrig.Node, *sdstandtarget.Target) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.node, v.target
}

func (v *vm) peerAddress() string {
	node, _ := v.current()
	return node.Settings.PeerAddress
}

// targetLedger refers to a target whose ledger is checked at the end of the run,
// even if the target has stopped before.
type targetLedger struct {
	service string
	target  *sdstandtarget.Target
	// leavingSince is when the target announced that it leaves; zero if never.
	leavingSince time.Time
}

// cluster holds one VM for each service in each data centre, and the platform.
type cluster struct {
	rig     *sdrig.Rig
	network *network
	vms     []*vm

	mu      sync.Mutex
	ledgers []*targetLedger
}

func newCluster(ctx context.Context, log hclog.Logger) (*cluster, error) {
	rig, err := sdrig.New(log)
	if err != nil {
		return nil, err
	}
	c := &cluster{rig: rig, network: newNetwork()}
	if err := c.start(ctx); err != nil {
		c.close()
		return nil, err
	}
	return c, nil
}

func (c *cluster) start(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for _, dataCentre := range dataCentres() {
		for _, service := range services() {
			v := &vm{dataCentre: dataCentre, service: service}
			c.vms = append(c.vms, v)
			if err := c.startVM(ctx, v, nil); err != nil {
				return err
			}
			v.caller = sdstandcaller.New(v.node.Settings.CallerAddress, callerConnections)
		}
	}
	for i, policy := range policies() {
		if _, err := c.rig.PutPolicy(ctx, c.vms[0].node, policy, 0, fmt.Sprintf("soak-first-%d", i)); err != nil {
			return err
		}
	}
	return nil
}

// startVM starts a node and its target, at the address of the earlier node unless
// that is nil.
func (c *cluster) startVM(ctx context.Context, v *vm, earlier *sdrig.Node) error {
	spec := sdrig.NodeSpec{DataCentre: v.dataCentre, Region: "ub", Edit: c.editSettings}
	var node *sdrig.Node
	var err error
	if earlier == nil {
		node, err = c.rig.StartNode(spec)
	} else {
		node, err = c.rig.RestartNode(earlier, spec)
	}
	if err != nil {
		return err
	}
	peer := node.Settings.PeerAddress
	node.InProcess.SetNetwork(c.network.dialer(peer), c.network.datagramFilter(peer))
	if err := node.WaitReady(ctx); err != nil {
		return err
	}
	target, err := c.startTarget(node, v.service)
	if err != nil {
		return err
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.node = node
	v.target = target
	return nil
}

// editSettings makes the first node of each data centre a meeting point, through
// which other nodes join.
func (c *cluster) editSettings(settings *sdsettings.Settings) {
	settings.StopTimeout = nodeStopTimeout
	settings.LogLevel = "error"
	settings.MeetingPoints = nil
	for i, v := range c.vms {
		if i%len(services()) == 0 && v.node != nil {
			settings.MeetingPoints = append(settings.MeetingPoints, v.peerAddress())
		}
	}
}

func (c *cluster) startTarget(node *sdrig.Node, service string) (*sdstandtarget.Target, error) {
	options := sdstandtarget.Options{Service: service, Slots: slots, Connections: connections, ServiceTime: serviceTime}
	switch service {
	case serviceFront:
		options.OnwardCalls = []sdstandtarget.OnwardCall{{Service: serviceMid, Method: http.MethodGet, Path: limitPath + "/7"}}
	case serviceMid:
		options.OnwardCalls = []sdstandtarget.OnwardCall{{Service: serviceDeep, Method: http.MethodGet, Path: limitPath + "/7"}}
	}
	target, err := c.rig.StartTarget(node, options)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ledgers = append(c.ledgers, &targetLedger{service: service, target: target})
	return target, nil
}

// setLeaving records when a target announced that it leaves.
func (c *cluster) setLeaving(target *sdstandtarget.Target, since time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, ledger := range c.ledgers {
		if ledger.target == target {
			ledger.leavingSince = since
		}
	}
}

func (c *cluster) targetRuns() []TargetRuns {
	c.mu.Lock()
	defer c.mu.Unlock()
	var runs []TargetRuns
	for _, ledger := range c.ledgers {
		runs = append(runs, TargetRuns{Service: ledger.service, LeavingSince: ledger.leavingSince, Runs: ledger.target.Ledger.Runs()})
	}
	return runs
}

// entryVMs returns the VMs to whose nodes callers send.
func (c *cluster) entryVMs() []*vm {
	var available []*vm
	for _, v := range c.vms {
		if v.up() {
			available = append(available, v)
		}
	}
	return available
}

func (c *cluster) vmsOf(service string) []*vm {
	var vms []*vm
	for _, v := range c.vms {
		if v.service == service {
			vms = append(vms, v)
		}
	}
	return vms
}

func (c *cluster) close() {
	c.network.setPartition(nil)
	c.rig.Platform.SetFaults(noFaults())
	c.rig.Close()
	for _, v := range c.vms {
		if _, target := v.current(); target != nil {
			target.Stop()
		}
		if v.caller != nil {
			v.caller.Close()
		}
	}
}

const (
	signOffPath = "/reviews"
	limitPath   = "/limits"
)

func policies() []sdoperatorapi.Policy {
	critical, high := string(savorydeal.ClassCritical), string(savorydeal.ClassHigh)
	normal, low := string(savorydeal.ClassNormal), string(savorydeal.ClassLow)
	return []sdoperatorapi.Policy{
		{Service: serviceFront, Operations: []sdoperatorapi.Operation{
			{Name: "sign_off", Methods: []string{http.MethodPost}, PathPrefix: signOffPath, Class: critical},
			{Name: "list", Methods: []string{http.MethodGet}, PathPrefix: signOffPath, Class: low, Idempotent: true},
		}},
		{Service: serviceMid, Operations: []sdoperatorapi.Operation{
			{Name: "raise", Methods: []string{http.MethodPost}, PathPrefix: limitPath, Class: high},
			{Name: "view", Methods: []string{http.MethodGet}, PathPrefix: limitPath, Class: normal, Idempotent: true},
		}},
		{Service: serviceDeep, Operations: []sdoperatorapi.Operation{
			{Name: "look_up", Methods: []string{http.MethodGet}, PathPrefix: limitPath, Class: normal, Idempotent: true},
		}},
	}
}
