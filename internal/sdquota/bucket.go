package sdquota

import (
	"math"
	"time"

	"github.com/savorydeal/savorydeal"
)

// ownedAccount is the state of one account with a quota.
type ownedAccount struct {
	quota savorydeal.Quota
	owner savorydeal.NodeID
	// readyAt is when this node, if it is the owner, begins to grant tokens. confirmed is
	// true if the previous owner has confirmed that it grants none any more. lostAt is when
	// this node was last the owner, if another is now.
	readyAt   time.Time
	confirmed bool
	lostAt    time.Time
	available float64
	grownAt   time.Time
	leases    map[Process]*lease
	// queue holds the grants that have not expired, oldest first; outstanding is the sum of
	// their unused tokens.
	queue       []*entry
	outstanding int

	// takeover is the request to the previous owner, sent at takeoverSentAt; Sequence is 0
	// if there is none.
	takeover       Request
	takeoverSentAt time.Time
	// handedTo has taken the account over, at handedAt.
	handedTo savorydeal.NodeID
	handedAt time.Time
}

// lease holds the grants to one process.
type lease struct {
	last     Grant
	seenAt   time.Time
	entries  []*entry
	standing standing
}

type entry struct {
	left    int
	expires time.Time
}

// report removes the tokens that a process has used. Those left count for the longest
// leases, since the owner does not know which ones the process has used.
func (a *ownedAccount) report(now time.Time, l *lease, held int) {
	kept := l.entries[:0]
	total := 0
	for _, e := range l.entries {
		if e.left > 0 && now.Before(e.expires) {
			kept = append(kept, e)
			total += e.left
		}
	}
	l.entries = kept
	for _, e := range l.entries {
		used := min(e.left, max(0, total-held))
		e.left -= used
		total -= used
		a.outstanding -= used
	}
}

const (
	roundingError = 1e-9
	// maxWaitSeconds bounds the waits of very small quotas, which could exceed the range of
	// a duration.
	maxWaitSeconds = 1e6
)

// grant takes tokens for a request. Tokens for requests that wait count as used; tokens
// ahead come from the upper half of the bucket only, so that unused ones do not keep
// waiting requests of other nodes from theirs.
func (a *ownedAccount) grant(now time.Time, l *lease, request Request, grant *Grant, share float64) {
	advance := a.quota.Rate * share * overdraft.Seconds()
	grant.Waiting = wholeTokens(request.Waiting, a.available+advance)
	a.available -= float64(grant.Waiting)
	grant.Ahead = wholeTokens(request.Ahead, a.available-a.limit(share)/2)
	if grant.Ahead == 0 {
		return
	}
	a.available -= float64(grant.Ahead)
	a.outstanding += grant.Ahead
	e := &entry{left: grant.Ahead, expires: now.Add(LeaseTime)}
	l.entries = append(l.entries, e)
	a.queue = append(a.queue, e)
}

func wholeTokens(wanted int, available float64) int {
	return int(max(0, min(float64(wanted), math.Floor(available+roundingError))))
}

// limit returns the bound on the tokens available and outstanding together.
func (a *ownedAccount) limit(share float64) float64 {
	return max(1, a.quota.Burst*share)
}
