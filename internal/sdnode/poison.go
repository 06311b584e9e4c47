package sdnode

import (
	"context"
	"sync"
	"time"

	"github.com/savorydeal/savorydeal"
	"github.com/savorydeal/savorydeal/internal/sdlink"
	"github.com/savorydeal/savorydeal/internal/sdpeerpb"
	"github.com/savorydeal/savorydeal/internal/sdpoison"
	"github.com/savorydeal/savorydeal/internal/sdserve"
)

const (
	// kindNotify is a stream with one message. It is answered once the message is
	// applied.
	kindNotify sdlink.Kind = "tell"
	// notifyTimeout bounds the notification of other nodes. The answer to a call
	// whose target crashed waits for it.
	notifyTimeout = 200 * time.Millisecond
	// notifyWorkers bounds the nodes that are notified at the same time.
	notifyWorkers = 32
	// poisonExpiryInterval is how often expired entries are deleted.
	poisonExpiryInterval = time.Minute
)

// wirePoison makes this node's server use the same table as its dispatcher. Only
// nodes of a request's service can run the request, so only they are notified of
// its crashes.
func (n *Node) wirePoison() {
	n.server.SetPoisonHooks(sdserve.PoisonHooks{
		Check: func(now time.Time, call savorydeal.Call) *savorydeal.Refusal {
			return n.poison.Check(now, sdpoison.Fingerprint(call.Fingerprint))
		},
		OnCrash:   n.targetCrashed,
		OnSuccess: n.targetAnswered,
	})
	n.links.Handle(kindNotify, n.serveNotify)
	n.metrics.Gauge("poison_requests", "Requests suspected or blocked for crashing targets.", func() float64 {
		return float64(len(n.Poison()))
	})
}

func (n *Node) runPoisonExpiry(ctx context.Context) error {
	for {
		select {
		case <-n.clock.After(poisonExpiryInterval):
			n.poison.Expire(n.clock.Now())
		case <-ctx.Done():
			return nil
		}
	}
}

func (n *Node) serveNotify(_ context.Context, stream *sdlink.Stream) {
	_ = stream.SetReadDeadline(time.Now().Add(notifyTimeout))
	var message sdpeerpb.ControlMessage
	if err := stream.Read(&message); err != nil {
		return
	}
	if poison := message.GetPoison(); poison != nil {
		n.applyPoison(poison)
	}
}

// targetCrashed records that the target crashed during a call, and notifies the
// nodes of the service before the caller gets an answer.
func (n *Node) targetCrashed(call savorydeal.Call, ranFor time.Duration) {
	crash := sdpoison.Crash{
		Fingerprint: sdpoison.Fingerprint(call.Fingerprint),
		Service:     call.Service,
		Method:      call.Method,
		Path:        call.Path,
		Node:        n.self,
		RanFor:      ranFor,
	}
	if call.Fingerprint == 0 || !n.poison.RecordCrash(n.clock.Now(), crash) {
		return
	}
	n.log.Warn("target crashed during a call", "fingerprint", crash.Fingerprint.String(), "service", call.Service,
		"method", call.Method, "path", call.Path)
	n.notifyNodes(context.Background(), call.Service, &sdpeerpb.Poison{Crashes: []*sdpeerpb.PoisonCrash{{
		Fingerprint: call.Fingerprint,
		Service:     crash.Service,
		Method:      crash.Method,
		Path:        crash.Path,
		Node:        string(crash.Node),
		RanForNs:    int64(crash.RanFor),
	}}})
}

// targetAnswered deletes the entry of a request that was answered, at every node of
// its service.
func (n *Node) targetAnswered(call savorydeal.Call) {
	if !n.poison.RecordSuccess(sdpoison.Fingerprint(call.Fingerprint)) {
		return
	}
	go n.notifyNodes(context.Background(), call.Service, &sdpeerpb.Poison{Released: []uint64{call.Fingerprint}})
}

// notifyNodes sends a poison update to the alive nodes of a service, "" for all
// services. It returns the number of nodes that received it and those that did not.
func (n *Node) notifyNodes(ctx context.Context, service string, poison *sdpeerpb.Poison) (notified int, unreachable []savorydeal.NodeID) {
	ctx, cancel := context.WithTimeout(ctx, notifyTimeout)
	defer cancel()
	message := &sdpeerpb.ControlMessage{Message: &sdpeerpb.ControlMessage_Poison{Poison: poison}}
	var mu sync.Mutex
	var group sync.WaitGroup
	workers := make(chan struct{}, notifyWorkers)
	for _, member := range n.Members()[1:] {
		if member.State != savorydeal.MemberAlive || service != "" && member.Service != service {
			continue
		}
		workers <- struct{}{}
		group.Add(1)
		go func() {
			defer group.Done()
			defer func() { <-workers }()
			ok := n.notifyNode(ctx, member.PeerAddress, message)
			mu.Lock()
			defer mu.Unlock()
			if ok {
				notified++
				return
			}
			unreachable = append(unreachable, member.Node)
		}()
	}
	group.Wait()
	return notified, unreachable
}

// notifyNode reports whether the node at the address has applied the message.
func (n *Node) notifyNode(ctx context.Context, address string, message *sdpeerpb.ControlMessage) bool {
	stream, err := n.links.Open(ctx, address, kindNotify)
	if err != nil {
		return false
	}
	defer stream.Abort()
	_ = stream.SetReadDeadline(time.Now().Add(notifyTimeout))
	if err := stream.Send(message); err != nil {
		return false
	}
	return stream.ReadOpen() == nil
}

func (n *Node) applyPoison(poison *sdpeerpb.Poison) {
	now := n.clock.Now()
	for _, crash := range poison.GetCrashes() {
		n.poison.RecordCrash(now, sdpoison.Crash{
			Fingerprint: sdpoison.Fingerprint(crash.GetFingerprint()),
			Service:     crash.GetService(),
			Method:      crash.GetMethod(),
			Path:        crash.GetPath(),
			Node:        savorydeal.NodeID(crash.GetNode()),
			RanFor:      time.Duration(crash.GetRanForNs()),
		})
	}
	for _, fingerprint := range poison.GetReleased() {
		n.poison.Release(sdpoison.Fingerprint(fingerprint))
	}
}

// Poison lists the requests that have crashed targets.
func (n *Node) Poison() []sdpoison.Entry {
	return n.poison.List(n.clock.Now())
}

// ReleasePoison unblocks a request at this node and at every node that can be
// reached. It returns the number of nodes that have unblocked it, including this
// one, and the unreachable ones.
func (n *Node) ReleasePoison(ctx context.Context, fingerprint sdpoison.Fingerprint) (int, []savorydeal.NodeID) {
	n.poison.Release(fingerprint)
	notified, unreachable := n.notifyNodes(ctx, "", &sdpeerpb.Poison{Released: []uint64{uint64(fingerprint)}})
	return notified + 1, unreachable
}
