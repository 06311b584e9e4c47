package sdnode

import (
	"context"

	"github.com/savorydeal/savorydeal"
	"github.com/savorydeal/savorydeal/internal/sdunknown"
)

// wireUnknownOutcomes records the keyed calls that end with an unknown outcome.
func (n *Node) wireUnknownOutcomes() {
	n.owner.OnUnknownOutcome(n.addUnknownOutcome)
	n.router.OnUnknownOutcome = n.addUnknownOutcome
	n.metrics.Gauge("unknown_outcomes", "Keyed calls that ended at this node with an unknown outcome.", func() float64 {
		added, _ := n.unknownOutcomes.Counts()
		return float64(added)
	})
	n.metrics.Gauge("unknown_outcomes_dropped", "Unknown outcomes dropped before they were written to the platform.", func() float64 {
		_, dropped := n.unknownOutcomes.Counts()
		return float64(dropped)
	})
	n.metrics.Gauge("wasted_runs", "Runs on this VM's target that ended after their caller had disconnected or their deadline had passed.", func() float64 {
		return float64(n.server.WastedRuns())
	})
}

func (n *Node) addUnknownOutcome(call savorydeal.Call, refusal savorydeal.Refusal) {
	n.unknownOutcomes.Add(sdunknown.Outcome{
		Time:      n.clock.Now(),
		Service:   call.Service,
		Operation: call.Operation.Name,
		Key:       call.Key,
		Caller:    call.Chain.Caller,
		RequestID: call.Chain.RequestID,
		Reason:    refusal.Reason,
		Node:      n.self,
	})
}

func (n *Node) runUnknownOutcomes(ctx context.Context, platform savorydeal.Platform) error {
	writer := &sdunknown.Writer{
		Queue:    n.unknownOutcomes,
		Platform: platform,
		Clock:    n.clock,
		Random:   n.unknownRandom,
		Node:     n.self,
		OnError:  func(err error) { n.log.Warn("unknown outcomes not yet written to the platform", "error", err) },
	}
	err := writer.Run(ctx)
	flushCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), exchangeTimeout)
	defer cancel()
	if flushErr := writer.Flush(flushCtx); flushErr != nil {
		n.log.Warn("unknown outcomes lost because the node stops", "outcomes", len(n.unknownOutcomes.Pending()), "error", flushErr)
	}
	return err
}

// UnknownOutcomes lists the unknown outcomes of a service that are on the platform
// or still queued at this node; key "" means all keys. An error means that the list
// may be incomplete.
func (n *Node) UnknownOutcomes(ctx context.Context, service, key string) ([]sdunknown.Outcome, error) {
	return sdunknown.List(ctx, n.keyPartitions.Platform, n.unknownOutcomes, n.clock.Now(), service, key)
}
