package sdkeyed

import (
	"context"
	"io"

	"github.com/cespare/xxhash/v2"

	"github.com/savorydeal/savorydeal"
)

// Router sends keyed calls to the owner of their key and all others straight
// on. It is a savorydeal.Carrier.
type Router struct {
	Self savorydeal.NodeID
	// Members returns the present view of members.
	Members func() []savorydeal.Member
	// Owner decides on keys this node owns.
	Owner savorydeal.Carrier
	// Unkeyed runs calls that need no record.
	Unkeyed savorydeal.Carrier
	// OwnerAt returns the carrier that reaches the owner on another node.
	OwnerAt func(savorydeal.Member) savorydeal.Carrier
}

var _ savorydeal.Carrier = (*Router)(nil)

// Carry passes the call on.
func (r *Router) Carry(ctx context.Context, call savorydeal.Call, body io.ReadCloser) (savorydeal.Answer, error) {
	if call.Operation.Idempotent || call.Key == "" {
		return r.Unkeyed.Carry(ctx, call, body)
	}
	owner, ok := ownerOf(r.Members(), call)
	if !ok {
		_ = body.Close()
		return savorydeal.Answer{}, &savorydeal.Refusal{
			Outcome: savorydeal.OutcomeUnknown,
			Reason:  savorydeal.ReasonKeyOwnerUnknown,
			Detail:  "no node that could own the key is known; send the same key again",
		}
	}
	if owner.Node == r.Self {
		return r.Owner.Carry(ctx, call, body)
	}
	return r.OwnerAt(owner).Carry(ctx, call, body)
}

// ownerOf picks the member with the highest hash for the key among the nodes
// of the service.
func ownerOf(members []savorydeal.Member, call savorydeal.Call) (savorydeal.Member, bool) {
	var owner savorydeal.Member
	var best uint64
	found := false
	for _, member := range members {
		if member.Service != call.Service || member.State != savorydeal.MemberAlive {
			continue
		}
		score := xxhash.Sum64String(string(member.Node) + "\x00" + call.Chain.Caller + "\x00" + call.Key)
		if !found || score > best {
			owner = member
			best = score
			found = true
		}
	}
	return owner, found
}
