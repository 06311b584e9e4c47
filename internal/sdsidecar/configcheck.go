package sdsidecar

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/savorydeal/savorydeal"
	"github.com/savorydeal/savorydeal/internal/sdjoin"
	"github.com/savorydeal/savorydeal/platform"
)

const (
	// checkInterval is the time between the starts of two checks. Requests with unknown
	// keys cost one check each interval, however many they are.
	checkInterval = 250 * time.Millisecond
	// checkTimeout bounds one check.
	checkTimeout = 150 * time.Millisecond
	// checkAnswerTimeout bounds the time in which a node that is asked reads the store.
	// It leaves the rest of checkTimeout for the answer's way.
	checkAnswerTimeout = 100 * time.Millisecond
	// minReadInterval is the time between two reads of the store for checks. While callers
	// kept inventing keys, a read each checkInterval was more than half of all calls of the
	// store; its watches report a change within milliseconds if they work.
	minReadInterval = time.Second
	// maxCheckWaiters is the number of requests that may wait for a check. Those beyond
	// it are answered by the last confirmation, so that unknown keys hold little memory.
	maxCheckWaiters = 256
)

// configCheck runs checks whether the configuration in force is the newest: one at a time,
// and one each checkInterval at most.
type configCheck struct {
	clock savorydeal.Clock
	check func(ctx context.Context)

	// running holds one element during a check.
	running chan struct{}

	mu sync.Mutex
	// next is closed at the end of the check that has not started yet, nil if nobody
	// waits for one.
	next      chan struct{}
	waiting   int
	startedAt time.Time
}

func newConfigCheck(clock savorydeal.Clock, check func(ctx context.Context)) *configCheck {
	return &configCheck{clock: clock, check: check, running: make(chan struct{}, 1)}
}

// wait waits for the end of a check that starts after the call of wait. It returns at once
// if too many requests wait already.
func (c *configCheck) wait(ctx context.Context) {
	c.mu.Lock()
	if c.waiting >= maxCheckWaiters {
		c.mu.Unlock()
		return
	}
	c.waiting++
	if c.next == nil {
		c.next = make(chan struct{})
		go c.runNext(c.next)
	}
	next := c.next
	c.mu.Unlock()
	select {
	case <-next:
	case <-ctx.Done():
	}
	c.mu.Lock()
	c.waiting--
	c.mu.Unlock()
}

func (c *configCheck) runNext(done chan struct{}) {
	defer close(done)
	c.running <- struct{}{}
	defer func() { <-c.running }()
	c.mu.Lock()
	delay := checkInterval - c.clock.Now().Sub(c.startedAt)
	c.mu.Unlock()
	if delay > 0 {
		<-c.clock.After(delay)
	}
	c.mu.Lock()
	c.next, c.startedAt = nil, c.clock.Now() // requests that come now wait for another check
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), checkTimeout)
	defer cancel()
	c.check(ctx)
}

// watchesStore reports whether this node is a watcher of the store.
func (n *Node) watchesStore() bool {
	return n.joinAttempted.Load() && n.watchRank.Load() < sdjoin.WatchersPerDataCentre
}

// checkConfig finds out whether the configuration in force is the newest, from the store
// if this node watches it and from watchers otherwise, and applies a newer one. Only one check
// runs at a time.
func (n *Node) checkConfig(ctx context.Context) {
	var err error
	switch {
	case !n.watchesStore():
		err = n.askWatchers(ctx)
	case n.clock.Now().Sub(n.checkReadAt) >= minReadInterval:
		n.checkReadAt = n.clock.Now()
		err = n.checkAtStore(ctx)
	}
	if err != nil {
		n.log.Request("configuration not checked", "error", err)
	}
}

// checkAtStore reads the configuration from the store and applies it if it is newer.
func (n *Node) checkAtStore(ctx context.Context) error {
	startedAt := n.clock.Now()
	object, err := n.store.Get(ctx, platform.ConfigKind, platform.ConfigName)
	n.metrics.countStoreCall(err)
	if err != nil {
		return fmt.Errorf("read configuration: %w", err)
	}
	return n.callControl(ctx, func(c *controlState) {
		n.applyConfig(c, object.Value, "store")
		n.recordRead(c, startedAt, startedAt)
	})
}

