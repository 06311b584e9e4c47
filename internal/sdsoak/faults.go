package sdsoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/savorydeal/savorydeal/internal/sdstandplatform"
)

const (
	// slowdownFactor multiplies the service time of the deep service's targets.
	slowdownFactor = 40
	// leavingStay is how long a target keeps serving after it has announced that
	// it leaves, so that its ledger shows work that arrives after the grace.
	leavingStay = leavingGrace + time.Second
)

// fault is one fault of a phase. The runner starts and stops each fault once.
type fault struct {
	// start injects the fault. Work that start leaves running ends with ctx.
	start func(ctx context.Context) error
	// stop removes the fault.
	stop func(ctx context.Context) error
	// injected counts the effects of the fault, such as refused calls. Zero
	// means that the phase did not test the fault.
	injected func() int64
}

func noFaults() sdstandplatform.Faults { return sdstandplatform.Faults{} }

func doNothing(context.Context) error { return nil }

// newFault returns a fault; its random choices come from random.
func (r *runner) newFault(kind FaultKind, random *rand.Rand) fault {
	switch kind {
	case FaultSlowDeep:
		return r.slowDeep()
	case FaultSurge:
		return r.surge()
	case FaultHardRetry:
		return r.hardRetry()
	case FaultPlatformDown:
		return r.platformFault(sdstandplatform.Faults{Down: true}, func(c sdstandplatform.CallCounts) int64 { return c.Refused })
	case FaultPlatformHang:
		return r.platformFault(sdstandplatform.Faults{Hang: true}, func(c sdstandplatform.CallCounts) int64 { return c.Reads + c.Writes })
	case FaultLostAnswer:
		return r.platformFault(sdstandplatform.Faults{DropWriteAnswers: true}, func(c sdstandplatform.CallCounts) int64 { return c.DroppedWriteAnswers })
	case FaultRacingOperators:
		return r.racingOperators(random)
	case FaultSilentLink:
		return r.silentLink(random)
	case FaultStalledNode:
		return r.stalledNode(random)
	case FaultDataCentrePartitioned:
		return r.partitionedDataCentre(random)
	case FaultVMReplaced:
		return r.replacedVM(random)
	case FaultTargetLeaving:
		return r.leavingTarget(random)
	case FaultRollingStop:
		return r.rollingStop(random)
	}
	panic(fmt.Sprintf("unknown kind of fault %q", kind))
}

// countSince returns a function that reports by how much a counter has grown.
func countSince(read func() int64) func() int64 {
	before := read()
	return func() int64 { return read() - before }
}

// slowDeep slows down all targets of the deep service.
func (r *runner) slowDeep() fault {
	setSlowdown := func(factor int64) {
		for _, v := range r.cluster.vmsOf(serviceDeep) {
			_, target := v.current()
			target.SetSlowdown(factor)
		}
	}
	return fault{
		start:    func(context.Context) error { setSlowdown(slowdownFactor); return nil },
		stop:     func(context.Context) error { setSlowdown(1); return nil },
		injected: countSince(r.slowRuns),
	}
}

// slowRuns counts the runs of the deep service that took at least the slowed-down
// service time.
func (r *runner) slowRuns() int64 {
	var slow int64
	for _, target := range r.cluster.targetRuns() {
		if target.Service != serviceDeep {
			continue
		}
		for _, run := range target.Runs {
			if run.Ended.Sub(run.Started) >= slowdownFactor*serviceTime {
				slow++
			}
		}
	}
	return slow
}

// surge multiplies the callers' request rate.
func (r *runner) surge() fault {
	return fault{
		start:    func(context.Context) error { r.load.rateFactor.Store(surgeFactor); return nil },
		stop:     func(context.Context) error { r.load.rateFactor.Store(1); return nil },
		injected: countSince(r.load.surgeRequests.Load),
	}
}

// hardRetry makes callers abandon an attempt after a few milliseconds and resend
// at once.
func (r *runner) hardRetry() fault {
	return fault{
		start:    func(context.Context) error { r.load.hardRetry.Store(true); return nil },
		stop:     func(context.Context) error { r.load.hardRetry.Store(false); return nil },
		injected: countSince(r.load.failedHardAttempts.Load),
	}
}

// platformFault sets faults of the platform; count selects the counter of their
// effects.
func (r *runner) platformFault(faults sdstandplatform.Faults, count func(sdstandplatform.CallCounts) int64) fault {
	store := r.cluster.rig.Platform
	return fault{
		start:    func(context.Context) error { store.SetFaults(faults); return nil },
		stop:     func(context.Context) error { store.SetFaults(noFaults()); return nil },
		injected: countSince(func() int64 { return count(store.CallCounts()) }),
	}
}

// racingOperators lets pairs of operators change one policy at the same time.
func (r *runner) racingOperators(random *rand.Rand) fault {
	var wait sync.WaitGroup
	return fault{
		start: func(ctx context.Context) error {
			wait.Add(1)
			go func() {
				defer wait.Done()
				r.operators.race(ctx, random)
			}()
			return nil
		},
		stop:     func(context.Context) error { wait.Wait(); return nil },
		injected: countSince(r.operators.conflicts.Load),
	}
}

