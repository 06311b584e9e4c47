package sdnode

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/savorydeal/savorydeal"
	"github.com/savorydeal/savorydeal/internal/sdconfig"
	"github.com/savorydeal/savorydeal/internal/sdgossip"
	"github.com/savorydeal/savorydeal/internal/sdlink"
	"github.com/savorydeal/savorydeal/internal/sdpeerpb"
	"github.com/savorydeal/savorydeal/internal/sdwire"
)

const (
	// exchangeTimeout bounds one exchange of messages with another node.
	exchangeTimeout = time.Second
	// joinTimeout bounds the exchange of full views when a node joins.
	joinTimeout = 5 * time.Second
	// membersPerMessage and objectBytesPerMessage keep messages well below the
	// size limit of a link.
	membersPerMessage     = 1000
	objectBytesPerMessage = 256 << 10
)

// memberMessages encodes this node's view as messages of bounded size.
func (n *Node) memberMessages(c *control) []*sdpeerpb.ControlMessage {
	now := n.clock.Now()
	var messages []*sdpeerpb.ControlMessage
	members := &sdpeerpb.Members{PolicyDigest: c.store.Digest()}
	flush := func() {
		messages = append(messages, &sdpeerpb.ControlMessage{Message: &sdpeerpb.ControlMessage_Members{Members: members}})
	}
	for _, member := range c.roster.Members() {
		if len(members.GetMembers()) == membersPerMessage {
			flush()
			members = &sdpeerpb.Members{PolicyDigest: c.store.Digest()}
		}
		members.Members = append(members.Members, sdwire.EncodeMember(member, now))
	}
	flush()
	return messages
}

// objectMessages encodes objects as messages of bounded size.
func objectMessages(objects []savorydeal.Object) []*sdpeerpb.ControlMessage {
	var messages []*sdpeerpb.ControlMessage
	for len(objects) > 0 {
		count, size := 0, 0
		for count < len(objects) && (count == 0 || size+len(objects[count].Value) < objectBytesPerMessage) {
			size += len(objects[count].Value)
			count++
		}
		messages = append(messages, &sdpeerpb.ControlMessage{Message: &sdpeerpb.ControlMessage_Policies{
			Policies: &sdpeerpb.Policies{Policies: sdgossip.EncodeObjects(objects[:count])},
		}})
		objects = objects[count:]
	}
	return messages
}

// join exchanges full views and configuration with the node at the address. It
// sends the first message of its own view and applies the full view of the other
// node.
func (n *Node) join(ctx context.Context, address string) {
	messages, err := doResult(ctx, n, n.memberMessages)
	if err != nil {
		return
	}
	// The rest of a large view reaches the other node by the comparisons of views.
	n.exchange(ctx, address, messages[0], joinTimeout)
}

// fetchObjects fetches objects from the node at the address and applies them.
func (n *Node) fetchObjects(ctx context.Context, address string, items []sdconfig.Item) {
	fetch := &sdpeerpb.ConfigFetch{}
	for _, item := range items {
		fetch.Objects = append(fetch.Objects, &sdpeerpb.ObjectName{Kind: item.Key.Kind, Name: item.Key.Name})
	}
	message := &sdpeerpb.ControlMessage{Message: &sdpeerpb.ControlMessage_ConfigFetch{ConfigFetch: fetch}}
	n.exchange(ctx, address, message, exchangeTimeout)
}

// exchange sends a message to the node at the address and applies its replies.
func (n *Node) exchange(ctx context.Context, address string, message *sdpeerpb.ControlMessage, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	stream, err := n.links.Open(ctx, address, sdlink.KindControl)
	if err != nil {
		n.log.Debug("exchange failed", "peer", address, "error", err)
		return
	}
	defer stream.Abort()
	_ = stream.SetReadDeadline(time.Now().Add(timeout))
	if err := stream.Send(message); err != nil {
		return
	}
	n.cluster.linkBytes.Add(int64(proto.Size(message)))
	if err := stream.ReadOpen(); err != nil {
		n.log.Debug("exchange failed", "peer", address, "error", err)
		return
	}
	for {
		var reply sdpeerpb.ControlMessage
		if err := stream.Read(&reply); err != nil {
			return
		}
		n.cluster.linkBytes.Add(int64(proto.Size(&reply)))
		n.handleReply(ctx, &reply)
	}
}

