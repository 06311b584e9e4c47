package sdkeyed

import "github.com/savorydeal/savorydeal/internal/sdkeys"

// setLease sets or replaces the lease on a partition.
func (o *Owner) setLease(id partitionID, lease sdkeys.Lease) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.leases[id] = &lease
}

// lease returns a copy of the lease on a partition, expired or not.
func (o *Owner) lease(id partitionID) (sdkeys.Lease, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	lease := o.leases[id]
	if lease == nil {
		return sdkeys.Lease{}, false
	}
	return *lease, true
}

// markSuperseded marks the lease on a partition that another node has taken over.
// It is not renewed and stays valid until it expires.
func (o *Owner) markSuperseded(id partitionID) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if lease := o.leases[id]; lease != nil {
		lease.Superseded = true
	}
}

// dueForRenewal returns the partitions whose leases must be renewed, and deletes
// superseded leases that have expired. It returns nil once the owner is frozen.
func (o *Owner) dueForRenewal() []partitionID {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.frozen {
		return nil
	}
	now := o.clock.Now()
	var due []partitionID
	for id, lease := range o.leases {
		switch {
		case lease.Superseded && lease.Remaining(now) <= 0:
			delete(o.leases, id)
		case !lease.Superseded && lease.NeedsRenewal(now):
			due = append(due, id)
		}
	}
	return due
}

// LeaseCount returns the number of partitions on which this node has a lease,
// including expired leases that dueForRenewal has not deleted.
func (o *Owner) LeaseCount() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.leases)
}
