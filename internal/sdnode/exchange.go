package sdnode

import (
	"context"
	"sync"
	"time"

	"github.com/savorydeal/savorydeal"
	"github.com/savorydeal/savorydeal/internal/sdlink"
	"github.com/savorydeal/savorydeal/internal/sdoperator"
	"github.com/savorydeal/savorydeal/internal/sdpeerpb"
	"github.com/savorydeal/savorydeal/internal/sdrecord"
	"github.com/savorydeal/savorydeal/internal/sdwire"
)

const (
	exchangeTimeout = time.Second
	// spreadFanOut is the number of nodes a new policy is pushed to at once.
	spreadFanOut   = 4
	inForceWorkers = 16
)

// exchangeMessage is this node's view of members and the digest of its
// policies.
func (n *Node) exchangeMessage(c *control) *sdpeerpb.ControlMessage {
	now := n.clock.Now()
	members := &sdpeerpb.Members{PolicyDigest: c.store.Digest()}
	for _, member := range c.roster.Members() {
		members.Members = append(members.Members, sdwire.EncodeMember(member, now))
	}
	return &sdpeerpb.ControlMessage{Message: &sdpeerpb.ControlMessage_Members{Members: members}}
}

func policiesMessage(objects []savorydeal.Object) *sdpeerpb.ControlMessage {
	policies := &sdpeerpb.Policies{}
	for _, object := range objects {
		policies.Policies = append(policies.Policies, &sdpeerpb.Policy{
			Service: object.Name,
			Version: object.Version,
			Deleted: object.Deleted,
			Value:   object.Value,
		})
	}
	return &sdpeerpb.ControlMessage{Message: &sdpeerpb.ControlMessage_Policies{Policies: policies}}
}

func decodePolicies(policies *sdpeerpb.Policies) []savorydeal.Object {
	objects := make([]savorydeal.Object, 0, len(policies.GetPolicies()))
	for _, policy := range policies.GetPolicies() {
		objects = append(objects, savorydeal.Object{
			Kind:    sdrecord.KindPolicy,
			Name:    policy.GetService(),
			Version: policy.GetVersion(),
			Deleted: policy.GetDeleted(),
			Value:   policy.GetValue(),
		})
	}
	return objects
}

// exchange sends a message to a node and takes its answers.
func (n *Node) exchange(ctx context.Context, address string, message *sdpeerpb.ControlMessage) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	stream, err := n.links.Open(ctx, address, sdlink.KindControl)
	if err != nil {
		n.log.Debug("exchange failed", "peer", address, "error", err)
		return
	}
	defer stream.Abort()
	_ = stream.SetReadDeadline(time.Now().Add(exchangeTimeout))
	if err := stream.Send(message); err != nil {
		return
	}
	if err := stream.ReadOpen(); err != nil {
		n.log.Debug("exchange failed", "peer", address, "error", err)
		return
	}
	for {
		var reply sdpeerpb.ControlMessage
		if err := stream.Read(&reply); err != nil {
			return
		}
		n.take(ctx, &reply)
	}
}

// serveControl answers one exchange.
func (n *Node) serveControl(ctx context.Context, stream *sdlink.Stream) {
	_ = stream.SetReadDeadline(time.Now().Add(exchangeTimeout))
	var message sdpeerpb.ControlMessage
	if err := stream.Read(&message); err != nil {
		return
	}
	for _, reply := range n.take(ctx, &message) {
		if err := stream.Write(reply); err != nil {
			return
		}
	}
}

// take takes one message and returns the answers to it.
func (n *Node) take(ctx context.Context, message *sdpeerpb.ControlMessage) []*sdpeerpb.ControlMessage {
	switch kind := message.GetMessage().(type) {
	case *sdpeerpb.ControlMessage_Members:
		return n.takeMembers(ctx, kind.Members)
	case *sdpeerpb.ControlMessage_Policies:
		n.apply(ctx, decodePolicies(kind.Policies))
	case *sdpeerpb.ControlMessage_ConfigQuery:
		return []*sdpeerpb.ControlMessage{n.configReply(ctx, kind.ConfigQuery)}
	}
	return nil
}

