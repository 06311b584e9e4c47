package sdkeyed

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/savorydeal/savorydeal"
	"github.com/savorydeal/savorydeal/internal/sdbody"
	"github.com/savorydeal/savorydeal/internal/sdkeys"
	"github.com/savorydeal/savorydeal/internal/sdmemory"
)

const (
	// TakeoverAfter is how long an owner must have been unreachable before
	// another node takes over its partition.
	TakeoverAfter = 10 * time.Minute
	// ownerCacheTTL is how long the owner of a partition is cached before it is
	// read from the platform again.
	ownerCacheTTL = 5 * time.Second
	// handoverPollInterval replaces ownerCacheTTL while an unreachable owner is
	// handing its partitions over.
	handoverPollInterval = 200 * time.Millisecond
	// maxHandoverPolls bounds how often a call waits handoverPollInterval for a
	// new owner during a graceful stop: 3 s in all.
	maxHandoverPolls = 15
)

// Partitions finds the owner of a partition of a service's keys, makes this node
// the owner if there is none, and renews the leases of this node. It is a
// savorydeal.Forwarder for calls whose keys have no owner prefix.
type Partitions struct {
	Owner    *Owner
	Platform savorydeal.Platform
	// Address is this node's peer address, at which other nodes reach its Owner.
	Address string
	// Members returns this node's current view of the members.
	Members func() []savorydeal.Member
	// OwnerAt returns the forwarder to the Owner of the node at the address.
	OwnerAt func(address string) savorydeal.Forwarder
	// Bodies bounds the memory of the bodies that other nodes send; nil sets no bound.
	Bodies *sdmemory.Budget

	mu         sync.Mutex
	partitions map[partitionID]*cachedPartition
}

// cachedPartition caches the owner of a partition as read from the platform. mu is
// held during platform calls, so that concurrent calls for one partition cause
// only one platform call.
type cachedPartition struct {
	mu     sync.Mutex
	stored storedOwner
	// readAt is when stored was read; zero if it must be read again.
	readAt time.Time
	// unreachableSince is when the owner was first found unreachable; zero if it
	// was reached since.
	unreachableSince time.Time
	// unconfirmed is set after a failed write that may have taken effect. It
	// returns the lease to set if a read shows that the write took effect.
	unconfirmed func(acknowledgedAt time.Time, version int64) sdkeys.Lease
}

var _ savorydeal.Forwarder = (*Partitions)(nil)

// objectName returns the name of the platform object that names the owner.
func objectName(id partitionID) string {
	return fmt.Sprintf("%s.%d", id.service, id.partition)
}

// partition returns the cache entry of a partition, and adds it if necessary.
func (p *Partitions) partition(id partitionID) *cachedPartition {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.partitions == nil {
		p.partitions = make(map[partitionID]*cachedPartition)
	}
	cached := p.partitions[id]
	if cached == nil {
		cached = &cachedPartition{}
		p.partitions[id] = cached
	}
	return cached
}

// Forward passes the call to this node's Owner if this node owns the partition of
// its key, and otherwise to the node that does.
func (p *Partitions) Forward(ctx context.Context, call savorydeal.Call, body io.ReadCloser) (savorydeal.Answer, error) {
	bodyBytes, release, err := sdbody.ReadWithin(body, call.Operation.MaxBodyBytes, p.Bodies)
	defer release()
	if errors.Is(err, sdbody.ErrNoMemory) {
		return savorydeal.Answer{}, noMemoryRefusal(err)
	}
	if err != nil {
		return savorydeal.Answer{}, bodyNotReceivedRefusal(err)
	}
	id := partitionID{service: call.Service, partition: sdkeys.PartitionOf(call.Service, call.Key)}
	cached := p.partition(id)
	// An attempt ID identifies one sending to one node; this may be another.
	call.AttemptID = ""
	for polls := 0; ; {
		owner, err := p.resolveOwner(ctx, id, cached, call)
		if err != nil {
			return savorydeal.Answer{}, ownerUnknownRefusal(err)
		}
		if owner.Incarnation == p.Owner.self {
			return p.Owner.Forward(ctx, call, newBody(bodyBytes))
		}
		answer, err := p.forwardToOwner(ctx, owner, call, bodyBytes)
		if !ownerNotReached(err) {
			cached.markReached()
			return answer, err
		}
		ownerChanged, err := p.handleUnreachable(ctx, id, cached, owner, call)
		if err != nil {
			return savorydeal.Answer{}, ownerUnknownRefusal(err)
		}
		if ownerChanged {
			continue
		}
		polls++
		if polls > maxHandoverPolls || !p.isLeaving(owner) || !p.waitForHandover(ctx) {
			return savorydeal.Answer{}, ownerUnknownRefusal(nil)
		}
	}
}

