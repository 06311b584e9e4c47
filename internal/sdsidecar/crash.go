package sdsidecar

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/savorydeal/savorydeal"
	"github.com/savorydeal/savorydeal/internal/sdhttp"
	"github.com/savorydeal/savorydeal/internal/sdpeerheader"
	"github.com/savorydeal/savorydeal/internal/sdpeerpb"
	"github.com/savorydeal/savorydeal/internal/sdpoison"
)

const (
	crashesPath = "/crashes"
	// crashCheckDelay is the time in which runs whose connections break at about the
	// same time are collected, so that one connection attempt checks the target for
	// all of them.
	crashCheckDelay = 5 * time.Millisecond
	// maxConcurrentReports is the number of nodes to which a crash report is sent at
	// the same time.
	maxConcurrentReports = 8
	// crashExpireInterval is the time between two removals of expired crash records.
	crashExpireInterval = time.Minute
)

// crashCollector collects runs whose connection broke without an answer. If the
// target's address refuses connections afterwards, the target crashed while these
// runs were in progress.
type crashCollector struct {
	mu         sync.Mutex
	brokenRuns []sdpoison.Crash
}

// add adds a run whose connection broke. It reports whether the run is the first of
// its group.
func (c *crashCollector) add(crash sdpoison.Crash) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.brokenRuns = append(c.brokenRuns, crash)
	return len(c.brokenRuns) == 1
}

// takeAll returns the collected runs and empties the collector.
func (c *crashCollector) takeAll() []sdpoison.Crash {
	c.mu.Lock()
	defer c.mu.Unlock()
	brokenRuns := c.brokenRuns
	c.brokenRuns = nil
	return brokenRuns
}

// fingerprintOf returns the fingerprint of a request; requests that differ only in
// their ID have the same one. Those of different calling services do not: a target may run
// one of them and crash on the other.
func fingerprintOf(call sdpeerheader.Call, request *sdhttp.Request) sdpoison.Fingerprint {
	identity := savorydeal.Call{Service: call.Service, Method: request.Method, Path: request.Target, ContentLength: int64(len(request.Body))}
	return sdpoison.FingerprintOf(identity, call.CallerService, request.Body)
}

// handleBrokenRun handles a run whose connection ended without an answer: after
// crashCheckDelay it checks whether the target has crashed.
func (n *Node) handleBrokenRun(call sdpeerheader.Call, request *sdhttp.Request, ranFor time.Duration) {
	first := n.crashes.add(sdpoison.Crash{
		Fingerprint: fingerprintOf(call, request), Service: call.Service, Method: request.Method, Path: request.Target,
		Node: n.self, RanFor: ranFor,
	})
	if !first {
		return
	}
	go func() {
		time.Sleep(crashCheckDelay)
		brokenRuns := n.crashes.takeAll()
		if n.targetRefusesConnections() {
			n.recordTargetCrash(brokenRuns)
		}
	}()
}

// targetRefusesConnections reports whether nothing listens at the target's address.
func (n *Node) targetRefusesConnections() bool {
	conn, err := net.DialTimeout("tcp", n.settings.TargetAddress, targetDialTimeout)
	if err == nil {
		_ = conn.Close() // an error loses no data: nothing was sent
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// recordTargetCrash records the runs that were in progress when the target crashed
// and reports them to the nodes of the service. A request that is involved in two
// crashes is blocked.
func (n *Node) recordTargetCrash(brokenRuns []sdpoison.Crash) {
	message := &sdpeerpb.Poison{}
	for _, crash := range brokenRuns {
		if !n.poison.RecordCrash(n.clock.Now(), crash) {
			continue
		}
		n.log.Request("target crashed during a run", "fingerprint", crash.Fingerprint, "service", crash.Service,
			"method", crash.Method, "path", crash.Path, "ran_for", crash.RanFor)
		message.Crashes = append(message.Crashes, &sdpeerpb.PoisonCrash{
			Fingerprint: uint64(crash.Fingerprint), Service: crash.Service, Method: crash.Method, Path: crash.Path,
			Node: string(crash.Node), RanForNs: int64(crash.RanFor),
		})
	}
	if len(message.GetCrashes()) > 0 {
		n.notifyService(message)
	}
}

// recordAnsweredRun clears the crashes of a request that a target has answered, since
// the request does not crash every target that runs it.
func (n *Node) recordAnsweredRun(call sdpeerheader.Call, request *sdhttp.Request) {
	if n.poison.Empty() {
		return
	}
	fingerprint := fingerprintOf(call, request)
	if n.poison.RecordSuccess(fingerprint) {
		go n.notifyService(&sdpeerpb.Poison{Released: []uint64{uint64(fingerprint)}})
	}
}

// isBlocked reports whether a request is blocked because it has crashed too many
// targets.
func (n *Node) isBlocked(call sdpeerheader.Call, request *sdhttp.Request) bool {
	return !n.poison.Empty() && n.poison.Check(n.clock.Now(), fingerprintOf(call, request)) != nil
}

// notifyService sends a crash report to the other nodes of this node's service, so
// that they block requests that crash its targets.
func (n *Node) notifyService(message *sdpeerpb.Poison) {
	body, err := proto.Marshal(message)
	if err != nil {
		n.log.Error("crash report not encoded", "error", err)
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), exchangeTimeout)
	defer cancel()
	var members []savorydeal.Member
	err = n.callControl(ctx, func(c *controlState) { members = n.serviceMembers(c) })
	if err != nil {
		n.log.Warn("crash report not sent", "error", err)
		return
	}
	semaphore := make(chan struct{}, maxConcurrentReports)
	for _, member := range members {
		semaphore <- struct{}{}
		go func() {
			defer func() { <-semaphore }()
			if _, err := n.callPeer(ctx, member.PeerAddress, http.MethodPost, crashesPath, body); err != nil {
				n.log.Info("crash report not delivered", "peer", member.PeerAddress, "error", err)
			}
		}()
	}
	for range cap(semaphore) {
		semaphore <- struct{}{}
	}
}

// handleCrashReport records the crashes and releases that another node reports.
func (n *Node) handleCrashReport(body []byte) error {
	var message sdpeerpb.Poison
	if err := proto.Unmarshal(body, &message); err != nil {
		n.log.Warn("crash report not decoded", "error", err)
		return err
	}
	for _, crash := range message.GetCrashes() {
		n.poison.RecordCrash(n.clock.Now(), sdpoison.Crash{
			Fingerprint: sdpoison.Fingerprint(crash.GetFingerprint()), Service: crash.GetService(), Method: crash.GetMethod(),
			Path: crash.GetPath(), Node: savorydeal.NodeID(crash.GetNode()), RanFor: time.Duration(crash.GetRanForNs()),
		})
	}
	for _, fingerprint := range message.GetReleased() {
		n.poison.Release(sdpoison.Fingerprint(fingerprint))
	}
	return nil
}

func (n *Node) runCrashExpiry(ctx context.Context) error {
	for ctx.Err() == nil {
		n.sleep(ctx, crashExpireInterval)
		n.poison.Expire(n.clock.Now())
	}
	return nil
}
