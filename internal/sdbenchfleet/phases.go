package sdbenchfleet

import (
	"context"
	"fmt"
	"net/http"
	"syscall"
	"time"

	"github.com/savorydeal/savorydeal"
	"github.com/savorydeal/savorydeal/internal/sdbench"
	"github.com/savorydeal/savorydeal/internal/sdoperatorapi"
	"github.com/savorydeal/savorydeal/internal/sdrig"
)

// usageSample is what a node has used since its start.
type usageSample struct {
	// controlBytes counts control traffic, sent and received.
	controlBytes float64
	usage        sdbench.ProcessUsage
}

func (c *cluster) readSamples(ctx context.Context) ([]usageSample, error) {
	var samples []usageSample
	for _, node := range c.nodes {
		values, err := readMetrics(ctx, node)
		if err != nil {
			return nil, err
		}
		usage, err := sdbench.ReadUsage(node.PID())
		if err != nil {
			return nil, err
		}
		bytes := values["control_sent_bytes"] + values["control_received_bytes"] + values["control_link_bytes"]
		samples = append(samples, usageSample{controlBytes: bytes, usage: usage})
	}
	return samples, nil
}

// measureCalm measures the cost of control traffic while nothing happens but
// datagram loss. The processor time leaves out the nodes that handle requests. The
// calls to the platform are counted from the start of the cluster.
func (c *cluster) measureCalm(ctx context.Context, duration time.Duration) error {
	time.Sleep(settleTime)
	start := time.Now()
	before, err := c.readSamples(ctx)
	if err != nil {
		return err
	}
	time.Sleep(duration)
	after, err := c.readSamples(ctx)
	if err != nil {
		return err
	}
	seconds := time.Since(start).Seconds()
	calls := c.rig.Platform.CallCounts()
	c.result.platformCallsPerSecond = float64(calls.Reads+calls.Writes+calls.Watches) / time.Since(c.startedAt).Seconds()
	idle := 0
	for i := range before {
		bytesPerSecond := (after[i].controlBytes - before[i].controlBytes) / seconds
		c.result.meanBytesPerSecond += bytesPerSecond / float64(len(before))
		c.result.maxBytesPerSecond = max(c.result.maxBytesPerSecond, bytesPerSecond)
		c.result.meanRSSBytes += float64(after[i].usage.RSSBytes) / float64(len(before))
		if i < entryNodeCount || i >= c.size-targetCount {
			continue
		}
		corePercent := 100 * (after[i].usage.CPU - before[i].usage.CPU).Seconds() / seconds
		c.result.meanCorePercent += corePercent
		c.result.maxCorePercent = max(c.result.maxCorePercent, corePercent)
		idle++
	}
	c.result.meanCorePercent /= float64(max(1, idle))
	return nil
}

// settleTime is the time before the calm phase, in which membership and
// configuration finish spreading after the start. It also follows pauses, so that
// late suspicions are counted.
const settleTime = 5 * time.Second

// changeSettleTime is the time after a change before the nodes are polled.
const changeSettleTime = time.Second

// measureChanges changes a policy through different nodes and measures the time from
// the operator's request until each node has applied the change.
func (c *cluster) measureChanges(ctx context.Context, changes int) error {
	version := int64(0)
	for i := range changes {
		node := c.nodes[(i*7)%c.size]
		policy := sdoperatorapi.Policy{Service: "stock", Operations: []sdoperatorapi.Operation{{
			Name: fmt.Sprintf("look_up_%d", i), Methods: []string{http.MethodGet}, PathPrefix: "/", Class: "low", Idempotent: true,
		}}}
		requestedAt := time.Now()
		newVersion, err := c.rig.PutPolicy(ctx, node, policy, version, fmt.Sprintf("bench-change-%d", i))
		if err != nil {
			return err
		}
		version = newVersion
		// The nodes record when they applied it. Polling at once would slow
		// them down.
		time.Sleep(changeSettleTime)
		delays := make(chan time.Duration, c.size)
		err = c.waitForNodes(ctx, func(node *sdrig.Node) bool {
			applied, ok := appliedAt(ctx, node, "stock", version)
			if ok {
				delays <- applied.Sub(requestedAt)
			}
			return ok
		})
		if err != nil {
			return fmt.Errorf("change %d: %w", i, err)
		}
		close(delays)
		for delay := range delays {
			c.result.configDelays = append(c.result.configDelays, delay)
		}
	}
	return c.expectInForce(ctx, version)
}

