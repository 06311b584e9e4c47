package sdsidecar

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/savorydeal/savorydeal"
	"github.com/savorydeal/savorydeal/internal/sddeparture"
)

const (
	// departuresPath is the path at which nodes tell each other of the departures of a VM.
	departuresPath = "/departures"
	// kindDepartures is the kind of the store objects that hold the departures of one VM
	// each, under the name of its node.
	kindDepartures = "departures"
	// ackSettleTime is the time after which a target's leaving is acknowledged although
	// only the store or only other nodes know of it.
	ackSettleTime = 300 * time.Millisecond
	// ackTimeout is the time after which it is rejected if nobody else knows of it. The
	// target waits a second for the answer and calls again.
	ackTimeout = 800 * time.Millisecond
	// restorePollInterval is the time between two checks whether a new process knows the
	// departures of its VM.
	restorePollInterval = 10 * time.Millisecond
)

// departureRecord is the store's object of this VM's departures as last read or written.
type departureRecord struct {
	// read is true once the object was read, or found missing.
	read    bool
	version int64
	// era is the store's era in which it was; in a later one version is void.
	era uint64
}

// otherMembers returns the members other than this node.
func (n *Node) otherMembers(c *controlState) []savorydeal.Member {
	members := c.roster.Members()
	return members[1:]
}

// requireDepartures makes the departures of this VM's target known to others if there are
// new ones.
func (n *Node) requireDepartures(c *controlState) {
	c.keeper.Require(c.tracker.DeparturesVersion())
	if c.keeper.Pending(n.otherMembers(c)) {
		select {
		case n.departuresPending <- struct{}{}:
		default: // runDepartureKeep is awake already
		}
	}
}

// runDepartureKeep passes the departures of this VM's target to the store and to other
// nodes until enough of them know.
func (n *Node) runDepartureKeep(ctx context.Context) error {
	for ctx.Err() == nil {
		select {
		case <-n.departuresPending:
		case <-ctx.Done():
			return nil
		}
		for pending := true; pending && ctx.Err() == nil; {
			var actions []sddeparture.Action
			_ = n.callControl(ctx, func(c *controlState) {
				others := n.otherMembers(c)
				actions = c.keeper.Next(n.clock.Now(), others)
				pending = c.keeper.Pending(others)
			})
			for _, action := range actions {
				go n.keepDepartures(ctx, action)
			}
			if pending {
				n.sleep(ctx, joinPollInterval)
			}
		}
	}
	return nil
}

// keepDepartures makes one call to the store or to another node.
func (n *Node) keepDepartures(ctx context.Context, action sddeparture.Action) {
	var err error
	place := action.Peer.PeerAddress
	if action.ToStore() {
		place = "store"
		err = n.storeDepartures(ctx)
	} else {
		_, err = n.reportDepartures(ctx, action.Peer.PeerAddress)
	}
	n.log.Info("departures passed on", "to", place, "version", action.Version, "error", err)
	_ = n.callControl(ctx, func(c *controlState) {
		c.keeper.Done(n.clock.Now(), action, err)
		close(c.departuresKept)
		c.departuresKept = make(chan struct{})
	})
}

// ownReport returns the departures of this VM.
func (n *Node) ownReport(c *controlState) sddeparture.Report {
	return sddeparture.Report{Node: n.self, DataCentre: n.settings.DataCentre, Departures: c.tracker.Departures()}
}

// storeDepartures adds the departures of this VM to those that the store holds.
func (n *Node) storeDepartures(ctx context.Context) error {
	var record departureRecord
	_ = n.callControl(ctx, func(c *controlState) { record = c.departureRecord })
	needsRead := !record.read || record.era != n.era.current()
	if needsRead {
		if err := n.readDepartures(ctx); err != nil {
			return err
		}
	}
	var report sddeparture.Report
	stored := false
	_ = n.callControl(ctx, func(c *controlState) {
		record, report, stored = c.departureRecord, n.ownReport(c), needsRead && c.keeper.HasStored()
	})
	if err := n.era.checkCondition(record.era); stored || err != nil {
		return err
	}
	text, err := report.Encode()
	if err != nil {
		return err
	}
	written, err := n.store.Put(ctx, kindDepartures, string(n.self), record.version, text)
	n.metrics.countStoreCall(err)
	if err == nil {
		err = n.era.checkCondition(record.era)
	}
	_ = n.callControl(ctx, func(c *controlState) {
		c.departureRecord = departureRecord{read: err == nil, version: written.Version, era: record.era}
	})
	if err != nil {
		return fmt.Errorf("write departures: %w", err)
	}
	return nil
}

