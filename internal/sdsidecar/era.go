package sdsidecar

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"sync"
	"time"

	"github.com/savorydeal/savorydeal"
	"github.com/savorydeal/savorydeal/internal/sdera"
	"github.com/savorydeal/savorydeal/internal/sdjoin"
	"github.com/savorydeal/savorydeal/platform"
)

// errEarlierEra means that the store has come back from a copy since a call began, so that its
// answer, or the condition of the next write, is void.
var errEarlierEra = errors.New("the store has come back from an older copy")

// eraPollInterval is the time between two checks for work that a rise of the store's era has
// made due.
const eraPollInterval = 50 * time.Millisecond

// storeEra is what this node knows of the store's era. The goroutines that call the store and
// the control goroutine share it.
type storeEra struct {
	mu      sync.Mutex
	tracker *sdera.Tracker
	// rose is closed, and replaced, when the era rises.
	rose chan struct{}
	// rise is the last rise. handled is the era up to which runEra has handled rises.
	rise    sdera.Rise
	handled uint64
}

func (e *storeEra) init(now time.Time, random savorydeal.Random) {
	e.tracker = sdera.New(now, random)
	e.rose = make(chan struct{})
}

// current returns the highest era known. Versions and revisions of an earlier one are void.
func (e *storeEra) current() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.tracker.Era()
}

// check returns errEarlierEra if an answer that states an era is late. began is the era that
// was current when its call began.
func (e *storeEra) check(began, stated uint64) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.tracker.Late(began, stated) {
		return errEarlierEra
	}
	return nil
}

// checkCondition returns errEarlierEra if the era has risen since it was began, so that the
// versions that were read in it are no conditions for a write.
func (e *storeEra) checkCondition(began uint64) error {
	if e.current() != began {
		return errEarlierEra
	}
	return nil
}

