package sddeparture_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorydeal/savorydeal"
	"github.com/savorydeal/savorydeal/internal/sddeparture"
)

var epoch = time.Unix(1000, 0)

func at(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }

func departure(identity string, started int64) savorydeal.Departure {
	return savorydeal.Departure{Start: savorydeal.TargetStart{Identity: identity, Started: started}, LeftAt: epoch}
}

func member(name, dataCentre string, generation uint64) savorydeal.Member {
	return savorydeal.Member{
		Node: savorydeal.NodeID(name), PeerAddress: name, DataCentre: dataCentre, State: savorydeal.MemberAlive, Generation: generation,
	}
}

// A departure holds for its start and for what cannot be told from it, and for no later
// start nor another target.
func TestDepartureBinds(t *testing.T) {
	before, after := epoch.Add(-time.Second).UnixMilli(), epoch.Add(time.Second).UnixMilli()
	for _, c := range []struct {
		name      string
		departure savorydeal.Departure
		start     savorydeal.TargetStart
		want      bool
	}{
		{"the start", departure("i", before), savorydeal.TargetStart{Identity: "i", Started: before}, true},
		{"an earlier start", departure("i", before), savorydeal.TargetStart{Identity: "i", Started: before - 1}, true},
		{"the next start", departure("i", before), savorydeal.TargetStart{Identity: "i", Started: before + 1}, false},
		{"start time not known", departure("i", before), savorydeal.TargetStart{Identity: "i"}, true},
		{"another target", departure("i", before), savorydeal.TargetStart{Identity: "k", Started: before}, false},
		{"left without a start time", departure("i", 0), savorydeal.TargetStart{Identity: "i", Started: before}, true},
		{"left without a start time, next start", departure("i", 0), savorydeal.TargetStart{Identity: "i", Started: after}, false},
	} {
		if got := c.departure.Binds(c.start); got != c.want {
			t.Errorf("%s: got %v, want %v", c.name, got, c.want)
		}
	}
}

// Guards against departures that are kept without end, in number or in time.
func TestSetIsBounded(t *testing.T) {
	is := is.New(t)
	var set sddeparture.Set
	for i := range 100 {
		is.True(set.Add(departure(fmt.Sprint("i", i), 5)))
	}
	is.True(!set.Add(departure("i99", 5)))
	is.True(!set.Add(departure("i99", 4))) // bound already
	is.True(!set.Add(departure("", 4)))
	is.True(len(set.All()) <= 8)
	is.True(set.Binds(savorydeal.TargetStart{Identity: "i99", Started: 5}))
	version := set.Version()
	set.Expire(epoch.Add(sddeparture.TTL + time.Second))
	is.Equal(len(set.All()), 0)
	is.Equal(set.Version(), version)
}

// A node forgets the departures of VMs that are no longer members.
func TestTableExpires(t *testing.T) {
	is := is.New(t)
	table := sddeparture.NewTable()
	is.True(table.Add("n1", departure("i", 5)))
	is.True(!table.Add("n1", departure("i", 5)))
	is.True(table.Add("n2", departure("k", 5)))
	is.True(table.Binds("n1", savorydeal.TargetStart{Identity: "i", Started: 5}))
	is.True(!table.Binds("n2", savorydeal.TargetStart{Identity: "i", Started: 5}))
	table.Expire(epoch, []savorydeal.Member{{Node: "n1"}})
	is.Equal(len(table.Of("n1")), 1)
	is.Equal(len(table.Of("n2")), 0)
	table.Expire(epoch.Add(2*sddeparture.TTL), []savorydeal.Member{{Node: "n1"}})
	is.Equal(len(table.Of("n1")), 0)
}

// Departures keep their values when encoded and decoded; what no node can have sent is
// rejected whole.
func TestReportRoundTrip(t *testing.T) {
	is := is.New(t)
	report := sddeparture.Report{Node: "10.0.0.1:7620", DataCentre: "z", Complete: true, Departures: []savorydeal.Departure{departure("i-1", 100), departure("a;b\"", 0)}}
	text, err := report.Encode()
	is.NoErr(err)
	decoded, err := sddeparture.DecodeReport(text)
	is.NoErr(err)
	is.Equal(decoded, report)
	for _, odd := range []string{
		"", "7", "{}", `{"node":"n","departures":[{"identity":""}]}`, `{"node":"n","departures":[{"identity":"i","started_ms":"x"}]}`,
		`{"node":"n","departures":[{"identity":"i","started_ms":1e30}]}`,
	} {
		_, err := sddeparture.DecodeReport([]byte(odd))
		is.True(err != nil)
	}
}