// readDepartures restores the departures of this VM that the store holds.
func (n *Node) readDepartures(ctx context.Context) error {
	era := n.era.current()
	object, err := n.store.Get(ctx, kindDepartures, string(n.self))
	if errors.Is(err, savorydeal.ErrObjectNotFound) {
		object, err = savorydeal.Object{Era: object.Era}, nil
	}
	n.metrics.countStoreCall(err)
	if err == nil {
		err = n.era.check(era, object.Era)
	}
	if err != nil {
		return fmt.Errorf("read departures: %w", err)
	}
	var report sddeparture.Report
	if object.Version != 0 {
		if report, err = sddeparture.DecodeReport(object.Value); err != nil {
			n.log.Warn("departures in the store not decoded", "name", object.Name, "version", object.Version, "error", err)
		}
	}
	return n.callControl(ctx, func(c *controlState) {
		c.departureRecord = departureRecord{read: true, version: object.Version, era: max(era, object.Era)}
		if object.Era > 0 {
			c.restorer.StoreMayBeOlder()
		}
		c.restorer.StoreAnswered()
		n.restoreFrom(c, "store", report.Departures)
		if _, lacking := sddeparture.Merge(n.clock.Now(), report.Departures, c.tracker.Departures()); !lacking {
			c.keeper.Stored(c.tracker.DeparturesVersion())
		}
	})
}

// restoreFrom adds departures of this VM's target that others know of.
func (n *Node) restoreFrom(c *controlState, source string, departures []savorydeal.Departure) {
	before := c.tracker.DeparturesVersion()
	c.tracker.Restore(n.clock.Now(), departures)
	if c.tracker.DeparturesVersion() == before {
		return
	}
	n.log.Info("departures restored", "source", source, "departures", len(departures))
	n.publishTarget(c)
}

// reportDepartures tells another node the departures of this VM, and restores those that
// it knows of. It reports whether that node knows those from before its own process.
func (n *Node) reportDepartures(ctx context.Context, address string) (complete bool, err error) {
	var report sddeparture.Report
	_ = n.callControl(ctx, func(c *controlState) { report = n.ownReport(c) })
	text, err := report.Encode()
	if err != nil {
		return false, err
	}
	answer, err := n.callPeer(ctx, address, http.MethodPost, departuresPath, text)
	if err != nil {
		return false, fmt.Errorf("report departures: %w", err)
	}
	if answer.Status != http.StatusOK || answer.Remainder != nil {
		closeRemainder(answer)
		return false, fmt.Errorf("answer with status %d to a report of departures", answer.Status)
	}
	known, err := sddeparture.DecodeReport(answer.Body)
	if err != nil {
		return false, err
	}
	return known.Complete, n.callControl(ctx, func(c *controlState) { n.restoreFrom(c, address, known.Departures) })
}

// handleDepartures handles another node's report of the departures of a VM and returns
// those of that VM that this node knows of.
func (n *Node) handleDepartures(ctx context.Context, body []byte) ([]byte, error) {
	report, err := sddeparture.DecodeReport(body)
	if err != nil {
		n.log.Warn("departures of another node not decoded", "error", err)
		return nil, err
	}
	answer := sddeparture.Report{Node: report.Node}
	err = n.callControl(ctx, func(c *controlState) {
		now := n.clock.Now()
		if report.Node == n.self {
			n.restoreFrom(c, "peer", report.Departures)
			answer.Departures = c.tracker.Departures()
			return
		}
		for _, departure := range report.Departures {
			n.learnDeparture(c, report.Node, departure)
		}
		answer.Departures = c.departures.Of(report.Node)
		answer.Complete = c.restorer.Complete(now, n.settings.FirstStart)
	})
	if err != nil {
		return nil, err
	}
	return answer.Encode()
}