func (n *Node) takeMembers(ctx context.Context, members *sdpeerpb.Members) []*sdpeerpb.ControlMessage {
	var replies []*sdpeerpb.ControlMessage
	err := n.do(ctx, func(c *control) {
		now := n.clock.Now()
		decoded := make([]savorydeal.Member, 0, len(members.GetMembers()))
		for _, member := range members.GetMembers() {
			decoded = append(decoded, sdwire.DecodeMember(member, now))
		}
		if c.roster.Merge(now, decoded) {
			n.publishMembers(c)
		}
		replies = append(replies, n.exchangeMessage(c))
		if members.GetPolicyDigest() != c.store.Digest() {
			replies = append(replies, policiesMessage(c.store.Objects()))
		}
	})
	if err != nil {
		// The event may still run and write its replies.
		return nil
	}
	return replies
}

// spread pushes new policies to a few nodes at once. Nodes that it misses
// learn of them by the digest in their next exchange.
func (n *Node) spread(ctx context.Context, c *control, objects []savorydeal.Object) {
	message := policiesMessage(objects)
	members := c.roster.Members()[1:]
	n.random.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	sent := 0
	for _, member := range members {
		if member.State != savorydeal.MemberAlive {
			continue
		}
		go n.exchange(ctx, member.PeerAddress, message)
		sent++
		if sent == spreadFanOut {
			return
		}
	}
}

func (n *Node) configReply(ctx context.Context, query *sdpeerpb.ConfigQuery) *sdpeerpb.ControlMessage {
	reply := &sdpeerpb.ConfigReply{}
	err := n.do(ctx, func(c *control) {
		entry, ok := c.store.Entry(query.GetService())
		if ok {
			reply.Version = entry.InForce.Version
			reply.Rejected = entry.Rejected != ""
		}
	})
	if err != nil {
		reply = &sdpeerpb.ConfigReply{}
	}
	return &sdpeerpb.ControlMessage{Message: &sdpeerpb.ControlMessage_ConfigReply{ConfigReply: reply}}
}

// InForce asks every node that is alive which version it runs.
func (n *Node) InForce(ctx context.Context, service string, version int64) sdoperator.InForce {
	var mu sync.Mutex
	var wait sync.WaitGroup
	var seen sdoperator.InForce
	slots := make(chan struct{}, inForceWorkers)
	for _, member := range n.Members() {
		if member.State != savorydeal.MemberAlive {
			continue
		}
		wait.Add(1)
		slots <- struct{}{}
		go func() {
			defer wait.Done()
			defer func() { <-slots }()
			runs, ok := n.askVersion(ctx, member, service)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case !ok:
				seen.Unreachable = append(seen.Unreachable, member.Node)
			case runs >= version:
				seen.InForce++
			default:
				seen.Lagging = append(seen.Lagging, member.Node)
			}
		}()
	}
	wait.Wait()
	return seen
}

func (n *Node) askVersion(ctx context.Context, member savorydeal.Member, service string) (int64, bool) {
	query := &sdpeerpb.ConfigQuery{Service: service}
	if member.Node == n.self {
		return n.configReply(ctx, query).GetConfigReply().GetVersion(), true
	}
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	stream, err := n.links.Open(ctx, member.PeerAddress, sdlink.KindControl)
	if err != nil {
		return 0, false
	}
	defer stream.Abort()
	_ = stream.SetReadDeadline(time.Now().Add(exchangeTimeout))
	message := &sdpeerpb.ControlMessage{Message: &sdpeerpb.ControlMessage_ConfigQuery{ConfigQuery: query}}
	if err := stream.Send(message); err != nil {
		return 0, false
	}
	if err := stream.ReadOpen(); err != nil {
		return 0, false
	}
	var reply sdpeerpb.ControlMessage
	if err := stream.Read(&reply); err != nil || reply.GetConfigReply() == nil {
		return 0, false
	}
	return reply.GetConfigReply().GetVersion(), true
}
