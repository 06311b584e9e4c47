package sdbenchoverload

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/savorydeal/savorydeal/internal/sdoperatorapi"
	"github.com/savorydeal/savorydeal/internal/sdrig"
	"github.com/savorydeal/savorydeal/internal/sdsettings"
	"github.com/savorydeal/savorydeal/internal/sdstandcaller"
	"github.com/savorydeal/savorydeal/internal/sdstandtarget"
)

const (
	readyTimeout      = 25 * time.Second
	callerConnections = 256
	// serviceTimeSigma is the standard deviation of the logarithm of the
	// service time.
	serviceTimeSigma = 0.5
	// attemptTimeout is the timeout that a caller sends with each attempt, and
	// the timeout of every operation's policy.
	attemptTimeout = 3 * time.Second
	// onwardRetries and onwardTimeout apply to variants in which targets repeat
	// failed onward calls by themselves.
	onwardRetries = 3
	onwardTimeout = time.Second
	// maxRetries is the maximum number of retries of a call, and retryRatio the
	// maximum ratio of retries to first attempts, in every policy.
	maxRetries = 2
	retryRatio = 0.1
)

// vm is one node with its target, and a caller that sends requests to the node.
type vm struct {
	service    serviceSpec
	dataCentre int
	node       *sdrig.Node
	caller     *sdstandcaller.Caller
	// target is nil while the target is stopped, and a new one after its restart.
	target *sdstandtarget.Target
	// stoppedTargets keeps the ledgers of targets that were stopped.
	stoppedTargets []*sdstandtarget.Target
}

// deployment runs the nodes and stand-in targets of a topology on loopback.
type deployment struct {
	topology topology
	variant  variant
	seed     uint64
	rig      *sdrig.Rig
	vms      []*vm
	// blockedLinks counts how often the partition closed a link or refused to open
	// one.
	blockedLinks atomic.Int64
}

func newDeployment(ctx context.Context, t topology, v variant, misreporting bool, seed uint64) (*deployment, error) {
	rig, err := sdrig.New(sdrig.DiscardLogger())
	if err != nil {
		return nil, err
	}
	d := &deployment{topology: t, variant: v, seed: seed, rig: rig}
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := d.start(ctx, misreporting); err != nil {
		d.close()
		return nil, err
	}
	return d, nil
}

func (d *deployment) start(ctx context.Context, misreporting bool) error {
	for _, service := range d.topology.services {
		for i := range service.targets {
			if err := d.startVM(service, i); err != nil {
				return err
			}
		}
	}
	for _, v := range d.vms {
		if err := v.node.WaitReady(ctx); err != nil {
			return err
		}
	}
	for i, v := range d.vms {
		target, err := d.startTarget(v, d.targetBehaviour(v, i, misreporting))
		if err != nil {
			return err
		}
		v.target = target
	}
	for _, service := range d.topology.services {
		if _, err := d.rig.PutPolicy(ctx, d.vms[0].node, d.policy(service), 0, "overload-"+service.name); err != nil {
			return err
		}
	}
	return sdrig.WaitUntil(ctx, d.ready)
}

func (d *deployment) startVM(service serviceSpec, index int) error {
	dataCentre := index % dataCentres
	node, err := d.rig.StartNode(sdrig.NodeSpec{
		DataCentre: fmt.Sprintf("dc-%d", dataCentre),
		Region:     "r-1",
		Edit:       func(settings *sdsettings.Settings) { settings.Overload = d.variant.overload },
	})
	if err != nil {
		return err
	}
	d.vms = append(d.vms, &vm{
		service:    service,
		dataCentre: dataCentre,
		node:       node,
		caller:     sdstandcaller.New(node.Settings.CallerAddress, callerConnections),
	})
	return nil
}