// expectInForce waits until the version is in force on all nodes, by the same call of
// the admin API that operators use.
func (c *cluster) expectInForce(ctx context.Context, version int64) error {
	return waitFor(ctx, func() bool {
		status, err := c.nodes[1].OperatorAPI.WaitInForce(ctx, sdoperatorapi.WaitInForceParams{
			Service: "stock", Version: version, WaitMs: 1000,
		})
		return err == nil && status.InForce == c.size
	})
}

// measurePauses pauses some node processes for pauseTime. No node, paused or not, may
// declare a member dead because of the pause.
func (c *cluster) measurePauses(ctx context.Context) error {
	paused := c.nodes[entryNodeCount : entryNodeCount+max(1, c.size/30)]
	for _, node := range paused {
		if err := node.Signal(syscall.SIGSTOP); err != nil {
			return err
		}
	}
	time.Sleep(pauseTime)
	for _, node := range paused {
		if err := node.Signal(syscall.SIGCONT); err != nil {
			return err
		}
	}
	time.Sleep(settleTime)
	var err error
	if c.result.falseDeaths, err = c.sumMetric(ctx, "members_died"); err != nil {
		return err
	}
	if c.result.suspicions, err = c.sumMetric(ctx, "members_suspected"); err != nil {
		return err
	}
	if c.result.pauses, err = c.sumMetric(ctx, "control_pauses"); err != nil {
		return err
	}
	c.result.droppedDatagrams, err = c.sumMetric(ctx, "control_datagrams_lost_on_purpose")
	return err
}

// measureLeaving makes a target announce that it leaves and measures the time until
// no node sees it as ready.
func (c *cluster) measureLeaving(ctx context.Context) error {
	target, node := c.targets[0], c.nodes[c.size-1]
	if _, err := target.Leave(ctx); err != nil {
		return err
	}
	announcedAt := time.Now()
	runsBefore := len(target.Ledger.Runs())
	err := c.waitForNodes(ctx, func(other *sdrig.Node) bool {
		view, ok := readView(ctx, other, node.Settings.PeerAddress)
		return ok && view.targetState != string(savorydeal.TargetReady)
	})
	c.result.leavingTime = time.Since(announcedAt)
	c.result.runsAfterLeaving = len(target.Ledger.Runs()) - runsBefore
	return err
}

// measureStop stops a node gracefully under load and records the number of
// requests so far and of those without a complete answer.
func (c *cluster) measureStop(context.Context) error {
	node := c.nodes[c.size-2]
	c.stopped[node] = true
	if err := node.Stop(); err != nil {
		return fmt.Errorf("graceful stop: %w", err)
	}
	time.Sleep(time.Second)
	c.result.requests = int(c.requests.Load())
	c.result.cutRequests = int(c.cutRequests.Load())
	return nil
}

// measureDeath kills a node with a target and measures the time until no node would
// send it new work, which is when no node has a lease for it. A node without a lease
// cannot get one after the kill. Then it measures when all nodes suspect the killed
// node and when all see it as dead.
func (c *cluster) measureDeath(ctx context.Context) error {
	node := c.nodes[c.size-3]
	c.stopped[node] = true
	if err := node.Signal(syscall.SIGKILL); err != nil {
		return err
	}
	killedAt := time.Now()
	waitForViews := func(condition func(memberView) bool) error {
		return c.waitForNodes(ctx, func(other *sdrig.Node) bool {
			view, ok := readView(ctx, other, node.Settings.PeerAddress)
			return ok && condition(view)
		})
	}
	err := waitForViews(func(view memberView) bool { return !view.hasLease })
	c.result.detectTime = time.Since(killedAt)
	if err != nil {
		return err
	}
	err = waitForViews(func(view memberView) bool { return view.state != string(savorydeal.MemberAlive) })
	c.result.suspectTime = time.Since(killedAt)
	if err != nil {
		return err
	}
	err = waitForViews(func(view memberView) bool { return view.state == string(savorydeal.MemberDead) })
	c.result.deadTime = time.Since(killedAt)
	return err
}
