package sdwire

import (
	"time"

	"github.com/savorydeal/savorydeal"
	"github.com/savorydeal/savorydeal/internal/sdpeerpb"
)

// EncodeMember converts a member to its wire type. The time since the target became
// ready is sent instead of a time of day, so that clock skew has no effect.
func EncodeMember(member savorydeal.Member, now time.Time) *sdpeerpb.Member {
	encoded := &sdpeerpb.Member{
		Node:        string(member.Node),
		Incarnation: member.Incarnation,
		Generation:  member.Generation,
		DataCentre:  member.DataCentre,
		Region:      member.Region,
		PeerAddress: member.PeerAddress,
		State:       string(member.State),
		Service:     member.Service,
		TargetState: string(member.TargetState),
		Slots:       uint32(member.Slots),

		TargetIdentity:  member.TargetStart.Identity,
		TargetStartedMs: member.TargetStart.Started,
		TargetDeparted:  member.TargetDeparted,
	}
	if !member.ReadySince.IsZero() {
		encoded.ReadyForNs = int64(now.Sub(member.ReadySince))
	}
	return encoded
}

// DecodeMember converts a member from its wire type. ReadySince is now minus the
// time for which the target has been ready, and zero unless the target is ready.
func DecodeMember(member *sdpeerpb.Member, now time.Time) savorydeal.Member {
	decoded := savorydeal.Member{
		Node:        savorydeal.NodeID(member.GetNode()),
		Incarnation: member.GetIncarnation(),
		Generation:  member.GetGeneration(),
		DataCentre:  member.GetDataCentre(),
		Region:      member.GetRegion(),
		PeerAddress: member.GetPeerAddress(),
		State:       savorydeal.MemberState(member.GetState()),
		Service:     member.GetService(),
		TargetState: savorydeal.TargetState(member.GetTargetState()),
		Slots:       int(member.GetSlots()),
		TargetStart: savorydeal.TargetStart{Identity: member.GetTargetIdentity(), Started: member.GetTargetStartedMs()},

		TargetDeparted: member.GetTargetDeparted(),
	}
	if decoded.TargetState == savorydeal.TargetReady {
		decoded.ReadySince = now.Add(-time.Duration(member.GetReadyForNs()))
	}
	return decoded
}
