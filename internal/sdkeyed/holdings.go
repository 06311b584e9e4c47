package sdkeyed

import "github.com/savorydeal/savorydeal/internal/sdkeys"

// hold begins or replaces a holding.
func (o *Owner) hold(id partID, holding sdkeys.Holding) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.holdings[id] = &holding
}

// holding returns a copy of a holding, lapsed or not.
func (o *Owner) holding(id partID) (sdkeys.Holding, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	holding := o.holdings[id]
	if holding == nil {
		return sdkeys.Holding{}, false
	}
	return *holding, true
}

// noRenewal marks a holding that another node has taken over: it ends by
// itself.
func (o *Owner) noRenewal(id partID) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if holding := o.holdings[id]; holding != nil {
		holding.Lost = true
	}
}

// dueForRenewal lists the holdings to renew, and drops those that are over and
// another node's.
func (o *Owner) dueForRenewal() []partID {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.frozen {
		return nil
	}
	now := o.clock.Now()
	var due []partID
	for id, holding := range o.holdings {
		switch {
		case holding.Lost && holding.Left(now) <= 0:
			delete(o.holdings, id)
		case !holding.Lost && holding.NeedsRenewal(now):
			due = append(due, id)
		}
	}
	return due
}

// Parts returns the number of parts that this node owns.
func (o *Owner) Parts() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.holdings)
}