// askWatchers asks the watchers of this data centre whether they have a newer
// configuration, all at once since one may be unresponsive or cut off from the store, and
// waits for the first answer that is not outdated.
func (n *Node) askWatchers(ctx context.Context) error {
	var watchers []savorydeal.Member
	err := n.callControl(ctx, func(c *controlState) { watchers = watchersOf(c.members, n.member()) })
	if err != nil {
		return fmt.Errorf("ask watchers: %w", err)
	}
	results := make(chan error, len(watchers))
	for _, watcher := range watchers {
		go func() { results <- n.askWatcher(ctx, watcher.PeerAddress) }()
	}
	err = errors.New("no watcher is known")
	for range watchers {
		select {
		case err = <-results:
		case <-ctx.Done():
			return fmt.Errorf("ask watchers: %w", ctx.Err())
		}
		if err == nil {
			return nil
		}
	}
	return err
}

// watchersOf returns the other members of a data centre that watch the store.
func watchersOf(members []savorydeal.Member, self savorydeal.Member) []savorydeal.Member {
	var watchers []savorydeal.Member
	for _, member := range members {
		if member.Node != self.Node && member.Live() && member.DataCentre == self.DataCentre &&
			sdjoin.Rank(members, member) < sdjoin.WatchersPerDataCentre {
			watchers = append(watchers, member)
		}
	}
	return watchers
}

// askWatcher asks one node for its version and the time of its confirmation, and fetches
// its configuration if that is newer.
func (n *Node) askWatcher(ctx context.Context, address string) error {
	startedAt := n.clock.Now()
	text, err := n.callForBody(ctx, address, configCheckPath)
	if err != nil {
		return err
	}
	encoded, err := strconv.ParseUint(string(bytes.TrimSpace(text)), 10, 64)
	if err != nil {
		return fmt.Errorf("decode version of %s: %w", address, err)
	}
	report := decodeConfigReport(encoded)
	newer := false
	err = n.callControl(ctx, func(c *controlState) { newer = report.version > c.config.Version })
	if err != nil {
		return fmt.Errorf("compare version: %w", err)
	}
	var config []byte
	if newer {
		if config, err = n.callForBody(ctx, address, configPath); err != nil {
			return err
		}
	}
	behind := false
	err = n.callControl(ctx, func(c *controlState) {
		if newer {
			n.applyConfig(c, config, address)
		}
		if behind = report.version < c.config.Version; !behind {
			n.recordReport(c, startedAt.Add(-report.age))
		}
	})
	if err == nil && (behind || report.age > n.configApply()) {
		err = fmt.Errorf("answer of %s is outdated: version %d, confirmed %v before", address, report.version, report.age)
	}
	return err
}

// callForBody returns the body of another node's answer to a control call.
func (n *Node) callForBody(ctx context.Context, address, path string) ([]byte, error) {
	answer, err := n.callPeer(ctx, address, http.MethodGet, path, nil)
	if err != nil {
		return nil, fmt.Errorf("call %s of %s: %w", path, address, err)
	}
	if answer.Status != http.StatusOK || answer.Remainder != nil {
		closeRemainder(answer)
		return nil, fmt.Errorf("call %s of %s: answer with status %d", path, address, answer.Status)
	}
	return answer.Body, nil
}

// answerConfigCheck returns the version in force here and the age of its confirmation. A
// watcher reads the store first if it can do so in time.
func (n *Node) answerConfigCheck(ctx context.Context) []byte {
	if n.watchesStore() {
		waitCtx, cancel := context.WithTimeout(ctx, checkAnswerTimeout)
		n.configCheck.wait(waitCtx)
		cancel()
	}
	var report configReport
	_ = n.callControl(ctx, func(c *controlState) {
		report = configReport{version: c.config.Version, age: n.clock.Now().Sub(c.confirmed.At)}
	})
	return strconv.AppendUint(nil, report.encode(), 10)
}
