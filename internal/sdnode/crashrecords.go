package sdnode

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/savorydeal/savorydeal"
	"github.com/savorydeal/savorydeal/internal/sdpeerpb"
	"github.com/savorydeal/savorydeal/internal/sdpoison"
	"github.com/savorydeal/savorydeal/internal/sdwire"
)

const (
	// crashFetchInterval is the time between the first two fetches of crash records. It
	// doubles with each fetch.
	crashFetchInterval = 50 * time.Millisecond
	// crashFetchTime is how long a node fetches crash records after its target's first
	// announcement.
	crashFetchTime = 5 * time.Second
	// recordsPerMessage keeps messages below the size limit of a link.
	recordsPerMessage = 1000
)

// runCrashFetch fetches the crash records of the service of this node's target, which the
// first announcement names: a node that has just started would let requests through that
// the other nodes block. It asks one node after the other, the longest running first, until
// one has given a complete list.
func (n *Node) runCrashFetch(ctx context.Context) error {
	service := n.Members()[0].Service
	for ; service == "" && ctx.Err() == nil; service = n.Members()[0].Service {
		n.sleep(ctx, crashFetchInterval)
	}
	deadline := n.clock.Now().Add(crashFetchTime)
	interval := crashFetchInterval
	for asked := 0; ctx.Err() == nil && !n.crashesFetched.Load() && n.clock.Now().Before(deadline); n.sleep(ctx, interval) {
		members := n.serviceMembers(service)
		if len(members) == 0 {
			continue
		}
		message := &sdpeerpb.ControlMessage{Message: &sdpeerpb.ControlMessage_CrashRecordsFetch{
			CrashRecordsFetch: &sdpeerpb.CrashRecordsFetch{Service: service},
		}}
		n.exchange(ctx, members[asked%len(members)].PeerAddress, message, exchangeTimeout)
		asked++
		interval *= 2
	}
	// A node that could get no complete list has what there is.
	n.crashesFetched.Store(true)
	<-ctx.Done()
	return nil
}

// serviceMembers returns the other live nodes of a service, the longest running first.
func (n *Node) serviceMembers(service string) []savorydeal.Member {
	var members []savorydeal.Member
	for _, member := range n.Members()[1:] {
		if member.State == savorydeal.MemberAlive && member.Service == service {
			members = append(members, member)
		}
	}
	slices.SortStableFunc(members, func(a, b savorydeal.Member) int { return cmp.Compare(a.Generation, b.Generation) })
	return members
}

// answerCrashRecords encodes this node's crash records of a service as messages of
// bounded size.
func (n *Node) answerCrashRecords(service string) []*sdpeerpb.ControlMessage {
	now := n.clock.Now()
	var records []*sdpeerpb.PoisonRecord
	for _, record := range n.poison.Export() {
		if record.Service == service {
			records = append(records, sdwire.EncodeCrashRecord(record, now))
		}
	}
	var messages []*sdpeerpb.ControlMessage
	for len(records) > recordsPerMessage {
		messages = append(messages, crashRecordMessage(records[:recordsPerMessage], true))
		records = records[recordsPerMessage:]
	}
	return append(messages, crashRecordMessage(records, !n.crashesFetched.Load()))
}

func crashRecordMessage(records []*sdpeerpb.PoisonRecord, incomplete bool) *sdpeerpb.ControlMessage {
	return &sdpeerpb.ControlMessage{Message: &sdpeerpb.ControlMessage_Poison{Poison: &sdpeerpb.Poison{Records: records, Incomplete: incomplete}}}
}

// importCrashRecords adds the crash records of another node to those of this one.
func (n *Node) importCrashRecords(message *sdpeerpb.Poison) {
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
		n.log.Info("crash records fetched", "records", len(records), "incomplete", message.GetIncomplete())
	}
}
