package sdkeyed

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/savorydeal/savorydeal"
	"github.com/savorydeal/savorydeal/internal/sdkeys"
)

// predecessorRetention is how long a process decides on the keys of a predecessor.
// It is longer than the longest retention of a key.
const predecessorRetention = 25 * time.Hour

// HandoverState is what a process needs to decide on the keys of a process that
// stops.
type HandoverState struct {
	Incarnations []IncarnationState
	Leases       []sdkeys.LeaseState
	Records      []savorydeal.KeyRecord
}

// IncarnationState describes a process that issued keys on which the sender decides:
// the sender itself or a predecessor. It holds durations instead of times, because the
// clocks of the two nodes differ.
type IncarnationState struct {
	sdkeys.Incarnation
	// SinceStart is the time since the process started.
	SinceStart time.Duration
	// SinceTakeover is the time since the keys of the process were taken over;
	// zero for the sender itself.
	SinceTakeover time.Duration
	// Version is the version of the platform's object that names the sender as
	// the successor of the process; 0 for the sender itself.
	Version int64
}

// Freeze makes this process run no further keys. Until Export, keys with a record
// are still answered and other keys are refused as not run. It cannot be undone.
func (o *Owner) Freeze() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.frozen = true
}

// Running returns the number of keyed calls that are running. Export does not wait
// for them: it exports a call that is still running as lost.
func (o *Owner) Running() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.running
}

// ErrNotFrozen is the error of Export before Freeze, while the process may still
// run keys.
var ErrNotFrozen = errors.New("keys can be exported only after Freeze")

// Export returns the state that the successor needs. From then on this process does
// not decide on any key. The owner must be frozen.
func (o *Owner) Export() (HandoverState, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.frozen {
		return HandoverState{}, ErrNotFrozen
	}
	o.exported = true
	now := o.clock.Now()
	handover := HandoverState{Records: o.records.Export(now)}
	for incarnation, owned := range o.incarnations {
		state := IncarnationState{Incarnation: incarnation, SinceStart: now.Sub(owned.startedAt), Version: owned.version}
		if !owned.takenOverAt.IsZero() {
			state.SinceTakeover = now.Sub(owned.takenOverAt)
		}
		handover.Incarnations = append(handover.Incarnations, state)
	}
	for id, lease := range o.leases {
		if !lease.Superseded {
			handover.Leases = append(handover.Leases, lease.Export(now, id.service, id.partition))
		}
	}
	return handover, nil
}

// Adopt takes over the keys of a frozen process. requestedAt is a time on this node's
// clock before the sender's Export. For each incarnation and each partition it
// writes the change of owner to the platform, conditional on the version that the
// sender had. This process decides only on those whose write is acknowledged; the
// keys of the others have no owner for now, and their calls end with the outcome
// unknown. It returns the errors of all failed writes.
func (p *Partitions) Adopt(ctx context.Context, requestedAt time.Time, handover HandoverState) error {
	if p.Owner.Frozen() {
		return errors.New("this node is handing over its own keys")
	}
	p.Owner.adoptRecords(handover.Records)
	var errs error
	for _, state := range handover.Incarnations {
		errs = errors.Join(errs, p.adoptIncarnation(ctx, requestedAt, state))
	}
	for _, state := range handover.Leases {
		errs = errors.Join(errs, p.adoptPartition(ctx, state))
	}
	return errs
}

func (p *Partitions) adoptIncarnation(ctx context.Context, requestedAt time.Time, state IncarnationState) error {
	version, err := p.writeSuccessor(ctx, KindHandover, state.Name(), state.Version)
	if err != nil {
		return fmt.Errorf("adopt keys of %s: %w", state.Node, err)
	}
	p.Owner.adoptIncarnation(state.Incarnation, ownedIncarnation{
		startedAt:   requestedAt.Add(-state.SinceStart),
		takenOverAt: requestedAt.Add(-state.SinceTakeover),
		version:     version,
	})
	return nil
}

// writeSuccessor names this process in an object that has the expected version, and
// returns the new version. If the answer to the write is lost it reads the object:
// only this process writes its own name.
func (p *Partitions) writeSuccessor(ctx context.Context, kind, name string, expected int64) (int64, error) {
	version, err := store{p.Platform}.write(ctx, kind, name, expected, p.selfOwner(0))
	if err == nil || errors.Is(err, savorydeal.ErrPlatformRefused) {
		return version, err
	}
	found, readErr := store{p.Platform}.read(ctx, kind, name)
	if readErr == nil && found.owner.Incarnation == p.Owner.self {
		return found.version, nil
	}
	return 0, err
}

func (p *Partitions) adoptPartition(ctx context.Context, state sdkeys.LeaseState) error {
	id := partitionID{service: state.Service, partition: state.Partition}
	cached := p.partition(id)
	cached.mu.Lock()
	defer cached.mu.Unlock()
	cached.stored.version = state.Version
	err := p.writeOwner(ctx, id, cached, p.selfOwner(state.Retention), func(requestedAt, _ time.Time, version int64) sdkeys.Lease {
		return sdkeys.InheritLease(requestedAt, state, version)
	})
	if err != nil {
		return fmt.Errorf("adopt partition %s: %w", objectName(id), err)
	}
	return nil
}

func (o *Owner) adoptRecords(records []savorydeal.KeyRecord) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.records.Import(o.clock.Now(), records)
}

func (o *Owner) adoptIncarnation(incarnation sdkeys.Incarnation, owned ownedIncarnation) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.incarnations[incarnation] = owned
}

// expirePredecessors removes the predecessors whose keys are all past their
// retention, and returns them with the versions of their handover objects.
func (o *Owner) expirePredecessors() map[sdkeys.Incarnation]int64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	expired := make(map[sdkeys.Incarnation]int64)
	now := o.clock.Now()
	for incarnation, owned := range o.incarnations {
		if owned.takenOverAt.IsZero() || now.Sub(owned.takenOverAt) < predecessorRetention {
			continue
		}
		expired[incarnation] = owned.version
		delete(o.incarnations, incarnation)
	}
	return expired
}