// Guards against a departure that one place alone holds: it is passed to the store and to
// other nodes, in as many data centres as possible, and again after failures.
func TestKeeperUsesBothPlaces(t *testing.T) {
	is := is.New(t)
	failed := errors.New("failed")
	others := []savorydeal.Member{member("a1", "a", 1), member("a2", "a", 2), member("a3", "a", 3), member("b1", "b", 4), member("c1", "c", 5)}
	keeper := sddeparture.NewKeeper(rand.New(rand.NewPCG(1, 2)))
	is.Equal(len(keeper.Next(epoch, others)), 0) // nothing to keep
	keeper.Require(1)
	actions := keeper.Next(epoch, others)
	is.Equal(len(keeper.Next(epoch, others)), 0) // all calls are in progress
	dataCentres := make(map[string]int)
	for _, action := range actions {
		dataCentres[action.Peer.DataCentre]++
	}
	is.Equal(dataCentres, map[string]int{"": 1, "a": 2, "b": 1, "c": 1}) // "" is the store
	is.Equal(keeper.Level(others), sddeparture.LevelNone)
	for _, action := range actions {
		keeper.Done(epoch, action, failed)
	}
	is.Equal(keeper.Level(others), sddeparture.LevelNone)
	is.True(keeper.Pending(others))
	retries := keeper.Next(at(250), others)
	is.True(len(retries) >= 2)
	for _, action := range retries {
		if action.ToStore() {
			keeper.Done(at(250), action, failed)
		} else {
			keeper.Done(at(250), action, nil)
		}
	}
	is.Equal(keeper.Level(others), sddeparture.LevelPart)
	is.Equal(len(keeper.Next(at(300), others)), 0)
	stores := keeper.Next(at(700), others)
	is.Equal(len(stores), 1)
	is.True(stores[0].ToStore())
	keeper.Done(at(700), stores[0], nil)
	is.Equal(keeper.Level(others), sddeparture.LevelFull)
	is.True(!keeper.Pending(others))
	keeper.Require(2) // another departure
	is.Equal(keeper.Level(others), sddeparture.LevelNone)
}

// A node without others needs the store alone.
func TestKeeperWithoutOthers(t *testing.T) {
	is := is.New(t)
	keeper := sddeparture.NewKeeper(rand.New(rand.NewPCG(1, 2)))
	keeper.Require(1)
	actions := keeper.Next(epoch, nil)
	is.Equal(len(actions), 1)
	keeper.Done(epoch, actions[0], nil)
	is.Equal(keeper.Level(nil), sddeparture.LevelFull)
}

// A new process waits for the store and for two other nodes, for a bounded time for the
// second of them, and does not trust nodes that are as new as itself in place of the store.
func TestRestorerWaitsForBothSources(t *testing.T) {
	others := []savorydeal.Member{member("old", "a", 1), member("older", "b", 0), member("new", "c", 9)}
	for _, c := range []struct {
		name   string
		others []savorydeal.Member
		events func(r *sddeparture.Restorer)
		// doneMS is the first time, in milliseconds after the start, at which it is done.
		doneMS int
	}{
		{"both", others, func(r *sddeparture.Restorer) {
			r.StoreAnswered()
			r.PeerAnswered("old", true)
			r.PeerAnswered("older", true)
		}, 0},
		{"store only", others, func(r *sddeparture.Restorer) { r.StoreAnswered() }, 500},
		{"store, and no other node found", nil, func(r *sddeparture.Restorer) { r.StoreAnswered(); r.Joined() }, 0},
		{"store, other nodes not looked for", nil, func(r *sddeparture.Restorer) { r.StoreAnswered() }, 500},
		{"other nodes only", others, func(r *sddeparture.Restorer) {
			r.PeerAnswered("old", true)
			r.PeerAnswered("older", true)
		}, 500},
		{"new nodes only", others, func(r *sddeparture.Restorer) {
			r.PeerAnswered("old", false)
			r.PeerAnswered("new", false)
			r.Configured(at(100))
		}, 3100},
		{"neither", others, func(r *sddeparture.Restorer) { r.Configured(at(100)) }, 3100},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			restorer := sddeparture.NewRestorer(epoch, false)
			is.True(!restorer.Done(epoch, c.others))
			c.events(restorer)
			ms := 0
			for ; !restorer.Done(at(ms), c.others) && ms < 10_000; ms++ {
				continue
			}
			is.Equal(ms, c.doneMS)
		})
	}
	is := is.New(t)
	is.True(sddeparture.NewRestorer(epoch, true).Done(epoch, others)) // there was no earlier process
	restorer := sddeparture.NewRestorer(epoch, false)
	peer, ok := restorer.NextPeer(others, nil)
	is.True(ok)
	is.Equal(peer.Node, savorydeal.NodeID("older"))
}
