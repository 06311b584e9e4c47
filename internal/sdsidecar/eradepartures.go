package sdsidecar

import (
	"context"
	"fmt"
	"slices"

	"github.com/savorydeal/savorydeal"
	"github.com/savorydeal/savorydeal/internal/sddeparture"
)

// departuresHold reports whether a departure of this VM's target still holds.
func (n *Node) departuresHold(c *controlState) bool {
	now := n.clock.Now()
	return slices.ContainsFunc(c.tracker.Departures(), func(d savorydeal.Departure) bool { return !sddeparture.Expired(now, d) })
}

// unsettledDepartures returns the departures that this node knows of VMs whose node is not
// alive, so that it may not write them itself. A suspected node counts as one: it takes seconds
// to be found dead, and if it has written them in the meantime, nothing is written here. Those
// that the store is known to hold in the present era are left out and, unless everywhere is
// set, those of other data centres.
func (n *Node) unsettledDepartures(c *controlState, everywhere bool) []sddeparture.Report {
	now := n.clock.Now()
	members := make(map[savorydeal.NodeID]savorydeal.Member)
	for _, member := range c.roster.Members() {
		members[member.Node] = member
	}
	var reports []sddeparture.Report
	n.era.mu.Lock()
	defer n.era.mu.Unlock()
	for _, node := range c.departures.Nodes() {
		member, known := members[node]
		if !known {
			// The data centre's node removes the object when its departures have expired.
			member.DataCentre = n.settings.DataCentre
		}
		report := sddeparture.Report{Node: node, DataCentre: member.DataCentre, Departures: c.departures.Of(node)}
		if member.State == savorydeal.MemberAlive || report.Expired(now) || n.era.tracker.Settled(string(node)) || !everywhere && member.DataCentre != n.settings.DataCentre {
			continue
		}
		reports = append(reports, report)
	}
	return reports
}

// rewriteDepartures writes departures of VMs whose node is not alive that the store lacks. It
// makes no call if this node knows of none.
func (n *Node) rewriteDepartures(ctx context.Context, era uint64, everywhere bool) error {
	var reports []sddeparture.Report
	if err := n.callControl(ctx, func(c *controlState) { reports = n.unsettledDepartures(c, everywhere) }); err != nil || len(reports) == 0 {
		return err
	}
	list, err := n.store.List(ctx, kindDepartures)
	n.metrics.countStoreCall(err)
	if err == nil {
		err = n.era.check(era, list.Era)
	}
	if err != nil {
		return fmt.Errorf("list departures: %w", err)
	}
	var failed error
	for _, report := range reports {
		stored := savorydeal.Object{}
		if index := slices.IndexFunc(list.Objects, func(o savorydeal.Object) bool { return o.Name == string(report.Node) }); index >= 0 {
			stored = list.Objects[index]
		}
		if err := n.rewriteReport(ctx, era, stored, report); err != nil {
			failed = err
			continue
		}
		n.era.mu.Lock()
		n.era.tracker.Settle(string(report.Node), era)
		n.era.mu.Unlock()
	}
	return failed
}

// rewriteReport adds departures to those that the store's object holds, if it lacks any.
func (n *Node) rewriteReport(ctx context.Context, era uint64, stored savorydeal.Object, report sddeparture.Report) error {
	var known sddeparture.Report
	if stored.Version != 0 {
		var err error
		if known, err = sddeparture.DecodeReport(stored.Value); err != nil {
			// Another writer's object is left as it is.
			n.log.Warn("departures in the store not decoded", "name", stored.Name, "version", stored.Version, "error", err)
			return nil
		}
	}
	merged, changed := sddeparture.Merge(n.clock.Now(), known.Departures, report.Departures)
	if !changed {
		return nil
	}
	report.Departures = merged
	text, err := report.Encode()
	if err == nil {
		err = n.era.checkCondition(era)
	}
	if err != nil {
		return fmt.Errorf("write departures of %s: %w", report.Node, err)
	}
	_, err = n.store.Put(ctx, kindDepartures, string(report.Node), stored.Version, text)
	n.metrics.countStoreCall(err)
	if err == nil {
		err = n.era.checkCondition(era)
	}
	n.log.Info("departures of another VM written again", "member", report.Node, "era", era, "error", err)
	if err != nil {
		return fmt.Errorf("write departures of %s: %w", report.Node, err)
	}
	return nil
}
