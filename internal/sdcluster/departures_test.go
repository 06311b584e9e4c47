package sdcluster_test

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorydeal/savorydeal/internal/sdcluster"
	"github.com/savorydeal/savorydeal/internal/sdstandapp"
	"github.com/savorydeal/savorydeal/internal/sdstandstore"
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

// Guards against an acknowledgement that ends with the process which gave it: whatever is
// restarted, and whether the store or the other nodes kept the departure, a target that has
// left is not in use again, not even when a heartbeat from before arrives late.
func TestAcknowledgedLeavingOutlivesProcesses(t *testing.T) {
	ways := map[string]func(*sdstandapp.App, context.Context) error{
		"leave call": (*sdstandapp.App).SendLeave, "heartbeat": (*sdstandapp.App).Leave,
	}
	type fault = func(ctx context.Context, t *testing.T, cluster *sdcluster.Cluster, left *sdcluster.VM)
	killed := func(ctx context.Context, t *testing.T, _ *sdcluster.Cluster, left *sdcluster.VM) {
		restart(ctx, t, left)
	}
	for _, c := range []struct {
		name string
		// before is the fault of the store while the target leaves.
		before sdstandstore.Fault
		after  fault
	}{
		{"killed", sdstandstore.FaultNone, killed},
		{"killed twice", sdstandstore.FaultNone, func(ctx context.Context, t *testing.T, _ *sdcluster.Cluster, left *sdcluster.VM) {
			restart(ctx, t, left)
			restart(ctx, t, left)
		}},
		{"stopped", sdstandstore.FaultNone, func(ctx context.Context, t *testing.T, _ *sdcluster.Cluster, left *sdcluster.VM) {
			if err := left.StopNode(); err != nil {
				t.Fatal(err)
			}
			startAndWait(ctx, t, left)
		}},
		{"all killed", sdstandstore.FaultNone, func(ctx context.Context, t *testing.T, cluster *sdcluster.Cluster, _ *sdcluster.VM) {
			for _, vm := range cluster.VMs {
				if err := vm.KillNode(); err != nil {
					t.Fatal(err)
				}
			}
			for _, vm := range cluster.VMs {
				startAndWait(ctx, t, vm)
			}
			for _, vm := range cluster.VMs { // it may be ready before it has found another one
				for cluster.Do(ctx, vm, sdcluster.Request{ID: "first-" + vm.Name, Path: "/sign/first"}).Status != http.StatusOK {
					if ctx.Err() != nil {
						t.Fatal(ctx.Err())
					}
					time.Sleep(5 * time.Millisecond)
				}
			}
		}},
		{"store silent", sdstandstore.FaultHang, killed},
		{"store silent until the restart", sdstandstore.FaultHang, func(ctx context.Context, t *testing.T, cluster *sdcluster.Cluster, left *sdcluster.VM) {
			if err := left.KillNode(); err != nil {
				t.Fatal(err)
			}
			cluster.Store.SetFault(sdstandstore.FaultNone)
			startAndWait(ctx, t, left)
		}},
		{"store refuses", sdstandstore.FaultThrottle, killed},
		{"answers of the store are lost", sdstandstore.FaultLostAnswer, killed},
	} {
		for way, leave := range ways {
			t.Run(c.name+", "+way, func(t *testing.T) {
				is := is.New(t)
				cluster, ctx := start(t)
				left := cluster.VMs[0]
				late := left.App.NextHeartbeat()
				cluster.Store.SetFault(c.before)
				is.NoErr(leave(left.App, ctx))
				leftAt := time.Now()
				left.App.SetSilent(true)
				var restarted atomic.Bool
				var arrived atomic.Int32
				lateCtx, stopLate := context.WithCancel(ctx)
				defer stopLate()
				go func() { // arrives as soon as the new process listens, and again later
					for ; lateCtx.Err() == nil; time.Sleep(5 * time.Millisecond) {
						if late(lateCtx) == nil && restarted.Load() {
							arrived.Add(1)
						}
					}
				}()
				c.after(ctx, t, cluster, left)
				restarted.Store(true)
				checkGetsNothing(ctx, t, cluster, left, leftAt)
				is.True(arrived.Load() > 0)
			})
		}
	}
}

// Guards against a target that is not in use again after it has left and really started
// again, under its identity and beside a restarted node.
func TestNextStartOfTargetThatHasLeftIsInUse(t *testing.T) {
	for name, restartNode := range map[string]bool{"same node": false, "node restarted": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			cluster, ctx := start(t)
			left := cluster.VMs[0]
			is.NoErr(left.App.SendLeave(ctx))
			left.CrashTarget()
			if restartNode {
				restart(ctx, t, left)
			}
			is.NoErr(left.StartTarget())
			startedAt := time.Now()
			is.NoErr(cluster.WaitReady(ctx)) // all targets are advertised as ready
			if took := time.Since(startedAt); took > time.Second {
				t.Errorf("the target was in use %v after its start", took)
			}
			sendEvery(ctx, cluster, cluster.VMs, "/sign/", "n", 5*time.Millisecond, coldTime)
			is.True(len(runsOn(cluster, left)) > 0)
		})
	}
}

// Guards against an acknowledgement that only the process which gives it knows of: if
// neither the store nor another node confirms it, it is not given, and given later.
func TestLeavingIsAcknowledgedOnlyIfOthersKnow(t *testing.T) {
	is := is.New(t)
	cluster, ctx := start(t)
	alone := cluster.VMs[0]
	for _, vm := range cluster.VMs[1:] {
		is.NoErr(vm.KillNode())
	}
	cluster.Store.SetFault(sdstandstore.FaultReset)
	is.True(alone.App.SendLeave(ctx) != nil)
	cluster.Store.SetFault(sdstandstore.FaultNone)
	var err error
	for range 10 {
		if err = alone.App.SendLeave(ctx); err == nil {
			break
		}
	}
	is.NoErr(err)
}
