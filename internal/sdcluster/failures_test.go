package sdcluster_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorydeal/savorydeal/internal/sdcluster"
	"github.com/savorydeal/savorydeal/internal/sdstandapp"
	"github.com/savorydeal/savorydeal/internal/sdstandstore"
)

// Each row is a fault of targets. A non-idempotent request runs at most once, a
// refused one has not run, and a success is the complete answer to this request.
func TestTargetFaults(t *testing.T) {
	for _, failure := range []sdstandapp.Failure{
		sdstandapp.FailureError, sdstandapp.FailureLostAnswer, sdstandapp.FailureTruncatedAnswer, sdstandapp.FailureExtraAnswer, sdstandapp.FailureShed,
		sdstandapp.FailureStatusLow, sdstandapp.FailureStatusHigh,
	} {
		t.Run(string(failure), func(t *testing.T) {
			is := is.New(t)
			cluster, ctx := start(t)
			injected := 0
			var mu sync.Mutex
			for _, vm := range cluster.VMs {
				vm.App.SetFailures(func(id string) sdstandapp.Failure {
					mu.Lock()
					defer mu.Unlock()
					if !strings.HasPrefix(id, "f") || len(id)%2 == 0 {
						return sdstandapp.FailureNone
					}
					injected++
					return failure
				})
			}
			answers := load(ctx, cluster, "/sign/", "f", 150)
			runs := runsOf(cluster)
			for id, answer := range answers {
				is.NoErr(answer.Err)
				is.True(len(runs[id]) <= 1)
				switch answer.Status {
				case http.StatusOK:
					is.Equal(answer.Body, "answer to "+id)
				case http.StatusServiceUnavailable, http.StatusTooManyRequests:
					is.Equal(len(runs[id]), 0)
					is.True(answer.Header.Get("Retry-After") != "")
				case http.StatusBadGateway, http.StatusGatewayTimeout, http.StatusInternalServerError:
				default:
					t.Errorf("request %s was answered with status %d", id, answer.Status)
				}
			}
			is.True(injected > 0)
		})
	}
}

// Once a target's announcement that it leaves is acknowledged, no run begins on
// it, and no request is lost.
func TestLeavingTarget(t *testing.T) {
	is := is.New(t)
	cluster, ctx := start(t)
	leaving := cluster.VMs[0]
	is.NoErr(leaving.App.Leave(ctx))
	leftAt := time.Now()
	for _, answer := range load(ctx, cluster, "/sign/", "l", 150) {
		is.NoErr(answer.Err)
		is.Equal(answer.Status, http.StatusOK)
	}
	for _, run := range cluster.Ledger.Runs() {
		is.True(run.Target != "i-"+leaving.Name || run.Started.Before(leftAt))
	}
}

// No request fails because a target has crashed: requests that have not been sent
// to it go to other targets.
func TestCrashedTarget(t *testing.T) {
	is := is.New(t)
	cluster, ctx := start(t)
	cluster.VMs[0].CrashTarget()
	for _, answer := range load(ctx, cluster, "/sign/", "c", 150) {
		is.NoErr(answer.Err)
		is.Equal(answer.Status, http.StatusOK)
	}
}

// crashOnRequests makes each target crash when it runs a request whose ID begins with the
// prefix; calls of the run do not count.
func crashOnRequests(cluster *sdcluster.Cluster, prefix string) {
	for _, vm := range cluster.VMs {
		vm.App.SetFailures(func(id string) sdstandapp.Failure {
			if strings.HasPrefix(id, prefix) && !strings.Contains(id, ".") {
				return sdstandapp.FailureCrash
			}
			return sdstandapp.FailureNone
		})
	}
}

// A request that crashes the targets that run it is blocked on all nodes after two
// crashes, and other requests are still served.
func TestCrashingRequest(t *testing.T) {
	for _, path := range []string{"/look/crash", "/sign/crash"} {
		t.Run(path, func(t *testing.T) {
			is := is.New(t)
			cluster, ctx := start(t)
			crashOnRequests(cluster, "crash")
			var callers []*sdcluster.VM // of one service: another one's request is another request
			for _, vm := range cluster.VMs {
				if vm.Service == "desk" {
					callers = append(callers, vm)
				}
			}
			last := sdcluster.Answer{}
			for i := range 8 {
				last = cluster.Do(ctx, callers[i%len(callers)], sdcluster.Request{ID: fmt.Sprintf("crash%d", i), Path: path})
				is.NoErr(last.Err)
				is.True(last.Status != http.StatusOK)
				time.Sleep(100 * time.Millisecond)
			}
			crashed := make(map[string]bool)
			for id, runs := range runsOf(cluster) {
				for _, run := range runs {
					if strings.HasPrefix(id, "crash") && run.Service == "desk" {
						crashed[run.Target] = true
					}
				}
			}
			is.Equal(len(crashed), 2)
			is.Equal(last.Status, http.StatusServiceUnavailable)
			for _, answer := range load(ctx, cluster, path[:6]+"other", "o", 40) {
				is.Equal(answer.Status, http.StatusOK)
			}
		})
	}
}

