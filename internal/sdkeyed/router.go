package sdkeyed

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/savorydeal/savorydeal"
	"github.com/savorydeal/savorydeal/internal/sdbody"
	"github.com/savorydeal/savorydeal/internal/sdkeys"
	"github.com/savorydeal/savorydeal/internal/sdlink"
)

const (
	// KindOwnerCall is the kind of streams that carry a keyed call to the Owner of
	// the node that decides on the key. That node does not pass it on.
	KindOwnerCall sdlink.Kind = "held"

	// maxCandidates bounds the nodes to which a call with an unprefixed key is sent
	// in turn.
	maxCandidates = 3
	// successorCacheTTL is how long the successor of a process, or the lack of one,
	// is cached, so that resends to a dead node do not load the platform.
	successorCacheTTL   = 10 * time.Second
	maxCachedSuccessors = 10_000
)

// Router sends calls with an idempotency key to the process that decides on the key,
// and other calls directly to Unkeyed. It is a savorydeal.Forwarder.
type Router struct {
	Self savorydeal.NodeID
	// Members returns this node's current view of the members.
	Members func() []savorydeal.Member
	Owner   *Owner
	// Partitions forwards calls with an unprefixed key: a key that does not name
	// its owner.
	Partitions savorydeal.Forwarder
	// Unkeyed forwards calls without a key.
	Unkeyed savorydeal.Forwarder
	// PartitionsAt and OwnerAt return forwarders to the Partitions and the Owner of
	// the node at the address.
	PartitionsAt func(address string) savorydeal.Forwarder
	OwnerAt      func(address string) savorydeal.Forwarder
	Platform     savorydeal.Platform
	// OnUnknownOutcome is called for every call that ended with the outcome unknown
	// without reaching an owner.
	OnUnknownOutcome func(savorydeal.Call, savorydeal.Refusal)

	mu         sync.Mutex
	successors map[sdkeys.Incarnation]successor
}

// successor is a cached successor of a process.
type successor struct {
	// address is empty if the process has no successor.
	address string
	expires time.Time
}

var _ savorydeal.Forwarder = (*Router)(nil)

// Forward passes the call on. A call with a key is recorded even if the policy says
// that its operation is idempotent, because the policy may change before the caller
// resends.
func (r *Router) Forward(ctx context.Context, call savorydeal.Call, body io.ReadCloser) (savorydeal.Answer, error) {
	if call.Key == "" {
		return r.Unkeyed.Forward(ctx, call, body)
	}
	if r.Owner.decidesOn(call) {
		return r.Owner.Forward(ctx, call, body)
	}
	bodyBytes, err := sdbody.ReadLimited(body, call.Operation.MaxBodyBytes)
	if err != nil {
		return savorydeal.Answer{}, bodyNotReceivedRefusal(err)
	}
	var answer savorydeal.Answer
	if key := sdkeys.Parse(call.Key); key.Kind == sdkeys.KindOwned {
		answer, err = r.forwardOwned(ctx, key.Owner, call, bodyBytes)
	} else {
		answer, err = r.forwardUnprefixed(ctx, call, bodyBytes)
	}
	if err == nil {
		return answer, nil
	}
	return savorydeal.Answer{}, r.reportUnknown(call, err)
}

// reportUnknown calls OnUnknownOutcome if the call ended with the outcome unknown and
// did not reach an owner, which would have reported it itself. It returns the
// error for the caller.
func (r *Router) reportUnknown(call savorydeal.Call, err error) error {
	if ownerNotReached(err) {
		err = ownerUnknownRefusal(nil)
	}
	var refusal *savorydeal.Refusal
	if errors.As(err, &refusal) && refusal.Outcome == savorydeal.OutcomeUnknown && refusal.End == nil {
		switch refusal.Reason {
		case savorydeal.ReasonLinkLost, savorydeal.ReasonKeyOwnerUnknown:
			r.OnUnknownOutcome(call, *refusal)
		}
	}
	return err
}

func bodyNotReceivedRefusal(err error) *savorydeal.Refusal {
	return &savorydeal.Refusal{
		Outcome: savorydeal.OutcomeNotRun,
		Reason:  savorydeal.ReasonCanceled,
		Detail:  "the body was not received: " + err.Error(),
	}
}