// untilRise returns a context that also ends when the era differs from the given one.
func (e *storeEra) untilRise(ctx context.Context, era uint64) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.tracker.Era() != era {
		cancel()
		return ctx, cancel
	}
	rose := e.rose
	go func() {
		select {
		case <-rose:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}

// setStore sets the client of the store and observes the eras that its answers state.
func (n *Node) setStore(store *platform.Store) {
	store.ObserveEra(n.observeEra)
	n.store = store
}

// observeEra records what an answer of the store states of its era.
func (n *Node) observeEra(era uint64, err error) {
	if err != nil {
		n.log.Request("store era not decoded", "error", err)
		return
	}
	n.recordEra("store", func(now time.Time) (sdera.Rise, bool) { return n.era.tracker.Answered(now, era) })
}

// learnEra records the era that another node knows.
func (n *Node) learnEra(peer string, era uint64) {
	n.recordEra(peer, func(now time.Time) (sdera.Rise, bool) { return n.era.tracker.Reported(now, era) })
}

func (n *Node) recordEra(source string, record func(now time.Time) (sdera.Rise, bool)) {
	n.era.mu.Lock()
	rise, rose := record(n.clock.Now())
	if rose {
		n.era.rise = rise
		close(n.era.rose)
		n.era.rose = make(chan struct{})
	}
	n.era.mu.Unlock()
	if rose {
		n.log.Warn("store came back from an older copy", "era", rise.To, "previous", rise.From, "source", source)
	}
}

// runEra does what is due after the store's era has risen.
func (n *Node) runEra(ctx context.Context) error {
	for ctx.Err() == nil {
		n.era.mu.Lock()
		rise, rose := n.era.rise, n.era.rose
		unhandled := rise.To > n.era.handled
		n.era.handled = max(n.era.handled, rise.To)
		orders := n.era.tracker.Due(n.clock.Now(), int(n.watchRank.Load()))
		n.era.mu.Unlock()
		if unhandled {
			n.handleRise(ctx, rise)
		}
		for _, order := range orders {
			go n.executeOrder(ctx, order)
		}
		select {
		case <-n.clock.After(eraPollInterval):
		case <-rose:
		case <-ctx.Done():
		}
	}
	return nil
}

// handleRise makes the departures of this VM due in the store again, and tells other nodes of
// the rise: most nodes make no calls to the store.
func (n *Node) handleRise(ctx context.Context, rise sdera.Rise) {
	_ = n.callControl(ctx, func(c *controlState) {
		if n.departuresHold(c) {
			c.keeper.StoreLost(rise.OwnDeparturesAt)
			n.requireDepartures(c)
		}
		for _, address := range c.roster.RandomAddresses(configFanOut) {
			n.sendVersion(c, address)
		}
	})
}

// executeOrder does one piece of work.
func (n *Node) executeOrder(ctx context.Context, order sdera.Order) {
	var err error
	switch order.Work {
	case sdera.WorkMeetingPoints:
		err = n.rewriteMeetingPoints(ctx, order.Era)
	case sdera.WorkDepartures:
		err = n.rewriteDepartures(ctx, order.Era, false)
	case sdera.WorkDeparturesElsewhere:
		err = n.rewriteDepartures(ctx, order.Era, true)
	}
	if err != nil {
		n.log.Info("objects not written again", "work", order.Work, "era", order.Era, "error", err)
	}
	n.era.mu.Lock()
	defer n.era.mu.Unlock()
	n.era.tracker.Done(n.clock.Now(), order, err)
}

// rewriteMeetingPoints reads the meeting points and writes those that are due, if this node
// is a watcher.
func (n *Node) rewriteMeetingPoints(ctx context.Context, era uint64) error {
	if n.watchRank.Load() >= sdjoin.WatchersPerDataCentre {
		return nil
	}
	list, err := n.store.List(ctx, kindMeetingPoint)
	n.metrics.countStoreCall(err)
	if err == nil {
		err = n.era.check(era, list.Era)
	}
	if err != nil {
		return fmt.Errorf("list meeting points: %w", err)
	}
	return n.writeMeetingPoints(ctx, era, list.Objects)
}

// writeMeetingPoints writes the meeting points that this node has to write, given those that
// the store had in an era.
func (n *Node) writeMeetingPoints(ctx context.Context, era uint64, objects []savorydeal.Object) error {
	var members []savorydeal.Member
	var self savorydeal.Member
	_ = n.callControl(ctx, func(c *controlState) { members, self = c.roster.Members(), c.roster.Self() })
	var failed error
	for _, write := range sdjoin.DueWrites(members, self, decodePoints(objects)) {
		err := n.era.checkCondition(era)
		if err == nil {
			_, err = n.store.Put(ctx, kindMeetingPoint, write.Name, write.Version, []byte(strconv.Quote(write.Address)))
			n.metrics.countStoreCall(err)
		}
		if err != nil {
			failed = err
			n.log.Info("meeting point not written", "name", write.Name, "address", write.Address, "error", err)
		}
	}
	if failed != nil {
		return fmt.Errorf("write meeting points: %w", failed)
	}
	return nil
}

// readConfig reads the configuration if revision is 0 and otherwise waits for a change after
// the revision, which is one of the era, up to wait. A watch ends early if the era rises.
func (n *Node) readConfig(ctx context.Context, era uint64, revision int64, wait time.Duration) (savorydeal.ObjectList, error) {
	if revision == 0 {
		list, err := n.store.List(ctx, platform.ConfigKind)
		if err == nil {
			err = n.era.check(era, list.Era)
		}
		return list, err
	}
	watchCtx, cancel := n.era.untilRise(ctx, era)
	defer cancel()
	list, err := n.store.Watch(watchCtx, platform.ConfigKind, revision, wait)
	if riseErr := n.era.checkCondition(era); riseErr != nil {
		return savorydeal.ObjectList{}, riseErr
	}
	return list, err
}

// awaitFirstConfig waits until a configuration that was read from the store may be put in
// force. It only waits if this node has none and the store has come back from a copy, whose
// version may be older than the one that other nodes have in force.
func (n *Node) awaitFirstConfig(ctx context.Context, era uint64, raw []byte) {
	config, err := platform.DecodeConfig(raw)
	if err != nil || era == 0 || n.settings.FirstStart {
		return
	}
	for waited := false; ctx.Err() == nil && n.routes.Load() == nil; n.sleep(ctx, restorePollInterval) {
		take := false
		_ = n.callControl(ctx, func(c *controlState) { take = c.firstConfig.Take(n.clock.Now(), era, config.Version) })
		if take {
			return
		}
		if !waited {
			waited = true
			n.log.Info("configuration of the store awaits other nodes", "version", config.Version, "era", era)
		}
	}
}

// eraState returns what the state dump holds of the store's era.
func (n *Node) eraState(now time.Time) map[string]any {
	n.era.mu.Lock()
	defer n.era.mu.Unlock()
	state := map[string]any{"era": n.era.tracker.Era(), "known": n.era.tracker.Known(), "work": n.era.tracker.Pending()}
	if risenAt := n.era.tracker.RisenAt(); !risenAt.IsZero() {
		state["risen_ago_s"] = now.Sub(risenAt).Seconds()
	}
	return state
}
