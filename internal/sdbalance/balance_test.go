package sdbalance_test

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorydeal/savorydeal"
	"github.com/savorydeal/savorydeal/internal/sdbalance"
)

var start = time.Unix(1000, 0)

func members(count int) []savorydeal.Member {
	view := make([]savorydeal.Member, count)
	for i := range view {
		view[i] = savorydeal.Member{
			Node: savorydeal.NodeID("n" + strconv.Itoa(i)), State: savorydeal.MemberAlive, Service: "s",
			TargetState: savorydeal.TargetReady, Slots: 50, DataCentre: "local",
		}
	}
	return view
}

func newBalancer(view []savorydeal.Member) *sdbalance.Balancer {
	b := sdbalance.New("local", rand.New(rand.NewPCG(1, 2)))
	b.Update(view)
	return b
}

// sendCalls sends calls one after the other and counts them by node; outcome
// returns the run time and result of a call to a node's target.
func sendCalls(b *sdbalance.Balancer, calls int, outcome func(node savorydeal.NodeID) (time.Duration, sdbalance.Result)) map[savorydeal.NodeID]int {
	counts := make(map[savorydeal.NodeID]int)
	now := start
	for range calls {
		now = now.Add(5 * time.Millisecond)
		member, ok := b.Choose(now, sdbalance.Call{Service: "s", Route: "r"}, nil)
		if !ok {
			continue
		}
		counts[member.Node]++
		runTime, result := outcome(member.Node)
		b.Observe(now, sdbalance.Observation{Node: member.Node, Route: "r", Result: result, RunTime: runTime, Load: sdbalance.Load{Running: 1, Limit: 50}})
	}
	return counts
}

// A slow, failing or unreachable target gets fewer calls than the others, but
// still some, so that its recovery is noticed.
func TestSlowFailingAndUnreachableTargetsGetFewerCalls(t *testing.T) {
	for _, c := range []struct {
		name    string
		runTime time.Duration
		result  sdbalance.Result
	}{
		{"slow", 200 * time.Millisecond, sdbalance.ResultAnswered},
		{"failing", 20 * time.Millisecond, sdbalance.ResultFailed},
		{"unreachable", 0, sdbalance.ResultUnreachable},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			counts := sendCalls(newBalancer(members(3)), 600, func(node savorydeal.NodeID) (time.Duration, sdbalance.Result) {
				if node == "n0" {
					return c.runTime, c.result
				}
				return 20 * time.Millisecond, sdbalance.ResultAnswered
			})
			is.True(counts["n0"] < 120)
			is.True(counts["n1"] > 120)
			is.True(counts["n0"] > 0)
		})
	}
}

// If all targets are unreachable, calls are still sent.
func TestCallsAreSentWhenAllTargetsAreUnreachable(t *testing.T) {
	is := is.New(t)
	counts := sendCalls(newBalancer(members(3)), 100, func(savorydeal.NodeID) (time.Duration, sdbalance.Result) {
		return 0, sdbalance.ResultUnreachable
	})
	is.Equal(counts["n0"]+counts["n1"]+counts["n2"], 100)
}

// Targets that are leaving or silent, or whose node is dead, get no calls; nor
// does a target that was already tried for the call.
func TestUnusableTargetsGetNoCalls(t *testing.T) {
	is := is.New(t)
	view := members(5)
	view[0].TargetState = savorydeal.TargetLeaving
	view[1].TargetState = savorydeal.TargetSilent
	view[2].State = savorydeal.MemberDead
	view[3].Service = "other"
	b := newBalancer(view)
	member, ok := b.Choose(start, sdbalance.Call{Service: "s", Route: "r"}, nil)
	is.True(ok)
	is.Equal(member.Node, savorydeal.NodeID("n4"))
	_, ok = b.Choose(start, sdbalance.Call{Service: "s", Route: "r"}, []savorydeal.NodeID{"n4"})
	is.True(!ok)
}