// rereadInterval returns the minimum time between two platform reads of a partition
// whose owner is unreachable. Just after a graceful stop a new owner is expected at
// any moment. After a crash there may be none for minutes, and frequent reads
// would load the platform.
func (p *Partitions) rereadInterval(now time.Time, cached *cachedPartition, owner sdkeys.PartitionOwner) time.Duration {
	if p.isLeaving(owner) && now.Sub(cached.unreachableSince) < ownerCacheTTL {
		return handoverPollInterval
	}
	return ownerCacheTTL
}

// isLeaving reports whether the owner is making a graceful stop, in which it hands
// its partitions over to another node.
func (p *Partitions) isLeaving(owner sdkeys.PartitionOwner) bool {
	for _, member := range p.Members() {
		if member.Node == owner.Node {
			return member.State == savorydeal.MemberLeft
		}
	}
	return false
}

func (p *Partitions) waitForHandover(ctx context.Context) bool {
	select {
	case <-p.Owner.clock.After(handoverPollInterval):
		return true
	case <-ctx.Done():
		return false
	}
}

// forwardToOwner sends the call to the owner. An owner with this node's own
// address is an earlier process, which no longer exists.
func (p *Partitions) forwardToOwner(ctx context.Context, owner sdkeys.PartitionOwner, call savorydeal.Call, bodyBytes []byte) (savorydeal.Answer, error) {
	if owner.Node == p.Owner.self.Node {
		return savorydeal.Answer{}, wrongNodeRefusal()
	}
	return p.OwnerAt(owner.Address).Forward(ctx, call, newBody(bodyBytes))
}

func ownerUnknownRefusal(err error) *savorydeal.Refusal {
	detail := "the node that decides on the key is unreachable; send the same key again"
	if err != nil {
		detail = "the node that decides on the key cannot be found: " + err.Error()
	}
	return &savorydeal.Refusal{
		Outcome:    savorydeal.OutcomeUnknown,
		Reason:     savorydeal.ReasonKeyOwnerUnknown,
		Detail:     detail,
		RetryAfter: ownerCacheTTL,
	}
}

// resolveOwner returns the owner of the partition. If it has none, it makes this
// node the owner.
func (p *Partitions) resolveOwner(ctx context.Context, id partitionID, cached *cachedPartition, call savorydeal.Call) (sdkeys.PartitionOwner, error) {
	self := p.selfOwner(call.KeyRetention)
	if p.Owner.decidesOn(call) {
		return self, nil
	}
	cached.mu.Lock()
	defer cached.mu.Unlock()
	if p.Owner.decidesOn(call) {
		return self, nil
	}
	now := p.Owner.clock.Now()
	if cached.stored.version != 0 && cached.stored.owner.Incarnation != p.Owner.self && now.Sub(cached.readAt) < ownerCacheTTL {
		return cached.stored.owner, nil
	}
	found, err := store{p.Platform}.read(ctx, KindPartition, objectName(id))
	if err != nil {
		if cached.stored.version != 0 && cached.stored.owner.Incarnation != p.Owner.self {
			// The last known owner may still be right; if not, it refuses the
			// call.
			return cached.stored.owner, nil
		}
		return sdkeys.PartitionOwner{}, err
	}
	cached.stored, cached.readAt = found, now
	switch {
	case found.version == 0:
		return self, p.writeOwner(ctx, id, cached, self, func(requestedAt, _ time.Time, version int64) sdkeys.Lease {
			return sdkeys.NewLease(requestedAt, version, call.KeyRetention)
		})
	case found.owner.Incarnation == p.Owner.self:
		return self, p.reclaim(ctx, id, cached, self)
	}
	return found.owner, nil
}

// reclaim obtains a lease on a partition whose owner on the platform is this
// process, although it has no valid lease: the lease has expired, or the answer to
// the write was lost. The caller holds the lock of the partition.
func (p *Partitions) reclaim(ctx context.Context, id partitionID, cached *cachedPartition, self sdkeys.PartitionOwner) error {
	if cached.unconfirmed != nil {
		p.Owner.setLease(id, cached.unconfirmed(p.Owner.clock.Now(), cached.stored.version))
		cached.unconfirmed = nil
		return nil
	}
	return p.writeOwner(ctx, id, cached, self, func(requestedAt, acknowledgedAt time.Time, version int64) sdkeys.Lease {
		lease, ok := p.Owner.lease(id)
		if !ok {
			return sdkeys.TakeOverLease(requestedAt, acknowledgedAt, version, cached.stored.owner, false, self.Retention)
		}
		lease.Renew(requestedAt, version, self.Retention)
		return lease
	})
}

