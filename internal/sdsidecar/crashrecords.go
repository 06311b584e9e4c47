package sdsidecar

import (
	"cmp"
	"context"
	"fmt"
	"net/http"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/savorydeal/savorydeal"
	"github.com/savorydeal/savorydeal/internal/sdpeerpb"
	"github.com/savorydeal/savorydeal/internal/sdpoison"
	"github.com/savorydeal/savorydeal/internal/sdwire"
)

// A node that has just started fetches the crash records of its service, since it would
// let requests through that the other nodes block. It asks the node that has run longest
// and, until one has given a complete list, the next ones, after crashFetchInterval, which
// doubles with each node asked. The list of a node that is still asking is incomplete:
// nodes that start together would otherwise believe each other that there are no records.
// After crashFetchTime, lists count as complete.
const (
	crashFetchInterval = 50 * time.Millisecond
	crashFetchTime     = 5 * time.Second
)

func (n *Node) runCrashFetch(ctx context.Context) error {
	interval := crashFetchInterval
	for asked := 0; ctx.Err() == nil && !n.crashRecordsComplete(); n.sleep(ctx, interval) {
		var members []savorydeal.Member
		_ = n.callControl(ctx, func(c *controlState) { members = n.serviceMembers(c) })
		if len(members) == 0 {
			continue
		}
		slices.SortStableFunc(members, func(a, b savorydeal.Member) int { return cmp.Compare(a.Generation, b.Generation) })
		address := members[asked%len(members)].PeerAddress
		asked++
		interval *= 2
		if err := n.fetchCrashRecords(ctx, address); err != nil {
			n.log.Info("crash records not fetched", "peer", address, "error", err)
		}
	}
	<-ctx.Done()
	return nil
}

// crashRecordsComplete reports whether this node has all crash records of its service
// that it can get.
func (n *Node) crashRecordsComplete() bool {
	return n.crashesFetched.Load() || n.clock.Now().Sub(n.started) >= crashFetchTime
}

// serviceMembers returns the other live nodes of this node's service.
func (n *Node) serviceMembers(c *controlState) []savorydeal.Member {
	var members []savorydeal.Member
	for _, member := range c.members {
		if member.Node != n.self && member.Live() && member.Service == n.settings.Service {
			members = append(members, member)
		}
	}
	return members
}

// fetchCrashRecords adds the crash records of another node to those of this one.
func (n *Node) fetchCrashRecords(ctx context.Context, address string) error {
	answer, err := n.callPeer(ctx, address, http.MethodGet, crashesPath, nil)
	if err != nil {
		return fmt.Errorf("request crash records: %w", err)
	}
	if answer.Status != http.StatusOK || answer.Remainder != nil {
		closeRemainder(answer)
		return fmt.Errorf("answer with status %d holds no crash records", answer.Status)
	}
	var message sdpeerpb.Poison
	if err := proto.Unmarshal(answer.Body, &message); err != nil {
		return fmt.Errorf("decode crash records: %w", err)
	}
	now := n.clock.Now()
	records := make([]sdpoison.Record, 0, len(message.GetRecords()))
	for _, record := range message.GetRecords() {
		records = append(records, sdwire.DecodeCrashRecord(record, now))
	}
	n.poison.Import(records)
	if !message.GetIncomplete() {
		n.crashesFetched.Store(true)
	}
	if len(records) > 0 {
		n.log.Info("crash records fetched", "peer", address, "records", len(records), "incomplete", message.GetIncomplete())
	}
	return nil
}

// encodeCrashRecords encodes this node's crash records for a node that has just started.
func (n *Node) encodeCrashRecords() []byte {
	now := n.clock.Now()
	message := &sdpeerpb.Poison{Incomplete: !n.crashRecordsComplete()}
	for _, record := range n.poison.Export() {
		message.Records = append(message.Records, sdwire.EncodeCrashRecord(record, now))
	}
	encoded, err := proto.Marshal(message)
	if err != nil {
		n.log.Error("crash records not encoded", "error", err)
	}
	return encoded
}
