package sdcommand_test

import (
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorydeal/savorydeal/internal/sdcommand"
	"github.com/savorydeal/savorydeal/internal/sdheader"
	"github.com/savorydeal/savorydeal/internal/sdoperatorapi"
	"github.com/savorydeal/savorydeal/internal/sdrig"
	"github.com/savorydeal/savorydeal/internal/sdstandcaller"
	"github.com/savorydeal/savorydeal/internal/sdstandplatform"
	"github.com/savorydeal/savorydeal/internal/sdstandtarget"
)

// A node whose only successor is frozen, or cannot confirm the handover because the
// platform does not answer, gives the handover up in time to close its connections and to
// end within its stop timeout.
func TestHangingHandoverDoesNotDelayTheStop(t *testing.T) {
	for name, inject := range map[string]func(f *fixture, successor *sdrig.Node) error{
		"frozen successor": func(_ *fixture, successor *sdrig.Node) error { return successor.Signal(syscall.SIGSTOP) },
		"platform hangs": func(f *fixture, _ *sdrig.Node) error {
			f.rig.Platform.SetFaults(sdstandplatform.Faults{Hang: true})
			return nil
		},
	} {
		t.Run(name, func(t *testing.T) { testHangingHandover(t, inject) })
	}
}

func testHangingHandover(t *testing.T, inject func(f *fixture, successor *sdrig.Node) error) {
	t.Helper()
	const stopTimeout = 4 * time.Second
	is := is.New(t)
	f := newFixture(t, stopTimeout)
	record, err := f.node.OperatorAPI.GetPolicy(f.ctx, sdoperatorapi.GetPolicyParams{Service: service})
	is.NoErr(err)
	_, err = f.rig.PutPolicy(f.ctx, f.node, sdoperatorapi.Policy{Service: service, Operations: []sdoperatorapi.Operation{
		{Name: "raise", Methods: []string{http.MethodPost}, PathPrefix: "/", Class: "high"},
	}}, record.Version, "handover-test")
	is.NoErr(err)
	successor := f.startNode(stopTimeout)
	is.NoErr(successor.WaitReady(f.ctx))
	target, err := f.rig.StartTarget(successor, sdstandtarget.Options{Service: service, Slots: 4, Connections: 64})
	is.NoErr(err)
	t.Cleanup(target.Stop)
	// A key with the prefix of this node belongs to it.
	response, err := http.Get("http://" + f.node.Settings.CallerAddress + "/.well-known/savorydeal/key_prefix")
	is.NoErr(err)
	is.NoErr(response.Body.Close())
	key := response.Header.Get(sdheader.KeyPrefix) + "41"
	caller := sdstandcaller.New(f.node.Settings.CallerAddress, 1)
	defer caller.Close()
	is.NoErr(sdrig.WaitUntil(f.ctx, func() bool {
		return caller.Send(f.ctx, sdstandcaller.Request{
			Service: service, Method: http.MethodPost, Path: "/", Caller: "branch-7", Key: key, Body: "x",
		}).Complete()
	}))
	is.NoErr(sdrig.WaitUntil(f.ctx, func() bool { return f.knowsReadyTargets(2) }))
	is.NoErr(inject(f, successor))
	defer func() {
		_ = successor.Signal(syscall.SIGCONT)
		f.rig.Platform.SetFaults(sdstandplatform.Faults{})
	}()
	signalled := time.Now()
	is.Equal(exitCode(t, f.node.Stop()), sdcommand.ExitOK)
	is.True(time.Since(signalled) < stopTimeout)
}

// knowsReadyTargets reports whether the fixture's node knows this number of ready
// targets.
func (f *fixture) knowsReadyTargets(count int) bool {
	list, err := f.node.OperatorAPI.ListNodes(f.ctx)
	if err != nil {
		return false
	}
	ready := 0
	for _, node := range list.Nodes {
		if node.TargetState.Value == "ready" {
			ready++
		}
	}
	return ready == count
}