// When a target is at its limit, calls go to one with spare capacity, also in
// another data centre.
func TestCallsSpillOverFromSaturatedTarget(t *testing.T) {
	is := is.New(t)
	view := members(2)
	view[1].DataCentre = "remote"
	b := newBalancer(view)
	now := start
	for _, node := range []savorydeal.NodeID{"n0", "n1"} {
		load := sdbalance.Load{Running: 50, Queued: 60, Limit: 50, Demand: 1.5}
		if node == "n1" {
			load = sdbalance.Load{Running: 5, Limit: 50, Demand: 0.1}
		}
		b.Observe(now, sdbalance.Observation{Node: node, Route: "r", Result: sdbalance.ResultAnswered, RunTime: 20 * time.Millisecond, Load: load})
	}
	member, _ := b.Choose(now, sdbalance.Call{Service: "s", Route: "r"}, nil)
	is.Equal(member.Node, savorydeal.NodeID("n1"))
	pressure, ok := b.ServiceLoad(now, "s")
	is.True(ok)
	is.Equal(pressure, savorydeal.Pressure{Load: 1.15, Demand: 0.8})
}

// After one target has refused a call, a target that cannot be reached is not
// tried for it; a new call may try it when no other is left.
func TestUnreachableTargetIsNotTriedAfterRefusal(t *testing.T) {
	is := is.New(t)
	b := newBalancer(members(2))
	b.Observe(start, sdbalance.Observation{Node: "n1", Route: "r", Result: sdbalance.ResultUnreachable})
	_, ok := b.Choose(start, sdbalance.Call{Service: "s", Route: "r"}, []savorydeal.NodeID{"n0"})
	is.True(!ok)
	b.Observe(start, sdbalance.Observation{Node: "n0", Route: "r", Result: sdbalance.ResultUnreachable})
	_, ok = b.Choose(start, sdbalance.Call{Service: "s", Route: "r"}, nil)
	is.True(ok)
}

// An unresponsive node gets calls only if no other is left.
func TestUnresponsiveNodeGetsCallsOnlyIfNoOtherIsLeft(t *testing.T) {
	is := is.New(t)
	b := newBalancer(members(2))
	b.SetUnresponsive("n0", true)
	for range 20 {
		member, ok := b.Choose(start, sdbalance.Call{Service: "s", Route: "r"}, nil)
		is.True(ok)
		is.Equal(member.Node, savorydeal.NodeID("n1"))
	}
	b.SetUnresponsive("n1", true)
	_, ok := b.Choose(start, sdbalance.Call{Service: "s", Route: "r"}, nil)
	is.True(ok)
}

// Calls with time to spare stay in their data centre. Calls that have none go to
// the target that answers soonest, in any data centre.
func TestCallsLeaveTheDataCentreOnlyWithoutTimeToSpare(t *testing.T) {
	for _, c := range []struct {
		objective  time.Duration
		staysLocal bool
	}{{time.Second, true}, {60 * time.Millisecond, false}} {
		is := is.New(t)
		view := members(2)
		view[1].DataCentre = "remote"
		b := newBalancer(view)
		now := start
		for range 200 {
			for node, runTime := range map[savorydeal.NodeID]time.Duration{"n0": 50 * time.Millisecond, "n1": 40 * time.Millisecond} {
				b.Observe(now, sdbalance.Observation{Node: node, Route: "r", Result: sdbalance.ResultAnswered, RunTime: runTime, Load: sdbalance.Load{Running: 1, Limit: 50}})
			}
		}
		local := 0
		for range 100 {
			member, ok := b.Choose(now, sdbalance.Call{Service: "s", Route: "r", Objective: c.objective}, nil)
			is.True(ok)
			if member.Node == "n0" {
				local++
			}
			b.Observe(now, sdbalance.Observation{Node: member.Node, Route: "r", Result: sdbalance.ResultAbandoned})
		}
		is.Equal(local > 50, c.staysLocal)
	}
}

