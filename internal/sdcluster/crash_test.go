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
)

// crashAmongSoundRequests sends a request from the VMs of ledger again and again, which crashes
// the targets of desk that run it, while the VMs of desk send sound requests with the same path
// and with others. It returns the targets that have crashed and, of the sound requests that were
// sent later than settled after the second crash, those that were not answered with 200.
func crashAmongSoundRequests(ctx context.Context, t *testing.T, cluster *sdcluster.Cluster, settled time.Duration) (crashed map[string]bool, failed []string) {
	t.Helper()
	var mu sync.Mutex
	crashed = make(map[string]bool)
	var secondCrash time.Time
	var desks, ledgers []*sdcluster.VM
	for _, vm := range cluster.VMs {
		if vm.Service != "desk" {
			ledgers = append(ledgers, vm)
			continue
		}
		desks = append(desks, vm)
		vm.App.SetFailures(func(id string) sdstandapp.Failure {
			if !strings.HasPrefix(id, "crash") {
				return sdstandapp.FailureNone
			}
			mu.Lock()
			defer mu.Unlock()
			crashed[vm.Name] = true
			if len(crashed) == 2 && secondCrash.IsZero() {
				secondCrash = time.Now()
			}
			return sdstandapp.FailureCrash
		})
	}
	sending, stop := context.WithCancel(ctx)
	var group sync.WaitGroup
	for i := range 24 {
		group.Go(func() {
			for j := 0; sending.Err() == nil; j++ {
				sentAt := time.Now()
				id := fmt.Sprintf("sound-%d-%d", i, j)
				path := [...]string{"/look/same", "/look/other", "/look/third"}[i%3]
				answer := cluster.Do(ctx, desks[i%len(desks)], sdcluster.Request{ID: id, Path: path})
				mu.Lock()
				if answer.Status != http.StatusOK && !secondCrash.IsZero() && sentAt.Sub(secondCrash) > settled {
					failed = append(failed, fmt.Sprintf("%s %s: %d", id, path, answer.Status))
				}
				mu.Unlock()
				time.Sleep(time.Duration(i) * time.Millisecond)
			}
		})
	}
	time.Sleep(300 * time.Millisecond)
	for i := range 12 {
		answer := cluster.Do(ctx, ledgers[i%len(ledgers)], sdcluster.Request{ID: fmt.Sprintf("crash-%d", i), Path: "/look/same"})
		if answer.Status == http.StatusOK {
			t.Errorf("request %d, which crashes targets, was answered", i)
		}
		time.Sleep(150 * time.Millisecond)
	}
	stop()
	group.Wait()
	return crashed, failed
}

// crashPlan is plan with targets of desk that work long enough on a request for many to be in
// progress at a crash.
func crashPlan() sdcluster.Plan {
	plan := plan()
	plan.Services[0].ServiceTime = 60 * time.Millisecond
	plan.Services[0].Slots = 60
	plan.Services[0].Targets = 3
	return plan
}

// Guards against answers to a caller's sound requests that lift the block of another caller's
// request with the same path, which crashes the targets that run it.
func TestCrashingRequestOfOneCallerStaysBlocked(t *testing.T) {
	is := is.New(t)
	cluster, ctx := startPlan(t, crashPlan())
	crashed, _ := crashAmongSoundRequests(ctx, t, cluster, 0)
	is.Equal(len(crashed), 2)
}
