package sdnode

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/savorydeal/savorydeal"
	"github.com/savorydeal/savorydeal/internal/sdkeyed"
	"github.com/savorydeal/savorydeal/internal/sdkeys"
	"github.com/savorydeal/savorydeal/internal/sdlink"
	"github.com/savorydeal/savorydeal/internal/sdpeerpb"
	"github.com/savorydeal/savorydeal/internal/sdwire"
)

const (
	kindHandover sdlink.Kind = "handover"
	// handoverTimeout bounds one handover. It is well below sdkeys.MaxClockSkew,
	// for which records are kept beyond their retention.
	handoverTimeout = 20 * time.Second
	// handoverBatchRecords bounds the records in one message. A message is sent
	// once its answers have handoverBatchBytes.
	handoverBatchRecords = 256
	handoverBatchBytes   = 512 << 10
)

var errNoSuccessor = errors.New("no other node is available to take the keys over")

// HandOverKeys transfers this node's key records and leases to another node, the
// successor. A graceful stop calls it after the last caller is served and before
// the links close. Keyed calls that still reach this node are then forwarded to
// the successor.
func (n *Node) HandOverKeys(ctx context.Context) error {
	n.owner.Freeze()
	if n.owner.RecordCount() == 0 && n.owner.LeaseCount() == 0 {
		return nil
	}
	for n.owner.Running() > 0 {
		select {
		case <-n.clock.After(drainPoll):
		case <-ctx.Done():
			return fmt.Errorf("wait for keyed calls: %d still running: %w", n.owner.Running(), ctx.Err())
		}
	}
	lastErr := errNoSuccessor
	for _, member := range n.successors() {
		exported, err := n.handOverTo(ctx, member)
		if err == nil {
			n.log.Info("keys handed over", "to", string(member.Node), "keys", n.owner.RecordCount())
			return nil
		}
		lastErr = err
		if exported {
			// That node may have become the owner, so no other node may.
			break
		}
	}
	return fmt.Errorf("hand keys over: %w", lastErr)
}

// successors lists the nodes that may take the keys over: first those of the same
// service and data centre, then those of the same service, then all others.
func (n *Node) successors() []savorydeal.Member {
	members := n.Members()
	self := members[0]
	var sameDataCentre, sameService, others []savorydeal.Member
	for _, member := range members[1:] {
		switch {
		case !member.Routable():
		case member.Service == self.Service && member.DataCentre == self.DataCentre:
			sameDataCentre = append(sameDataCentre, member)
		case member.Service == self.Service:
			sameService = append(sameService, member)
		default:
			others = append(others, member)
		}
	}
	return append(append(sameDataCentre, sameService...), others...)
}

// handOverTo transfers the keys to a node. exported reports whether they may have
// reached it, even if there was an error.
func (n *Node) handOverTo(ctx context.Context, member savorydeal.Member) (exported bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	stream, err := n.links.Open(ctx, member.PeerAddress, kindHandover)
	if err != nil {
		return false, err
	}
	defer stream.Abort()
	// A successor that does not answer must not hold the stop up: reads and writes of
	// the stream know nothing of ctx.
	abortAtEnd := context.AfterFunc(ctx, func() { _ = stream.Abort() })
	defer abortAtEnd()
	if err := stream.Flush(); err != nil {
		return false, err
	}
	if err := stream.ReadOpen(); err != nil {
		return false, err
	}
	var ready sdpeerpb.KeyFrame
	if err := stream.Read(&ready); err != nil {
		return false, fmt.Errorf("node %s is not ready to take the keys over: %w", member.Node, err)
	}
	if ready.GetReady() == nil {
		return false, fmt.Errorf("node %s is not ready to take the keys over: its first frame is not ready", member.Node)
	}
	handover, err := n.owner.Export()
	if err != nil {
		return false, err
	}
	if err := sendHandoverState(stream, handover); err != nil {
		return true, err
	}
	var reply sdpeerpb.KeyFrame
	if err := stream.Read(&reply); err != nil {
		return true, err
	}
	if text := reply.GetAdopted().GetError(); text != "" {
		return true, errors.New(text)
	}
	return true, nil
}

