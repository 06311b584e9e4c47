package sdplacement_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorydeal/savorydeal"
	"github.com/savorydeal/savorydeal/internal/sdplacement"
)

const service = "history"

func member(name, dataCentre string) savorydeal.Member {
	return savorydeal.Member{
		Node: savorydeal.NodeID(name), DataCentre: dataCentre, State: savorydeal.MemberAlive,
		TargetState: savorydeal.TargetReady, Service: service, Slots: 4,
	}
}

// field is one chooser and the targets that answer it.
type field struct {
	chooser *sdplacement.Chooser
	now     time.Time
	counts  map[savorydeal.NodeID]int
	// answer says what becomes of a call at a node.
	answer func(savorydeal.NodeID) savorydeal.PlacementObservation
}

func newField(members ...savorydeal.Member) *field {
	f := &field{
		chooser: sdplacement.New(sdplacement.Options{Self: "self", DataCentre: "a"}, rand.New(rand.NewPCG(1, 1))),
		now:     time.Unix(1000, 0),
		answer: func(savorydeal.NodeID) savorydeal.PlacementObservation {
			return succeeded(savorydeal.LoadSignal{Limit: 4})
		},
	}
	f.chooser.Update(f.now, members)
	return f
}

func succeeded(signal savorydeal.LoadSignal) savorydeal.PlacementObservation {
	return savorydeal.PlacementObservation{Outcome: savorydeal.OutcomeAnswered, Signal: signal, HasSignal: true}
}

func failed() savorydeal.PlacementObservation {
	return savorydeal.PlacementObservation{Outcome: savorydeal.OutcomeAnswered, Failed: true}
}

// send sends calls one after the other and counts where they went.
func (f *field) send(n int) {
	f.counts = make(map[savorydeal.NodeID]int)
	for range n {
		f.now = f.now.Add(10 * time.Millisecond)
		chosen, ok := f.chooser.Choose(f.now, savorydeal.PlacementRequest{Service: service})
		if !ok {
			return
		}
		f.counts[chosen.Node]++
		observation := f.answer(chosen.Node)
		observation.Node = chosen.Node
		observation.Service = service
		f.chooser.Observe(f.now, observation)
	}
}

func TestPlacement(t *testing.T) {
	busy := savorydeal.LoadSignal{Running: 4, Queued: 8, Limit: 4, DropLevel: 100}
	idle := savorydeal.LoadSignal{Limit: 4}
	for _, c := range []struct {
		name string
		play func(is *is.I)
	}{
		{"health says ready while every request fails", func(is *is.I) {
			f := newField(member("bad", "a"), member("good-1", "a"), member("good-2", "a"))
			f.answer = func(node savorydeal.NodeID) savorydeal.PlacementObservation {
				if node == "bad" {
					return failed()
				}
				return succeeded(idle)
			}
			f.send(100)
			is.True(f.counts["bad"] > 0) // it was seen to fail
			f.send(200)
			is.True(f.counts["bad"] <= 4) // probes alone
		}},
		{"a mended target comes back", func(is *is.I) {
			f := newField(member("bad", "a"), member("good", "a"))
			broken := true
			f.answer = func(node savorydeal.NodeID) savorydeal.PlacementObservation {
				if node == "bad" && broken {
					return failed()
				}
				return succeeded(idle)
			}
			f.send(50)
			is.Equal(len(f.chooser.Ejected(f.now)), 1)
			broken = false
			f.send(500)
			is.Equal(len(f.chooser.Ejected(f.now)), 0)
			f.send(100)
			is.True(f.counts["bad"] > 20)
		}},
		{"all look bad at once: none is ejected", func(is *is.I) {
			f := newField(member("1", "a"), member("2", "a"), member("3", "a"), member("4", "a"))
			f.answer = func(savorydeal.NodeID) savorydeal.PlacementObservation { return failed() }
			f.send(200)
			is.True(len(f.chooser.Ejected(f.now)) <= 2) // at most half
			is.True(len(f.counts) >= 2)
		}},
		{"load says idle while requests fail", func(is *is.I) {
			f := newField(member("bad", "a"), member("good", "a"))
			f.answer = func(node savorydeal.NodeID) savorydeal.PlacementObservation {
				if node == "bad" {
					observation := failed()
					observation.Signal, observation.HasSignal = idle, true
					return observation
				}
				return succeeded(savorydeal.LoadSignal{Running: 3, Queued: 1, Limit: 4})
			}
			f.send(200)
			is.True(f.counts["bad"] < 20)
		}},
		{"the own data centre goes first", func(is *is.I) {
			f := newField(member("near", "a"), member("far", "b"))
			f.send(100)
			is.Equal(f.counts["near"], 100)
		}},
		{"what the own data centre has no room for goes to a neighbour with room", func(is *is.I) {
			f := newField(member("near", "a"), member("far", "b"))
			f.answer = func(node savorydeal.NodeID) savorydeal.PlacementObservation {
				if node == "near" {
					return succeeded(busy)
				}
				return succeeded(idle)
			}
			f.send(300)
			is.True(f.counts["far"] > 100)
		}},
		{"a neighbour without room is not tipped over", func(is *is.I) {
			f := newField(member("near", "a"), member("far", "b"))
			f.answer = func(savorydeal.NodeID) savorydeal.PlacementObservation { return succeeded(busy) }
			f.send(300)
			is.True(f.counts["far"] <= 30) // those that ask for word alone
			is.True(f.counts["near"] >= 270)
		}},
		{"a data centre without a target of its own uses the others", func(is *is.I) {
			f := newField(member("far", "b"))
			f.send(10)
			is.Equal(f.counts["far"], 10)
		}},
		{"a cold target ramps", func(is *is.I) {
			cold := member("cold", "a")
			cold.ReadySince = time.Unix(1000, 0)
			f := newField(cold, member("warm", "a"))
			// Calls overlap, so that occupancy decides.
			first := map[savorydeal.NodeID]int{}
			for range 40 {
				chosen, _ := f.chooser.Choose(f.now, savorydeal.PlacementRequest{Service: service})
				first[chosen.Node]++
			}
			is.True(first["cold"] < 10)
			is.True(first["cold"] > 0)
		}},
		{"a leaving target gets nothing", func(is *is.I) {
			leaving := member("leaving", "a")
			leaving.TargetState = savorydeal.TargetLeaving
			f := newField(leaving, member("stays", "a"))
			f.send(100)
			is.Equal(f.counts["leaving"], 0)
		}},
		{"a node uses a bounded subset, and another node another", func(is *is.I) {
			var members []savorydeal.Member
			for i := range 400 {
				members = append(members, member(fmt.Sprintf("n-%d", i), "a"))
			}
			f := newField(members...)
			f.send(2000)
			is.True(len(f.counts) <= 24)
			all := map[savorydeal.NodeID]int{}
			for i := range 200 {
				other := sdplacement.New(sdplacement.Options{
					Self: savorydeal.NodeID(fmt.Sprintf("c-%d", i)), DataCentre: "a",
				}, rand.New(rand.NewPCG(uint64(i), 1)))
				other.Update(f.now, append([]savorydeal.Member(nil), members...))
				for range 100 {
					chosen, _ := other.Choose(f.now, savorydeal.PlacementRequest{Service: service})
					all[chosen.Node]++
				}
			}
			is.True(len(all) > 390) // no target is left out
		}},
	} {
		t.Run(c.name, func(t *testing.T) { c.play(is.New(t)) })
	}
}