func newBody(bodyBytes []byte) io.ReadCloser {
	return sdbody.NewHeld(bodyBytes)
}

// forwardOwned sends the call to the process that its key names, or to the successor
// of that process.
func (r *Router) forwardOwned(ctx context.Context, owner sdkeys.Incarnation, call savorydeal.Call, bodyBytes []byte) (savorydeal.Answer, error) {
	err := error(wrongNodeRefusal())
	if owner.Node != r.Self {
		var answer savorydeal.Answer
		answer, err = r.OwnerAt(string(owner.Node)).Forward(ctx, call, newBody(bodyBytes))
		if !ownerNotReached(err) {
			return answer, err
		}
	}
	address, ok := r.successorOf(ctx, owner)
	if !ok {
		return savorydeal.Answer{}, err
	}
	return r.OwnerAt(address).Forward(ctx, call, newBody(bodyBytes))
}

// successorOf reads from the platform the address of the process that has taken over
// the keys of a stopped process.
func (r *Router) successorOf(ctx context.Context, owner sdkeys.Incarnation) (string, bool) {
	now := r.Owner.clock.Now()
	r.mu.Lock()
	cached, ok := r.successors[owner]
	r.mu.Unlock()
	if ok && now.Before(cached.expires) {
		return cached.address, cached.address != ""
	}
	found, err := store{r.Platform}.read(ctx, KindHandover, owner.Name())
	if err != nil {
		return "", false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.successors == nil || len(r.successors) >= maxCachedSuccessors {
		r.successors = make(map[sdkeys.Incarnation]successor)
	}
	r.successors[owner] = successor{address: found.owner.Address, expires: now.Add(successorCacheTTL)}
	return found.owner.Address, found.version != 0
}

// forwardUnprefixed sends the call to up to maxCandidates nodes of the service in
// turn, until one reaches the owner. Nodes with the same view of the members use
// the same order (rendezvous hashing). Views may differ, but every candidate passes
// the call to the one owner that the platform names.
func (r *Router) forwardUnprefixed(ctx context.Context, call savorydeal.Call, bodyBytes []byte) (savorydeal.Answer, error) {
	err := error(wrongNodeRefusal())
	for _, candidate := range r.candidates(call) {
		var answer savorydeal.Answer
		if candidate.Node == r.Self {
			answer, err = r.Partitions.Forward(ctx, call, newBody(bodyBytes))
		} else {
			answer, err = r.PartitionsAt(candidate.PeerAddress).Forward(ctx, call, newBody(bodyBytes))
		}
		if !ownerNotReached(err) {
			return answer, err
		}
	}
	return savorydeal.Answer{}, err
}

// candidates returns the nodes of the service with the highest rendezvous hashes for
// the partition of the key, the highest first.
func (r *Router) candidates(call savorydeal.Call) []savorydeal.Member {
	partition := sdkeys.PartitionOf(call.Service, call.Key)
	var members []savorydeal.Member
	for _, member := range r.Members() {
		if member.Service == call.Service && member.State == savorydeal.MemberAlive {
			members = append(members, member)
		}
	}
	score := func(member savorydeal.Member) uint64 {
		return xxhash.Sum64String(fmt.Sprintf("%s\x00%s\x00%d", member.Node, call.Service, partition))
	}
	slices.SortFunc(members, func(a, b savorydeal.Member) int { return cmp.Compare(score(b), score(a)) })
	return members[:min(len(members), maxCandidates)]
}

// ownerNotReached reports whether the call did not reach a process that decides on
// its key, so that it can be sent to another.
func ownerNotReached(err error) bool {
	var refusal *savorydeal.Refusal
	if !errors.As(err, &refusal) || refusal.End != nil {
		return false
	}
	switch refusal.Reason {
	case savorydeal.ReasonWrongNode, savorydeal.ReasonKeyOwnerUnknown:
		return true
	case savorydeal.ReasonLinkLost:
		return refusal.Outcome == savorydeal.OutcomeNotRun
	}
	return false
}