func sendHandoverState(stream *sdlink.Stream, handover sdkeyed.HandoverState) error {
	batch := &sdpeerpb.KeyRecords{}
	size := 0
	flush := func() error {
		err := stream.Write(&sdpeerpb.KeyFrame{Frame: &sdpeerpb.KeyFrame_Records{Records: batch}})
		batch, size = &sdpeerpb.KeyRecords{}, 0
		return err
	}
	for _, record := range handover.Records {
		batch.Records = append(batch.Records, sdwire.EncodeKeyRecord(record))
		if record.Answer != nil {
			size += len(record.Answer.Body)
		}
		if len(batch.Records) < handoverBatchRecords && size < handoverBatchBytes {
			continue
		}
		if err := flush(); err != nil {
			return err
		}
	}
	if err := flush(); err != nil {
		return err
	}
	return stream.Send(&sdpeerpb.KeyFrame{Frame: &sdpeerpb.KeyFrame_Ownership{Ownership: encodeOwnership(handover)}})
}

func encodeOwnership(handover sdkeyed.HandoverState) *sdpeerpb.KeyOwnership {
	ownership := &sdpeerpb.KeyOwnership{}
	for _, state := range handover.Incarnations {
		ownership.Incarnations = append(ownership.Incarnations, &sdpeerpb.KeyIncarnation{
			Node:       string(state.Node),
			Generation: state.Generation,
			ElapsedNs:  int64(state.SinceStart),
			StoppedNs:  int64(state.SinceTakeover),
			Version:    state.Version,
		})
	}
	for _, state := range handover.Leases {
		ownership.Holdings = append(ownership.Holdings, &sdpeerpb.KeyHolding{
			Service:     state.Service,
			Part:        uint32(state.Partition),
			Version:     state.Version,
			RetentionNs: int64(state.Retention),
			TimedInNs:   int64(state.TimedWait),
			UntimedInNs: int64(state.UntimedWait),
		})
	}
	return ownership
}

// serveHandover takes over the keys of a node that stops.
func (n *Node) serveHandover(ctx context.Context, stream *sdlink.Stream) {
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	_ = stream.SetReadDeadline(time.Now().Add(handoverTimeout))
	if n.owner.Frozen() {
		return
	}
	requestedAt := n.clock.Now()
	if err := stream.Send(&sdpeerpb.KeyFrame{Frame: &sdpeerpb.KeyFrame_Ready{Ready: &sdpeerpb.KeyReady{}}}); err != nil {
		return
	}
	handover, err := readHandoverState(stream)
	if err != nil {
		n.log.Warn("keys not taken over", "from", string(stream.Peer.Node), "error", err)
		return
	}
	adopted := &sdpeerpb.KeyAdopted{}
	if err := n.keyPartitions.Adopt(ctx, requestedAt, handover); err != nil {
		adopted.Error = err.Error()
	}
	n.log.Info("keys taken over", "from", string(stream.Peer.Node), "keys", len(handover.Records), "error", adopted.GetError())
	_ = stream.Send(&sdpeerpb.KeyFrame{Frame: &sdpeerpb.KeyFrame_Adopted{Adopted: adopted}})
}

func readHandoverState(stream *sdlink.Stream) (sdkeyed.HandoverState, error) {
	var handover sdkeyed.HandoverState
	for {
		var frame sdpeerpb.KeyFrame
		if err := stream.Read(&frame); err != nil {
			return sdkeyed.HandoverState{}, err
		}
		switch kind := frame.GetFrame().(type) {
		case *sdpeerpb.KeyFrame_Records:
			for _, record := range kind.Records.GetRecords() {
				handover.Records = append(handover.Records, sdwire.DecodeKeyRecord(record))
			}
		case *sdpeerpb.KeyFrame_Ownership:
			decodeOwnership(kind.Ownership, &handover)
			return handover, nil
		default:
			return sdkeyed.HandoverState{}, fmt.Errorf("unexpected frame %T in a key handover", kind)
		}
	}
}

func decodeOwnership(ownership *sdpeerpb.KeyOwnership, handover *sdkeyed.HandoverState) {
	for _, state := range ownership.GetIncarnations() {
		handover.Incarnations = append(handover.Incarnations, sdkeyed.IncarnationState{
			Incarnation:   sdkeys.Incarnation{Node: savorydeal.NodeID(state.GetNode()), Generation: state.GetGeneration()},
			SinceStart:    time.Duration(state.GetElapsedNs()),
			SinceTakeover: time.Duration(state.GetStoppedNs()),
			Version:       state.GetVersion(),
		})
	}
	for _, state := range ownership.GetHoldings() {
		handover.Leases = append(handover.Leases, sdkeys.LeaseState{
			Service:     state.GetService(),
			Partition:   int(state.GetPart()),
			Version:     state.GetVersion(),
			Retention:   time.Duration(state.GetRetentionNs()),
			TimedWait:   time.Duration(state.GetTimedInNs()),
			UntimedWait: time.Duration(state.GetUntimedInNs()),
		})
	}
}
