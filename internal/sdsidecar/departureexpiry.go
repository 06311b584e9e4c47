package sdsidecar

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/savorydeal/savorydeal"
	"github.com/savorydeal/savorydeal/internal/sddeparture"
)

// departureSweepInterval is the time between two removals of expired departures from the
// store, by one node of each data centre.
const departureSweepInterval = 10 * time.Minute

// runDepartureExpiry forgets expired departures, in memory and, at one node of each data
// centre, in the store.
func (n *Node) runDepartureExpiry(ctx context.Context) error {
	for ctx.Err() == nil {
		n.sleep(ctx, departureSweepInterval)
		_ = n.callControl(ctx, func(c *controlState) {
			now := n.clock.Now()
			c.tracker.Expire(now)
			c.departures.Expire(now, c.members)
		})
		if n.watchRank.Load() < 1 && ctx.Err() == nil {
			if err := n.sweepDepartures(ctx); err != nil {
				n.log.Info("expired departures not removed", "error", err)
			}
		}
	}
	return nil
}

// sweepDepartures removes the expired departures of this data centre from the store.
func (n *Node) sweepDepartures(ctx context.Context) error {
	era := n.era.current()
	list, err := n.store.List(ctx, kindDepartures)
	n.metrics.countStoreCall(err)
	if err != nil {
		return fmt.Errorf("list departures: %w", err)
	}
	for _, object := range list.Objects {
		report, err := sddeparture.DecodeReport(object.Value)
		if err != nil || report.DataCentre != n.settings.DataCentre || !report.Expired(n.clock.Now()) {
			continue
		}
		if err := n.era.checkCondition(max(era, list.Era)); err != nil {
			return fmt.Errorf("remove departures of %s: %w", object.Name, err)
		}
		_, err = n.store.Delete(ctx, kindDepartures, object.Name, object.Version)
		n.metrics.countStoreCall(err)
		if err != nil && !errors.Is(err, savorydeal.ErrVersionConflict) && !errors.Is(err, savorydeal.ErrObjectNotFound) {
			return fmt.Errorf("remove departures of %s: %w", object.Name, err)
		}
	}
	return nil
}