// silentLink makes the open connections of one node discard all bytes. New
// connections work.
func (r *runner) silentLink(random *rand.Rand) fault {
	from := r.cluster.vms[random.IntN(len(r.cluster.vms))]
	return fault{
		start: func(context.Context) error {
			r.cluster.network.blackhole(func(a, _ string) bool { return a == from.peerAddress() })
			return nil
		},
		stop: func(context.Context) error {
			r.cluster.network.closeBlackholed()
			return nil
		},
		injected: countSince(r.cluster.network.discardedBytes.Load),
	}
}

// stalledNode partitions one node from all others. Bytes on its connections are
// delivered after the partition heals, as if the node had been paused.
func (r *runner) stalledNode(random *rand.Rand) fault {
	stalled := r.cluster.vms[random.IntN(len(r.cluster.vms))].peerAddress()
	return r.partition(func(a, _ string) bool { return a == stalled })
}

// partitionedDataCentre partitions one data centre from the others.
func (r *runner) partitionedDataCentre(random *rand.Rand) fault {
	centre := dataCentres()[random.IntN(len(dataCentres()))]
	inside := make(map[string]bool)
	for _, v := range r.cluster.vms {
		if v.dataCentre == centre {
			inside[v.peerAddress()] = true
		}
	}
	return r.partition(func(a, b string) bool { return inside[a] != inside[b] })
}

// partition partitions each pair of peer addresses that the rule matches. The
// partition heals when the fault stops.
func (r *runner) partition(rule func(a, b string) bool) fault {
	network := r.cluster.network
	return fault{
		start: func(context.Context) error { network.setPartition(rule); return nil },
		stop:  func(context.Context) error { network.setPartition(nil); return nil },
		injected: countSince(func() int64 {
			return network.stalledOperations.Load() + network.refusedDials.Load() + network.droppedDatagrams.Load()
		}),
	}
}

// replacedVM removes a VM without any announcement and starts a new one at its
// address.
func (r *runner) replacedVM(random *rand.Rand) fault {
	v := r.cluster.vms[random.IntN(len(r.cluster.vms))]
	injected := int64(0)
	return fault{
		start: func(context.Context) error {
			v.setDown(true)
			peer := v.peerAddress()
			match := func(a, _ string) bool { return a == peer }
			r.cluster.network.setPartition(match)
			r.cluster.network.blackhole(match)
			_, target := v.current()
			target.Stop()
			return nil
		},
		stop: func(ctx context.Context) error {
			node, _ := v.current()
			// The error is ignored: the node is partitioned and has no target.
			_ = node.Stop()
			r.cluster.network.setPartition(nil)
			if err := r.cluster.startVM(ctx, v, node); err != nil {
				return err
			}
			v.setDown(false)
			injected++
			return nil
		},
		injected: func() int64 { return injected },
	}
}

// leavingTarget lets a target announce that it leaves and keep serving for
// leavingStay. A new target then takes its place.
func (r *runner) leavingTarget(random *rand.Rand) fault {
	v := r.cluster.vms[random.IntN(len(r.cluster.vms))]
	var leavingSince time.Time
	injected := int64(0)
	return fault{
		start: func(ctx context.Context) error {
			_, target := v.current()
			if _, err := target.Leave(ctx); err != nil {
				return err
			}
			leavingSince = time.Now()
			r.cluster.setLeaving(target, leavingSince)
			injected++
			return nil
		},
		stop: func(context.Context) error {
			time.Sleep(time.Until(leavingSince.Add(leavingStay)))
			node, target := v.current()
			target.Stop()
			replacement, err := r.cluster.startTarget(node, v.service)
			if err != nil {
				return err
			}
			v.mu.Lock()
			defer v.mu.Unlock()
			v.target = replacement
			return nil
		},
		injected: func() int64 { return injected },
	}
}

// rollingStop stops a third of the VMs gracefully, one after the other, and starts
// each again before it stops the next.
func (r *runner) rollingStop(random *rand.Rand) fault {
	start := random.IntN(len(dataCentres()))
	injected := int64(0)
	return fault{
		start: func(ctx context.Context) error {
			for i := range services() {
				// One VM of each service, each in another data centre.
				dataCentre := (start + i) % len(dataCentres())
				if err := r.restartGracefully(ctx, r.cluster.vms[dataCentre*len(services())+i]); err != nil {
					return err
				}
				injected++
			}
			return nil
		},
		stop:     doNothing,
		injected: func() int64 { return injected },
	}
}

// restartGracefully announces that a VM's target leaves, stops its node gracefully
// and starts both again.
func (r *runner) restartGracefully(ctx context.Context, v *vm) error {
	node, target := v.current()
	if _, err := target.Leave(ctx); err != nil {
		return err
	}
	if err := node.Stop(); err != nil {
		r.addFinding(FindingCutOff, fmt.Sprintf("graceful stop of node %s: %v", node.Host(), err))
	}
	v.setDown(true)
	target.Stop()
	if err := r.cluster.startVM(ctx, v, node); err != nil {
		return err
	}
	v.setDown(false)
	return nil
}
