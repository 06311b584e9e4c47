package sdcluster_test

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"github.com/savorydeal/savorydeal/internal/sdcluster"
	"github.com/savorydeal/savorydeal/internal/sdstandrelay"
	"github.com/savorydeal/savorydeal/internal/sdstandstore"
)

const (
	// awayTime is how long the store does not answer before it comes back from a copy.
	awayTime = 300 * time.Millisecond
	// rewriteTime bounds the time in which nodes write objects again: two seconds, some more
	// until a node that has ended is suspected, and the load of other tests.
	rewriteTime = 20 * time.Second
	// settleTime is longer than the time over which nodes spread their writes.
	settleTime = 3 * time.Second
)

// drill lets the store come back from a copy.
func drill(cluster *sdcluster.Cluster, from sdstandstore.Copy, rewrite func()) {
	cluster.Store.Drill(from, awayTime, rewrite)
}

// departuresObject returns the name of the store's object of the VM's departures.
func departuresObject(vm *sdcluster.VM) string { return vm.Address + ":20120" }

// awaitObject waits until the store has an object.
func awaitObject(t *testing.T, cluster *sdcluster.Cluster, kind, name string) {
	t.Helper()
	for deadline := time.Now().Add(rewriteTime); !cluster.Store.Has(kind, name); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("the store does not hold %s/%s %v after it has come back", kind, name, rewriteTime)
		}
	}
}

// checkWrittenOnce checks, some time after an object is in the store again, that it was written
// once.
func checkWrittenOnce(t *testing.T, cluster *sdcluster.Cluster, kind string, names ...string) {
	t.Helper()
	for _, name := range names {
		awaitObject(t, cluster, kind, name)
	}
	time.Sleep(settleTime)
	for _, name := range names {
		if writes := cluster.Store.Writes(kind, name); writes != 1 {
			t.Errorf("%s/%s was written %d times after the store had come back", kind, name, writes)
		}
	}
}

// Guards against departures of a live node, and meeting points, that are lost with the store's
// last seconds or written by several nodes, also if the store goes back twice.
func TestNodesWriteAgainWhatStoreHasLost(t *testing.T) {
	is := is.New(t)
	t.Parallel()
	cluster, err := sdcluster.Start(plan(), t.TempDir(), testLog(t))
	is.NoErr(err)
	t.Cleanup(cluster.Close)
	ctx, cancel := context.WithTimeout(context.Background(), readyTimeout)
	t.Cleanup(cancel)
	empty := cluster.Store.Copy()
	is.NoErr(cluster.StartNodes(ctx))
	left := cluster.VMs[0]
	is.NoErr(left.App.SendLeave(ctx))
	is.True(cluster.Store.Has("departures", departuresObject(left)))
	for range 2 {
		drill(cluster, empty, nil)
		checkWrittenOnce(t, cluster, "departures", departuresObject(left))
		checkWrittenOnce(t, cluster, "meeting-points", "east-0", "east-1", "west-0", "west-1")
	}
	restart(ctx, t, left)
	checkGetsNothing(ctx, t, cluster, left, time.Now())
}

// Guards against departures of a VM whose node has ended that nobody writes again, so that its
// next process, which finds no other node, lets the target have calls.
func TestDeparturesOfEndedNodeOutliveDrill(t *testing.T) {
	is := is.New(t)
	cluster, ctx := start(t)
	before := cluster.Store.Copy()
	left := cluster.VMs[0]
	is.NoErr(left.App.SendLeave(ctx))
	is.True(cluster.Store.Has("departures", departuresObject(left)))
	is.NoErr(left.KillNode())
	drill(cluster, before, nil)
	checkWrittenOnce(t, cluster, "departures", departuresObject(left))
	startAndWait(ctx, t, left)
	checkGetsNothing(ctx, t, cluster, left, time.Now())
}

// Guards against a process that starts just after the store has come back without this VM's
// departures and without meeting points, and takes its answer for all there is: a heartbeat
// from before the leaving, which arrives late, would put the target in use.
func TestNodeThatStartsAfterDrillLearnsDepartures(t *testing.T) {
	is := is.New(t)
	t.Parallel()
	cluster, err := sdcluster.Start(plan(), t.TempDir(), testLog(t))
	is.NoErr(err)
	t.Cleanup(cluster.Close)
	ctx, cancel := context.WithTimeout(context.Background(), readyTimeout)
	t.Cleanup(cancel)
	empty := cluster.Store.Copy()
	is.NoErr(cluster.StartNodes(ctx))
	left := cluster.VMs[0]
	late := left.App.NextHeartbeat()
	is.NoErr(left.App.SendLeave(ctx))
	left.App.SetSilent(true)
	leftAt := time.Now()
	is.NoErr(left.KillNode())
	cluster.Store.GoBack(empty)
	lateCtx, stopLate := context.WithCancel(ctx)
	defer stopLate()
	go func() {
		for ; lateCtx.Err() == nil; time.Sleep(5 * time.Millisecond) {
			_ = late(lateCtx)
		}
	}()
	startAndWait(ctx, t, left)
	checkGetsNothing(ctx, t, cluster, left, leftAt)
}