// writeOwner names this node as the owner on the platform and, once that is
// acknowledged, sets the lease that newLease returns. newLease gets the times
// before and after the write. The caller holds the lock of the partition.
func (p *Partitions) writeOwner(ctx context.Context, id partitionID, cached *cachedPartition, self sdkeys.PartitionOwner, newLease func(requestedAt, acknowledgedAt time.Time, version int64) sdkeys.Lease) error {
	if p.Owner.Frozen() {
		return errors.New("this node is stopping")
	}
	requestedAt := p.Owner.clock.Now()
	version, err := store{p.Platform}.write(ctx, KindPartition, objectName(id), cached.stored.version, self)
	if err != nil {
		cached.readAt = time.Time{}
		cached.unconfirmed = func(acknowledgedAt time.Time, version int64) sdkeys.Lease {
			return newLease(requestedAt, acknowledgedAt, version)
		}
		return err
	}
	cached.unconfirmed = nil
	cached.stored = storedOwner{owner: self, version: version}
	cached.unreachableSince = time.Time{}
	p.Owner.setLease(id, newLease(requestedAt, p.Owner.clock.Now(), version))
	return nil
}

func (p *Partitions) selfOwner(retention time.Duration) sdkeys.PartitionOwner {
	return sdkeys.PartitionOwner{Incarnation: p.Owner.self, Address: p.Address, Retention: retention}
}

func (c *cachedPartition) markReached() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unreachableSince = time.Time{}
}

// handleUnreachable records that the owner is unreachable and reads whether the
// partition has a new owner. If not, this node takes the partition over when the
// owner is proven dead or has been unreachable for TakeoverAfter. It reports
// whether the partition has a new owner, to which the call can be sent.
func (p *Partitions) handleUnreachable(ctx context.Context, id partitionID, cached *cachedPartition, owner sdkeys.PartitionOwner, call savorydeal.Call) (bool, error) {
	cached.mu.Lock()
	defer cached.mu.Unlock()
	now := p.Owner.clock.Now()
	if cached.unreachableSince.IsZero() {
		cached.unreachableSince = now
	}
	dead := p.provenDead(owner)
	takeOver := dead || now.Sub(cached.unreachableSince) >= TakeoverAfter
	if !takeOver && now.Sub(cached.readAt) < p.rereadInterval(now, cached, owner) {
		return cached.stored.owner.Incarnation != owner.Incarnation, nil
	}
	found, err := store{p.Platform}.read(ctx, KindPartition, objectName(id))
	if err != nil {
		return false, err
	}
	cached.stored, cached.readAt = found, now
	if found.owner.Incarnation != owner.Incarnation {
		// Another node has become the owner; the call goes to it.
		cached.unreachableSince = time.Time{}
		return true, nil
	}
	if !takeOver {
		return false, nil
	}
	self := p.selfOwner(max(call.KeyRetention, owner.Retention))
	err = p.writeOwner(ctx, id, cached, self, func(requestedAt, acknowledgedAt time.Time, version int64) sdkeys.Lease {
		return sdkeys.TakeOverLease(requestedAt, acknowledgedAt, version, owner, dead, self.Retention)
	})
	return err == nil, err
}

// provenDead reports whether a newer process runs at the owner's address, so that
// the owner must have ended.
func (p *Partitions) provenDead(owner sdkeys.PartitionOwner) bool {
	if owner.Node == p.Owner.self.Node {
		return owner.Generation < p.Owner.self.Generation
	}
	for _, member := range p.Members() {
		if member.Node == owner.Node {
			return member.Generation > owner.Generation
		}
	}
	return false
}

// Renew renews the leases that are due, with one platform write each, and deletes
// the handover objects of expired predecessors. The node calls it every few
// seconds, outside the path of calls.
func (p *Partitions) Renew(ctx context.Context) error {
	var errs error
	for incarnation, version := range p.Owner.expirePredecessors() {
		if _, err := p.Platform.Delete(ctx, KindHandover, incarnation.Name(), version); err != nil {
			errs = errors.Join(errs, err)
		}
	}
	for _, id := range p.Owner.dueForRenewal() {
		cached := p.partition(id)
		cached.mu.Lock()
		lease, ok := p.Owner.lease(id)
		if ok {
			errs = errors.Join(errs, p.renew(ctx, id, cached, lease))
		}
		cached.mu.Unlock()
	}
	return errs
}

func (p *Partitions) renew(ctx context.Context, id partitionID, cached *cachedPartition, lease sdkeys.Lease) error {
	cached.stored = storedOwner{owner: p.selfOwner(lease.Retention), version: lease.Version}
	err := p.writeOwner(ctx, id, cached, cached.stored.owner, func(requestedAt, _ time.Time, version int64) sdkeys.Lease {
		lease.Renew(requestedAt, version, lease.Retention)
		return lease
	})
	if !errors.Is(err, savorydeal.ErrVersionConflict) {
		return err
	}
	found, readErr := store{p.Platform}.read(ctx, KindPartition, objectName(id))
	if readErr != nil {
		return readErr
	}
	cached.stored = found
	if found.owner.Incarnation != p.Owner.self {
		// The lease stays valid until it expires and is not renewed.
		p.Owner.markSuperseded(id)
		return err
	}
	// An earlier write of this process took effect and its answer was lost.
	return p.writeOwner(ctx, id, cached, found.owner, func(requestedAt, _ time.Time, version int64) sdkeys.Lease {
		lease.Renew(requestedAt, version, lease.Retention)
		return lease
	})
}
