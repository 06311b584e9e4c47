package sdcluster_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorydeal/savorydeal/internal/sdcluster"
)

// restart kills the VM's node, starts it again and waits until it is ready.
func restart(ctx context.Context, t *testing.T, vm *sdcluster.VM) {
	t.Helper()
	if err := vm.KillNode(); err != nil {
		t.Fatal(err)
	}
	startAndWait(ctx, t, vm)
}

// startAndWait starts the VM's node and waits until it is ready.
func startAndWait(ctx context.Context, t *testing.T, vm *sdcluster.VM) {
	t.Helper()
	if err := vm.StartNode(); err != nil {
		t.Fatal(err)
	}
	for !vm.Ready(ctx) {
		if ctx.Err() != nil {
			t.Fatal(ctx.Err())
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// checkGetsNothing sends requests through all nodes of the VMs for some time and checks that
// all are answered, and that none that began later than leftAt runs on the target of the VM
// that has left.
func checkGetsNothing(ctx context.Context, t *testing.T, cluster *sdcluster.Cluster, left *sdcluster.VM, leftAt time.Time) {
	t.Helper()
	is := is.New(t)
	for _, answer := range sendEvery(ctx, cluster, cluster.VMs, "/sign/", "d", 5*time.Millisecond, coldTime+time.Second) {
		is.NoErr(answer.Err)
		is.Equal(answer.Status, http.StatusOK)
	}
	late := 0
	for _, run := range runsOn(cluster, left) {
		if run.Started.After(leftAt) {
			late++
		}
	}
	if late > 0 {
		t.Errorf("%d requests reached the target of %s after the acknowledgement that it leaves", late, left.Name)
	}
}

// Guards against requests to a target whose leave call is acknowledged by a node that knows
// the target from its health check only, since it was restarted after the last heartbeat.
func TestLeaveAcknowledgedBeforeFirstHeartbeat(t *testing.T) {
	is := is.New(t)
	cluster, ctx := start(t)
	leaving := cluster.VMs[0]
	leaving.App.SetSilent(true)
	restart(ctx, t, leaving)
	is.NoErr(cluster.WaitReady(ctx)) // the target is in use again
	is.NoErr(leaving.App.SendLeave(ctx))
	checkGetsNothing(ctx, t, cluster, leaving, time.Now())
}