// targetBehaviour returns the behaviour of a VM's target. With misreporting, the
// bottleneck's target in data centre 1 announces three times its slots.
func (d *deployment) targetBehaviour(v *vm, index int, misreporting bool) sdstandtarget.Behaviour {
	behaviour := sdstandtarget.Behaviour{Seed: d.seed + uint64(index), LogNormalSigma: serviceTimeSigma}
	if misreporting && v.service.name == d.topology.bottleneck && v.dataCentre == 1 {
		behaviour.AnnouncedSlots = 3 * v.service.slots
	}
	return behaviour
}

func (d *deployment) startTarget(v *vm, behaviour sdstandtarget.Behaviour) (*sdstandtarget.Target, error) {
	options := sdstandtarget.Options{
		Service:       v.service.name,
		Slots:         v.service.slots,
		Connections:   v.service.connections,
		ServiceTime:   v.service.serviceTime,
		Behaviour:     behaviour,
		OnwardCallsOf: func(path string) []sdstandtarget.OnwardCall { return d.onwardCalls(v.service.name, path) },
	}
	if d.variant.targetsRetry {
		options.OnwardRetries = onwardRetries
		options.OnwardTimeout = onwardTimeout
	}
	return d.rig.StartTarget(v.node, options)
}

// onwardCalls returns the next call in the chain of the operation with this path,
// or nil at the end of the chain. The last service is always called with GET.
func (d *deployment) onwardCalls(service, path string) []sdstandtarget.OnwardCall {
	for _, operation := range d.topology.operations {
		if operation.path() != path {
			continue
		}
		for i, visited := range operation.chain[:len(operation.chain)-1] {
			if visited == service {
				next := operation.chain[i+1]
				method := operation.method
				if i+2 == len(operation.chain) {
					method = http.MethodGet
				}
				return []sdstandtarget.OnwardCall{{Service: next, Method: method, Path: path}}
			}
		}
	}
	return nil
}

func (d *deployment) policy(service serviceSpec) sdoperatorapi.Policy {
	policy := sdoperatorapi.Policy{Service: service.name, RetryRatio: sdoperatorapi.NewOptFloat64(retryRatio)}
	for _, operation := range d.topology.operations {
		if !operation.passes(service.name) {
			continue
		}
		for _, method := range []string{http.MethodGet, http.MethodPost} {
			policy.Operations = append(policy.Operations, sdoperatorapi.Operation{
				Name:       strings.ReplaceAll(operation.name, "-", "_") + "_" + strings.ToLower(method),
				Methods:    []string{method},
				PathPrefix: operation.path(),
				Class:      string(operation.class),
				Idempotent: method == http.MethodGet,
				MaxRetries: sdoperatorapi.NewOptInt(maxRetries),
				TimeoutMs:  sdoperatorapi.NewOptInt64(attemptTimeout.Milliseconds()),
			})
		}
	}
	return policy
}

// ready reports whether every node can route to every target and has the policy
// of every service.
func (d *deployment) ready() bool {
	for _, v := range d.vms {
		routable := 0
		for _, member := range v.node.InProcess.Members() {
			if member.Routable() {
				routable++
			}
		}
		if routable != len(d.vms) {
			return false
		}
		for _, service := range d.topology.services {
			if _, ok := v.node.InProcess.Policies().Policy(service.name); !ok {
				return false
			}
		}
	}
	return true
}

func (d *deployment) close() {
	for _, v := range d.vms {
		v.caller.Close()
	}
	d.rig.Close()
	for _, v := range d.vms {
		if v.target != nil {
			v.target.Stop()
		}
	}
}

// vmsOf returns the VMs of a service.
func (d *deployment) vmsOf(service string) []*vm {
	var vms []*vm
	for _, v := range d.vms {
		if v.service.name == service {
			vms = append(vms, v)
		}
	}
	return vms
}

// vmsIn returns the VMs of a data centre.
func (d *deployment) vmsIn(dataCentre int) []*vm {
	var vms []*vm
	for _, v := range d.vms {
		if v.dataCentre == dataCentre {
			vms = append(vms, v)
		}
	}
	return vms
}
