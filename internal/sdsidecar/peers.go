package sdsidecar

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/savorydeal/savorydeal"
	"github.com/savorydeal/savorydeal/internal/sdhttp"
	"github.com/savorydeal/savorydeal/internal/sdprobe"
)

const (
	// peerDialTimeout bounds the time to connect to another node. The network
	// latency between data centres of one region is a few milliseconds.
	peerDialTimeout = 400 * time.Millisecond
	// peerPoolIdleTimeout is how long an unused connection is kept. It is shorter
	// than peerIdleTimeout, so that no request is sent on a connection that the
	// other node is closing.
	peerPoolIdleTimeout = 20 * time.Second
	// probeTimeout is the time in which another node must answer a probe. It allows
	// for one TCP retransmission of a lost packet, which takes about 200 ms. Latency
	// objectives start at 150 ms.
	probeTimeout = 400 * time.Millisecond
	// unresponsiveProbeInterval is the time between two probes of an unresponsive
	// node.
	unresponsiveProbeInterval = 300 * time.Millisecond
	alivePath                 = "/alive"
)

// errUnresponsive is the cause with which the contexts of attempts are cancelled when the
// target's node has become unresponsive.
var errUnresponsive = errors.New("node is unresponsive")

// peer holds the connections to another node and the state of its health probes.
type peer struct {
	address string
	pool    *sdhttp.Pool

	mu           sync.Mutex
	prober       sdprobe.Prober
	lastReceived time.Time
	unresponsive bool
	lastProbed   time.Time
	// attempts are the attempts in progress that may be repeated at another target
	// if this node becomes unresponsive.
	attempts map[*attemptContext]struct{}
}

// attemptContext is the cancelable context of one attempt.
type attemptContext struct {
	context.Context
	cancel context.CancelCauseFunc
}

// beginAttempt registers an attempt and returns its context.
func (p *peer) beginAttempt(ctx context.Context, repeatable bool, now time.Time) *attemptContext {
	attempt := &attemptContext{}
	attempt.Context, attempt.cancel = context.WithCancelCause(ctx)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.prober.ExchangeStarted(now)
	if repeatable {
		p.attempts[attempt] = struct{}{}
	}
	return attempt
}

// endAttempt unregisters an attempt; answered is true if the node has answered it.
func (p *peer) endAttempt(attempt *attemptContext, answered bool, now time.Time) {
	attempt.cancel(nil)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.prober.ExchangeEnded()
	delete(p.attempts, attempt)
	if answered {
		p.lastReceived = now
	}
}

// attemptRemainder is the streamed part of an answer. Its attempt lasts until it is closed.
type attemptRemainder struct {
	io.ReadCloser
	end func()
}

// newAttemptRemainder returns a remainder that calls end once, when it is closed or ctx ends.
func newAttemptRemainder(ctx context.Context, remainder io.ReadCloser, end func()) *attemptRemainder {
	once := sync.OnceFunc(end)
	context.AfterFunc(ctx, once)
	return &attemptRemainder{ReadCloser: remainder, end: once}
}

// Close ends the attempt.
func (r *attemptRemainder) Close() error {
	err := r.ReadCloser.Close()
	r.end()
	return err
}

// check returns the action that is due now. ActionReplace means that the node has to be
// marked as unresponsive.
func (p *peer) check(now time.Time) sdprobe.Action {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.unresponsive {
		if now.Sub(p.lastProbed) < unresponsiveProbeInterval {
			return sdprobe.ActionNone
		}
		p.lastProbed = now
		return sdprobe.ActionProbe
	}
	return p.prober.Check(now, p.lastReceived)
}

// markUnresponsive marks the node as unresponsive and cancels its repeatable attempts.
func (p *peer) markUnresponsive(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.unresponsive, p.lastProbed = true, now
	for attempt := range p.attempts {
		attempt.cancel(errUnresponsive)
	}
}

// recordReceived records an answer of the node and reports whether the node was
// unresponsive until now.
func (p *peer) recordReceived(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastReceived = now
	wasUnresponsive := p.unresponsive
	p.unresponsive = false
	return wasUnresponsive
}

// peers holds the other nodes that this node has contacted, by peer address.
type peers struct {
	memory    *sdhttp.Memory
	conns     sdhttp.ConnLimit
	mu        sync.Mutex
	byAddress map[string]*peer
}

func (p *peers) init(maxConns int) {
	p.conns.Limit = maxConns
	p.conns.Reclaim = p.closeIdle
	p.byAddress = make(map[string]*peer)
}

func (p *peers) peer(address string) *peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	remote := p.byAddress[address]
	if remote == nil {
		remote = &peer{
			address: address, attempts: make(map[*attemptContext]struct{}), prober: sdprobe.Prober{Timeout: probeTimeout},
			pool: &sdhttp.Pool{Address: address, DialTimeout: peerDialTimeout, IdleTimeout: peerPoolIdleTimeout, Memory: p.memory, Conns: &p.conns},
		}
		p.byAddress[address] = remote
	}
	return remote
}

func (p *peers) all() []*peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := make([]*peer, 0, len(p.byAddress))
	for _, remote := range p.byAddress {
		all = append(all, remote)
	}
	return all
}

// closeIdle closes the idle connections to all nodes.
func (p *peers) closeIdle() {
	for _, remote := range p.all() {
		remote.pool.CloseIdle()
	}
}

// expire closes connections that have exceeded their idle timeout.
func (p *peers) expire(now time.Time) {
	for _, remote := range p.all() {
		remote.pool.Expire(now)
	}
}

// runProbes probes the nodes that have not answered for some time although attempts
// to them are in progress. A long call is not ended as long as its node answers probes.
func (n *Node) runProbes(ctx context.Context) error {
	tick := time.NewTicker(sdprobe.CheckInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return nil
		}
		now := n.clock.Now()
		for _, remote := range n.peers.all() {
			switch remote.check(now) {
			case sdprobe.ActionProbe:
				go n.probe(ctx, remote)
			case sdprobe.ActionReplace:
				n.log.Warn("node silent", "peer", remote.address, "quiet", sdprobe.QuietBeforeProbe+probeTimeout)
				remote.markUnresponsive(now)
				n.setUnresponsive(remote.address, true)
			case sdprobe.ActionNone:
			}
		}
	}
}

func (n *Node) probe(ctx context.Context, remote *peer) {
	request := &sdhttp.Request{
		Method: http.MethodGet, Host: remote.address, Target: alivePath, Header: http.Header{}, Control: true, Bytes: n.controlBytes(remote.address, alivePath),
	}
	_, err := remote.pool.Do(ctx, request, time.Now().Add(probeTimeout), false, acceptAny)
	if err != nil {
		n.log.Debug("probe not answered", "peer", remote.address, "error", err)
		return
	}
	if remote.recordReceived(n.clock.Now()) {
		n.log.Info("node responding again", "peer", remote.address)
		n.setUnresponsive(remote.address, false)
	}
}

func (n *Node) setUnresponsive(address string, unresponsive bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.balancer.SetUnresponsive(savorydeal.NodeID(address), unresponsive)
}