// placeLoad sends calls from every data centre at a constant rate to a service with
// one target in each, simulates the targets, and returns the share of calls that left
// their data centre and the most calls that one target had at once per slot.
func placeLoad(callsPerSecond float64, weights []float64, slowdown []float64) (left, peak float64) {
	const (
		slots    = 20
		runTime  = 15 * time.Millisecond
		seconds  = 6
		reportIn = 2 * time.Millisecond
	)
	view := make([]savorydeal.Member, len(weights))
	balancers := make([]*sdbalance.Balancer, len(weights))
	for i := range view {
		name := strconv.Itoa(i)
		view[i] = savorydeal.Member{
			Node: savorydeal.NodeID(name), State: savorydeal.MemberAlive, Service: "s",
			TargetState: savorydeal.TargetReady, Slots: slots, DataCentre: name,
		}
	}
	type running struct {
		from, target int
		end          time.Time
		runTime      time.Duration
	}
	random := rand.New(rand.NewPCG(7, 8))
	next := make([]time.Time, len(weights))
	for i := range balancers {
		balancers[i] = sdbalance.New(strconv.Itoa(i), rand.New(rand.NewPCG(uint64(i), 3)))
		balancers[i].Update(view)
		next[i] = start
	}
	// freeAt holds when each slot of each target becomes free.
	freeAt := make([][]time.Time, len(weights))
	for i := range freeAt {
		freeAt[i] = make([]time.Time, slots)
	}
	var runs []running
	calls, crossed := 0, 0
	for now := start; now.Before(start.Add(seconds * time.Second)); now = now.Add(time.Millisecond) {
		kept := runs[:0]
		for _, r := range runs {
			if now.Before(r.end.Add(reportIn)) {
				kept = append(kept, r)
				continue
			}
			atTarget := 0
			for _, other := range runs {
				if other.target == r.target && now.Before(other.end) {
					atTarget++
				}
			}
			peak = max(peak, float64(atTarget)/slots)
			balancers[r.from].Observe(now, sdbalance.Observation{
				Node: savorydeal.NodeID(strconv.Itoa(r.target)), Route: "r", Result: sdbalance.ResultAnswered, RunTime: r.runTime,
				Load: sdbalance.Load{Running: min(atTarget, slots), Queued: max(0, atTarget-slots), Limit: slots},
			})
		}
		runs = append([]running(nil), kept...)
		for from, weight := range weights {
			for ; !next[from].After(now); next[from] = next[from].Add(time.Duration(random.ExpFloat64() / (callsPerSecond * weight) * float64(time.Second))) {
				member, _ := balancers[from].Choose(now, sdbalance.Call{Service: "s", Route: "r", Objective: 300 * time.Millisecond}, nil)
				target, _ := strconv.Atoi(string(member.Node))
				calls++
				if target != from {
					crossed++
				}
				slot := 0
				for i := range freeAt[target] {
					if freeAt[target][i].Before(freeAt[target][slot]) {
						slot = i
					}
				}
				begin := now
				if freeAt[target][slot].After(now) {
					begin = freeAt[target][slot]
				}
				took := time.Duration(float64(runTime) * slowdown[target] * (0.5 + random.Float64()))
				freeAt[target][slot] = begin.Add(took)
				runs = append(runs, running{from: from, target: target, end: begin.Add(took), runTime: took})
			}
		}
	}
	return float64(crossed) / float64(calls), peak
}

// While every data centre has room for its own calls, they stay in it, also where its
// target is slower than those of the others.
func TestCallsStayInTheirDataCentreWhileThereIsRoom(t *testing.T) {
	is := is.New(t)
	// 20 slots and 15 ms a run are room for 1,333 calls/s in each data centre.
	left, _ := placeLoad(2400, []float64{0.25, 0.25, 0.25, 0.25}, []float64{1, 1.4, 0.6, 1})
	is.True(left < 0.05) // share of the calls that left their data centre
}

// Of the calls of a data centre whose own target is too small for them, only the
// excess leaves it.
func TestOnlyTheExcessLeavesTheDataCentre(t *testing.T) {
	is := is.New(t)
	// The first data centre has 2,000 calls/s and room for 1,333.
	left, peak := placeLoad(3200, []float64{0.625, 0.125, 0.125, 0.125}, []float64{1, 1, 1, 1})
	excess := (2000.0 - 1333) / 3200
	is.True(left > excess)     // the excess is served elsewhere
	is.True(left < 1.6*excess) // and little more
	is.True(peak < 2)          // calls at one target, per slot
}
