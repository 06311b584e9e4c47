package sdroster_test

import (
	"flag"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorydeal/savorydeal"
)

var (
	schedules = flag.Uint64("schedules", 6, "number of random schedules")
	firstSeed = flag.Uint64("first-seed", 1, "seed of the first schedule")
)

const (
	worldSize = 12
	joinTime  = 20 * time.Second
	faultTime = 40 * time.Second
	// healTime is what views have to converge once all faults are over.
	healTime = 60 * time.Second
)

// strike brings about one fault at random.
func (w *world) strike() {
	machine := w.vms[w.random.IntN(len(w.vms))]
	switch w.random.IntN(8) {
	case 0:
		w.loss = w.random.Float64() * 0.3
	case 1:
		w.delay = time.Duration(w.random.Int64N(int64(400*time.Millisecond))) + time.Millisecond
	case 2:
		w.cutAtRandom()
	case 3:
		w.side = nil
	case 4:
		w.kill(machine)
	case 5:
		w.kill(machine)
		w.fired.restarts++
		w.start(machine)
	case 6:
		if !machine.down {
			w.fired.pauses++
			machine.paused = w.now.Add(time.Second + time.Duration(w.random.Int64N(int64(15*time.Second))))
		}
	case 7:
		w.leave(machine)
	}
}

func (w *world) cutAtRandom() {
	w.side = make(map[string]bool)
	for _, machine := range w.vms {
		w.side[machine.address] = w.random.IntN(2) == 0
	}
}

func (w *world) kill(machine *vm) {
	if machine.down {
		return
	}
	w.fired.kills++
	machine.down = true
	machine.paused = time.Time{}
	if machine.departed.IsZero() {
		machine.departed = w.now
	}
}

func (w *world) leave(machine *vm) {
	if machine.down || w.now.Before(machine.paused) || !machine.departed.IsZero() {
		return
	}
	w.fired.leaves++
	machine.departed = w.now
	w.send(machine, machine.roster.SetTarget(w.now, service, savorydeal.TargetLeaving, 10, time.Time{}))
}

// heal ends all faults and starts the VMs that are down.
func (w *world) heal() {
	w.loss = 0
	w.delay = time.Millisecond
	w.side = nil
	for _, machine := range w.vms {
		machine.paused = time.Time{}
		if machine.down && w.random.IntN(2) == 0 {
			w.start(machine)
		}
	}
}

// Seed 5388 once let a node that had just started use a target on gossip alone,
// 5.05 s after that target's death.
func TestReportedSeeds(t *testing.T) {
	for _, seed := range []uint64{5388} {
		runSchedule(t, seed)
	}
}

func runSchedule(t *testing.T, seed uint64) fired {
	w := newWorld(t, seed, worldSize)
	w.run(joinTime)
	for end := w.now.Add(faultTime); w.now.Before(end); {
		w.strike()
		w.run(time.Duration(w.random.Int64N(int64(6 * time.Second))))
	}
	w.heal()
	w.run(healTime)
	w.expectConverged()
	return w.fired
}

func TestRandomSchedules(t *testing.T) {
	is := is.New(t)
	var sum fired
	for seed := *firstSeed; seed < *firstSeed+*schedules; seed++ {
		one := runSchedule(t, seed)
		sum.lost += one.lost
		sum.cut += one.cut
		sum.restarts += one.restarts
		sum.kills += one.kills
		sum.pauses += one.pauses
		sum.leaves += one.leaves
		sum.refused += one.refused
	}
	t.Logf("%d schedules, faults that struck: %+v", *schedules, sum)
	is.True(sum.lost > 0)
	is.True(sum.cut > 0)
	is.True(sum.restarts > 0)
	is.True(sum.kills > 0)
	is.True(sum.pauses > 0)
	is.True(sum.leaves > 0)
	is.True(sum.refused > 0)
}