// handleReply applies a reply in an exchange that this node started.
func (n *Node) handleReply(ctx context.Context, reply *sdpeerpb.ControlMessage) {
	switch kind := reply.GetMessage().(type) {
	case *sdpeerpb.ControlMessage_Members:
		_ = n.do(ctx, func(c *control) {
			now := n.clock.Now()
			c.roster.MergeSnapshot(now, decodeMembers(kind.Members, now))
			n.publishMembers(c)
		})
	case *sdpeerpb.ControlMessage_Policies:
		n.apply(ctx, sdgossip.DecodeObjects(kind.Policies.GetPolicies()))
	case *sdpeerpb.ControlMessage_Poison:
		n.importCrashRecords(kind.Poison)
	}
}

func decodeMembers(members *sdpeerpb.Members, now time.Time) []savorydeal.Member {
	decoded := make([]savorydeal.Member, 0, len(members.GetMembers()))
	for _, member := range members.GetMembers() {
		decoded = append(decoded, sdwire.DecodeMember(member, now))
	}
	return decoded
}

// serveControl serves one exchange that another node started.
func (n *Node) serveControl(ctx context.Context, stream *sdlink.Stream) {
	_ = stream.SetReadDeadline(time.Now().Add(exchangeTimeout))
	var message sdpeerpb.ControlMessage
	if err := stream.Read(&message); err != nil {
		return
	}
	n.cluster.linkBytes.Add(int64(proto.Size(&message)))
	for _, reply := range n.handleMessage(ctx, &message) {
		n.cluster.linkBytes.Add(int64(proto.Size(reply)))
		if err := stream.Write(reply); err != nil {
			return
		}
	}
}

// handleMessage applies the message of an exchange and returns the replies.
func (n *Node) handleMessage(ctx context.Context, message *sdpeerpb.ControlMessage) []*sdpeerpb.ControlMessage {
	switch kind := message.GetMessage().(type) {
	case *sdpeerpb.ControlMessage_Members:
		return n.answerMembers(ctx, kind.Members)
	case *sdpeerpb.ControlMessage_Policies:
		n.apply(ctx, sdgossip.DecodeObjects(kind.Policies.GetPolicies()))
	case *sdpeerpb.ControlMessage_ConfigFetch:
		return n.answerFetch(ctx, kind.ConfigFetch)
	case *sdpeerpb.ControlMessage_CrashRecordsFetch:
		return n.answerCrashRecords(kind.CrashRecordsFetch.GetService())
	}
	return nil
}

// answerMembers merges the sender's view and returns this node's view, followed by
// all objects if the digests differ.
func (n *Node) answerMembers(ctx context.Context, members *sdpeerpb.Members) []*sdpeerpb.ControlMessage {
	replies, _ := doResult(ctx, n, func(c *control) []*sdpeerpb.ControlMessage {
		now := n.clock.Now()
		c.roster.Merge(now, decodeMembers(members, now))
		n.publishMembers(c)
		replies := n.memberMessages(c)
		if members.GetPolicyDigest() != c.store.Digest() {
			replies = append(replies, objectMessages(c.store.Objects())...)
		}
		return replies
	})
	return replies
}

func (n *Node) answerFetch(ctx context.Context, fetch *sdpeerpb.ConfigFetch) []*sdpeerpb.ControlMessage {
	objects, _ := doResult(ctx, n, func(c *control) []savorydeal.Object {
		var objects []savorydeal.Object
		for _, name := range fetch.GetObjects() {
			if entry, ok := c.store.Entry(sdconfig.Key{Kind: name.GetKind(), Name: name.GetName()}); ok {
				objects = append(objects, entry.Newest)
			}
		}
		return objects
	})
	return objectMessages(objects)
}
