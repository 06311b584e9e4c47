package sdcluster_test

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorydeal/savorydeal/internal/sdcluster"
	"github.com/savorydeal/savorydeal/internal/sdjoin"
	"github.com/savorydeal/savorydeal/internal/sdstandstore"
)

// nodeState is a part of a node's state dump.
type nodeState struct {
	WatchRank int `json:"watch_rank"`
	Config    struct {
		Version uint64 `json:"version"`
	} `json:"config"`
}

func stateOf(ctx context.Context, t *testing.T, cluster *sdcluster.Cluster, vm *sdcluster.VM) nodeState {
	t.Helper()
	text, err := cluster.State(ctx, vm)
	if err != nil {
		t.Fatal(err)
	}
	var state nodeState
	if err := json.Unmarshal([]byte(text), &state); err != nil {
		t.Fatal(err)
	}
	return state
}

// Guards against configurations that come in force late at nodes that rely on the watchers of
// their data centre, while those are cut off from the store.
func TestConfigWhileWatchersAreCutOff(t *testing.T) {
	is := is.New(t)
	plan := plan()
	plan.DataCentres = []string{"east"}
	plan.Services[1].Targets = 3
	cluster, ctx := startPlan(t, plan)
	var cutOff []string
	var others []*sdcluster.VM
	for _, vm := range cluster.VMs {
		if stateOf(ctx, t, cluster, vm).WatchRank < sdjoin.WatchersPerDataCentre {
			cutOff = append(cutOff, vm.Address)
		} else {
			others = append(others, vm)
		}
	}
	is.Equal(len(cutOff), sdjoin.WatchersPerDataCentre)
	cluster.Store.SetFault(sdstandstore.FaultHang, cutOff...)
	time.Sleep(configTimeout) // until the watches that the store still answers have ended

	type acked struct {
		version uint64
		at      time.Time
	}
	var history []acked
	config := cluster.Plan.Config
	for end := time.Now().Add(4 * configTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if len(history) == 0 || time.Since(history[len(history)-1].at) > configTimeout/5 {
			config.Version++
			is.NoErr(cluster.SetConfig(config))
			history = append(history, acked{config.Version, time.Now()})
		}
		for _, vm := range others {
			askedAt := time.Now()
			version := stateOf(ctx, t, cluster, vm).Config.Version
			for _, change := range history {
				if late := askedAt.Sub(change.at); late > configTimeout && version < change.version {
					t.Fatalf("%s has version %d in force %v after version %d was acknowledged", vm.Name, version, late, change.version)
				}
			}
		}
	}
}
