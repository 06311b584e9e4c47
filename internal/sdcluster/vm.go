package sdcluster

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/savorydeal/savorydeal/internal/sdclock"
	"github.com/savorydeal/savorydeal/internal/sdsidecar"
	"github.com/savorydeal/savorydeal/internal/sdstandapp"
	"github.com/savorydeal/savorydeal/platform"
)

// VM is one VM with its target and its node.
type VM struct {
	Name       string
	DataCentre string
	Service    string
	Address    string
	// StoreAddress is the IP address and port at which its node reaches the store.
	StoreAddress string
	// SettingsPath is the path of the settings file of its node.
	SettingsPath string
	App          *sdstandapp.App

	cluster        *Cluster
	target         sdstandapp.Config
	stopHeartbeats context.CancelFunc
	node           *sdsidecar.Node
	stopNode       context.CancelFunc
	nodeStopped    chan error
}

// StartTarget starts the VM's target, which sends heartbeats from then on. Each start has
// the same identity and a start time of its own.
func (vm *VM) StartTarget() error {
	vm.target.Started = time.Now().UnixMilli()
	app, err := sdstandapp.Start(vm.target, vm.cluster.Ledger)
	if err != nil {
		return err
	}
	vm.App = app
	ctx, cancel := context.WithCancel(context.Background())
	vm.stopHeartbeats = cancel
	go app.SendHeartbeats(ctx)
	return nil
}

// StartNode starts the VM's node within this process.
func (vm *VM) StartNode() error {
	settings, err := platform.ReadSettings(vm.SettingsPath)
	if err != nil {
		return err
	}
	node, err := sdsidecar.New(settings, sdclock.System{}, vm.cluster.log.With("node", vm.Name))
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	vm.node, vm.stopNode = node, cancel
	go func() { vm.nodeStopped <- node.Run(ctx, nil) }()
	return nil
}

// StopNode stops the VM's node gracefully and waits until it has ended. It does
// nothing if the node does not run.
func (vm *VM) StopNode() error {
	if vm.stopNode == nil {
		return nil
	}
	vm.stopNode()
	vm.stopNode = nil
	return <-vm.nodeStopped
}

// KillNode ends the VM's node without a graceful stop and waits until it has
// ended.
func (vm *VM) KillNode() error {
	if vm.stopNode == nil {
		return nil
	}
	vm.node.Abort()
	vm.stopNode = nil
	return <-vm.nodeStopped
}

// CrashTarget ends the VM's target and its heartbeats without notifying the node.
func (vm *VM) CrashTarget() {
	vm.stopHeartbeats()
	vm.App.Close()
}

// CallerAddress returns the address of the VM's node for callers.
func (vm *VM) CallerAddress() string {
	return fmt.Sprintf("%s:%d", vm.Address, portCallers)
}

// ReadyAddress returns the address of the VM's node for readiness checks.
func (vm *VM) ReadyAddress() string {
	return fmt.Sprintf("%s:%d", vm.Address, portReady)
}

// AnnounceAddress returns the address of the VM's node for the target's announcements.
func (vm *VM) AnnounceAddress() string {
	return fmt.Sprintf("%s:%d", vm.Address, portAnnounce)
}

// Ready reports whether the readiness endpoint of the node answers 200.
func (vm *VM) Ready(ctx context.Context) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s:%d/readiness", vm.Address, portReady), nil)
	if err != nil {
		return false
	}
	response, err := vm.cluster.client.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}