// learnDeparture records a departure of another VM's target.
func (n *Node) learnDeparture(c *controlState, node savorydeal.NodeID, departure savorydeal.Departure) {
	if sddeparture.Expired(n.clock.Now(), departure) || !c.departures.Add(node, departure) || departure.Start.Started == 0 {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.balancer.SetLeaving(node, departure.Start)
}

// learnDepartures records the targets that are advertised as leaving.
func (n *Node) learnDepartures(c *controlState, members []savorydeal.Member) {
	for _, member := range members {
		if member.TargetDeparted && member.Node != n.self {
			n.learnDeparture(c, member.Node, savorydeal.Departure{Start: member.TargetStart, LeftAt: n.clock.Now()})
		}
	}
}

// notifyOfDepartures tells the nodes that now advertise a target as ready although this node
// knows that it has left: they were restarted since and could not learn of it.
func (n *Node) notifyOfDepartures(c *controlState, changes []savorydeal.Member) {
	for _, member := range changes {
		if member.Node == n.self || !member.Routable() || !c.departures.Binds(member.Node, member.TargetStart) {
			continue
		}
		report := sddeparture.Report{Node: member.Node, DataCentre: member.DataCentre, Departures: c.departures.Of(member.Node)}
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), exchangeTimeout)
			defer cancel()
			text, err := report.Encode()
			if err == nil {
				_, err = n.callPeer(ctx, member.PeerAddress, http.MethodPost, departuresPath, text)
			}
			n.log.Info("node notified of departures", "peer", member.PeerAddress, "identity", member.TargetStart.Identity, "error", err)
		}()
	}
}

// runDepartureRestore restores the departures that earlier processes on this VM have
// acknowledged, from the store and from other nodes. Until then the target gets no calls.
func (n *Node) runDepartureRestore(ctx context.Context) error {
	if !n.settings.FirstStart {
		go n.runDepartureRead(ctx)
		tried := make(map[savorydeal.NodeID]bool)
		for done := false; !done && ctx.Err() == nil; n.sleep(ctx, restorePollInterval) {
			var peer savorydeal.Member
			ask := false
			_ = n.callControl(ctx, func(c *controlState) {
				now, others := n.clock.Now(), n.otherMembers(c)
				if n.routes.Load() != nil {
					c.restorer.Configured(now)
				}
				if done = c.restorer.Done(now, others); done {
					c.tracker.Restored(now)
					n.log.Info("departures known", "took", now.Sub(n.started), "departures", len(c.tracker.Departures()))
					n.publishTarget(c)
					return
				}
				peer, ask = c.restorer.NextPeer(others, tried)
			})
			if ask {
				tried[peer.Node] = true
				go n.askForDepartures(ctx, peer)
			}
		}
	}
	<-ctx.Done()
	return nil
}

// askForDepartures asks another node for the departures of this VM.
func (n *Node) askForDepartures(ctx context.Context, peer savorydeal.Member) {
	complete, err := n.reportDepartures(ctx, peer.PeerAddress)
	if err != nil {
		n.log.Info("departures not fetched", "peer", peer.PeerAddress, "error", err)
		return
	}
	_ = n.callControl(ctx, func(c *controlState) { c.restorer.PeerAnswered(peer.Node, complete) })
}

// runDepartureRead reads the departures of this VM from the store, until it answers.
func (n *Node) runDepartureRead(ctx context.Context) {
	storeBackoff := backoff{node: n}
	for ctx.Err() == nil {
		err := n.readDepartures(ctx)
		if err == nil {
			return
		}
		n.log.Info("departures not read from the store", "error", err)
		n.sleep(ctx, storeBackoff.next())
	}
}

// awaitKept waits until others know of the departures of this VM, so that they may be
// acknowledged. It reports false if nobody does in time.
func (n *Node) awaitKept(ctx context.Context) bool {
	startedAt := n.clock.Now()
	for ctx.Err() == nil {
		level := sddeparture.LevelNone
		var kept <-chan struct{}
		_ = n.callControl(ctx, func(c *controlState) {
			level, kept = c.keeper.Level(n.otherMembers(c)), c.departuresKept
		})
		wait := ackSettleTime
		if level == sddeparture.LevelNone {
			wait = ackTimeout
		}
		remaining := wait - n.clock.Now().Sub(startedAt)
		if level == sddeparture.LevelFull || remaining <= 0 {
			return level != sddeparture.LevelNone
		}
		select {
		case <-kept:
		case <-n.clock.After(remaining):
		case <-ctx.Done():
		}
	}
	return false
}
