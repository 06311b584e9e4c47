package sdsidecar

import (
	"context"
	"reflect"

	"github.com/savorydeal/savorydeal/internal/sdbudget"
	"github.com/savorydeal/savorydeal/platform"
)

// reloadableSettings holds the settings that may change while the node runs. Addresses
// and the service stay fixed for the life of the process, since the target relies on
// them.
type reloadableSettings struct {
	bounds        platform.Bounds
	meetingPoints []string
}

func newReloadableSettings(settings platform.Settings) *reloadableSettings {
	return &reloadableSettings{bounds: settings.Bounds, meetingPoints: settings.MeetingPoints}
}

func budgetLimits(bounds platform.Bounds) sdbudget.Limits {
	return sdbudget.Limits{Ratio: bounds.RetryRatio, Window: bounds.BudgetWindow, MinRetries: bounds.MinRetries}
}

// runReload applies each settings value received from changes.
func (n *Node) runReload(ctx context.Context, changes <-chan platform.Settings) error {
	for {
		select {
		case settings, ok := <-changes:
			if !ok {
				changes = nil // no further changes: wait for the end of ctx
				continue
			}
			n.reload(settings)
		case <-ctx.Done():
			return nil
		}
	}
}

func (n *Node) reload(settings platform.Settings) {
	next := newReloadableSettings(settings)
	changed := !reflect.DeepEqual(next, n.reloadable.Load())
	if changed {
		n.reloadable.Store(next)
		n.mu.Lock()
		n.budget.SetLimits(budgetLimits(next.bounds))
		n.mu.Unlock()
	}
	n.log.Info("settings reloaded", "changed", changed, "meeting_points", len(next.meetingPoints), "bounds", next.bounds)
}