// Guards against a configuration that goes back with the store, at a node that runs and at one
// that starts while the store holds the older version, and against a newer one that is missed
// since the store has given its revision out before.
func TestConfigDoesNotGoBackWithStore(t *testing.T) {
	is := is.New(t)
	t.Parallel()
	var text logText
	cluster, err := sdcluster.Start(plan(), t.TempDir(), hclog.New(&hclog.LoggerOptions{Output: &text, Level: hclog.Info}))
	is.NoErr(err)
	t.Cleanup(cluster.Close)
	ctx, cancel := context.WithTimeout(context.Background(), readyTimeout)
	t.Cleanup(cancel)
	is.NoErr(cluster.StartNodes(ctx))
	setConfig := func(version uint64) {
		next := cluster.Plan.Config
		next.Version = version
		is.NoErr(cluster.SetConfig(next))
	}
	before := cluster.Store.Copy()
	setConfig(13)
	for _, vm := range cluster.VMs {
		awaitVersion(ctx, t, cluster, vm, 13)
	}
	drill(cluster, before, nil)
	text.mu.Lock()
	logged := text.Len()
	text.mu.Unlock()
	for _, vm := range cluster.VMs[:2] {
		restart(ctx, t, vm)
	}
	time.Sleep(time.Second)
	text.mu.Lock()
	for line := range strings.Lines(text.String()[logged:]) {
		if strings.Contains(line, "configuration in force") && strings.Contains(line, " version=12 ") {
			t.Errorf("a starting node has put the older version in force: %s", line)
		}
	}
	text.mu.Unlock()
	for _, vm := range cluster.VMs {
		is.Equal(versionOf(ctx, t, cluster, vm), 13)
	}
	before = cluster.Store.Copy()
	setConfig(14)
	for _, vm := range cluster.VMs {
		awaitVersion(ctx, t, cluster, vm, 14)
	}
	drill(cluster, before, func() { setConfig(15) }) // with the revision that version 14 had
	setAt := time.Now()
	for _, vm := range cluster.VMs {
		awaitVersion(ctx, t, cluster, vm, 15)
	}
	if took := time.Since(setAt); took > configTimeout {
		t.Errorf("the configuration was in force %v after the store had come back", took)
	}
}

// versionOf returns the version in force at the VM's node, 0 if it has none.
func versionOf(ctx context.Context, t *testing.T, cluster *sdcluster.Cluster, vm *sdcluster.VM) int {
	t.Helper()
	text, err := cluster.Metrics(ctx, vm)
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(text) {
		var version int
		if _, err := fmt.Sscanf(line, "savorydeal_config_version %d\n", &version); err == nil {
			return version
		}
	}
	return 0
}

func awaitVersion(ctx context.Context, t *testing.T, cluster *sdcluster.Cluster, vm *sdcluster.VM, version int) {
	t.Helper()
	found := versionOf(ctx, t, cluster, vm)
	for deadline := time.Now().Add(rewriteTime); found != version; found = versionOf(ctx, t, cluster, vm) {
		if time.Now().After(deadline) {
			t.Fatalf("%s has version %d in force, want %d", vm.Name, found, version)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// Guards against a node whose calls the store answered last before the drill, and that is cut
// off from it until after: it learns of the rise from other nodes, and its departures are in
// the store as soon as it can write them.
func TestNodeCutOffFromStoreDuringDrill(t *testing.T) {
	is := is.New(t)
	cluster, ctx := start(t)
	before := cluster.Store.Copy()
	cut := cluster.VMs[0]
	relay, err := sdstandrelay.Start("127.0.0.1:0", cluster.StoreAddress())
	is.NoErr(err)
	t.Cleanup(relay.Close)
	settings, err := os.ReadFile(cut.SettingsPath)
	is.NoErr(err)
	is.NoErr(os.WriteFile(cut.SettingsPath, bytes.ReplaceAll(settings, []byte(cut.StoreAddress), []byte(relay.Address())), 0o600))
	restart(ctx, t, cut)
	is.NoErr(cluster.WaitReady(ctx))
	is.NoErr(cut.App.SendLeave(ctx))
	is.True(cluster.Store.Has("departures", departuresObject(cut)))
	relay.SetPartitioned(true)
	drill(cluster, before, nil)
	time.Sleep(3 * time.Second) // the others have written again what they have to
	is.True(!cluster.Store.Has("departures", departuresObject(cut)))
	text, err := cluster.Metrics(ctx, cut)
	is.NoErr(err)
	is.True(strings.Contains(text, "\nsavorydeal_store_era 1\n"))
	relay.SetPartitioned(false)
	awaitObject(t, cluster, "departures", departuresObject(cut))
	is.Equal(cluster.Do(ctx, cut, sdcluster.Request{ID: "after", Path: "/sign/after"}).Status, http.StatusOK)
}