// Guards against a node that forgets at its restart which requests crash targets, and lets
// them through to its own target.
func TestCrashingRequestStaysBlockedAfterRestartOfNode(t *testing.T) {
	is := is.New(t)
	cluster, ctx := start(t)
	crashOnRequests(cluster, "crash")
	crashing := sdcluster.Request{ID: "crash1", Path: "/look/crash"}
	is.True(cluster.Do(ctx, cluster.VMs[2], crashing).Status != http.StatusOK) // two targets, as the route allows
	crashed := make(map[string]bool)
	for _, run := range cluster.Ledger.Runs() {
		if run.ID == crashing.ID {
			crashed[run.Target] = true
		}
	}
	is.Equal(len(crashed), 2)
	for _, vm := range cluster.VMs {
		if vm.Service == "desk" && !crashed["i-"+vm.Name] {
			is.NoErr(vm.KillNode())
			is.NoErr(vm.StartNode())
		}
	}
	time.Sleep(500 * time.Millisecond) // the restarted nodes are ready and have their records
	for i := range 20 {
		crashing.ID = fmt.Sprintf("crash-again%d", i)
		is.True(cluster.Do(ctx, cluster.VMs[2], crashing).Status != http.StatusOK)
	}
	for _, run := range cluster.Ledger.Runs() {
		if strings.HasPrefix(run.ID, "crash-again") {
			t.Fatalf("request %s ran at %s after it had crashed two targets", run.ID, run.Target)
		}
	}
}

// A request that was sent and whose answer was lost counts as an attempt, also on
// a reused connection: no request reaches more targets than its route allows.
func TestLostAnswersCountAsAttempts(t *testing.T) {
	is := is.New(t)
	cluster, ctx := start(t)
	load(ctx, cluster, "/entry/", "warm", 60)
	for _, vm := range cluster.VMs {
		vm.App.SetFailures(func(id string) sdstandapp.Failure {
			if strings.HasPrefix(id, "lost") {
				return sdstandapp.FailureLostAnswer
			}
			return sdstandapp.FailureNone
		})
	}
	load(ctx, cluster, "/entry/", "lost", 60)
	most := 0
	for id, runs := range runsOf(cluster) {
		if strings.HasPrefix(id, "lost") {
			most = max(most, len(runs))
		}
	}
	is.True(most > 0)
	is.True(most <= 2) // MaxTargets of the route
}

// Nodes that start while the store drops the answers to writes, or applies writes
// LateWriteDelay late, find each other and serve. A late write of a node that has ended
// in the meantime does not disturb the others.
func TestStoreWritesLostOrLate(t *testing.T) {
	for _, fault := range []sdstandstore.Fault{sdstandstore.FaultLostAnswer, sdstandstore.FaultLateWrite} {
		t.Run(string(fault), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			cluster, err := sdcluster.Start(plan(), t.TempDir(), testLog(t))
			is.NoErr(err)
			t.Cleanup(cluster.Close)
			ctx, cancel := context.WithTimeout(context.Background(), readyTimeout)
			t.Cleanup(cancel)
			before := cluster.Store.CallCount()
			cluster.Store.SetFault(fault)
			is.NoErr(cluster.StartNodes(ctx))
			is.NoErr(cluster.VMs[0].KillNode())
			is.NoErr(cluster.VMs[0].StartNode())
			is.NoErr(cluster.WaitReady(ctx))
			for _, answer := range load(ctx, cluster, "/look/", "w", 60) {
				is.Equal(answer.Status, http.StatusOK)
			}
			time.Sleep(sdstandstore.LateWriteDelay)
			for _, answer := range load(ctx, cluster, "/look/", "x", 60) {
				is.Equal(answer.Status, http.StatusOK)
			}
			is.True(cluster.Store.CallCount() > before)
		})
	}
}

// Guards against a node that, restarted after its target has announced that it leaves,
// puts that target in use again.
func TestLeftTargetIsNotInUseAgainAfterRestartOfNode(t *testing.T) {
	is := is.New(t)
	cluster, ctx := start(t)
	leaving := cluster.VMs[0]
	is.NoErr(leaving.App.Leave(ctx))
	leftAt := time.Now()
	is.NoErr(leaving.KillNode())
	is.NoErr(leaving.StartNode())
	for !leaving.Ready(ctx) {
		time.Sleep(10 * time.Millisecond)
	}
	for _, answer := range load(ctx, cluster, "/look/", "r", 150) {
		is.NoErr(answer.Err)
		is.Equal(answer.Status, http.StatusOK)
	}
	for _, run := range cluster.Ledger.Runs() {
		is.True(run.Target != "i-"+leaving.Name || run.Started.Before(leftAt))
	}
}

// Guards against refusals at a node that is ready but knows one other node only: it was
// restarted while the store is silent, so that another node has to find it.
func TestNodeThatIsFoundByAnotherKnowsTargetsOnceReady(t *testing.T) {
	is := is.New(t)
	manyOthers := plan()
	manyOthers.DataCentres = manyOthers.DataCentres[:1]
	manyOthers.Services[0].Targets, manyOthers.Services[1].Targets = 1, 5
	cluster, ctx := startPlan(t, manyOthers)
	restarted := cluster.VMs[1]
	cluster.Store.SetFault(sdstandstore.FaultHang)
	for i := range 4 {
		is.NoErr(restarted.KillNode())
		is.NoErr(restarted.StartNode())
		for !restarted.Ready(ctx) {
			is.NoErr(ctx.Err())
			time.Sleep(time.Millisecond)
		}
		answer := cluster.Do(ctx, restarted, sdcluster.Request{ID: fmt.Sprint("f", i), Path: "/sign/f"})
		is.NoErr(answer.Err)
		is.Equal(answer.Status, http.StatusOK)
	}
}
