package sdsidecar

import (
	"context"
	"sync"
	"time"

	"github.com/savorydeal/savorydeal"
	"github.com/savorydeal/savorydeal/internal/sdquota"
)

// quotaAccount is an account with a quota that this node uses.
type quotaAccount struct {
	name string

	mu     sync.Mutex
	client *sdquota.Client
	lastID uint64
	// busy is true if the account is in quotas.busy.
	busy bool
	// pending holds the channel of each request that waits for a token.
	pending map[uint64]chan sdquota.Decision
}

// pendingToken is a request that waits for a token.
type pendingToken struct {
	id       uint64
	decision <-chan sdquota.Decision
}

// arrive counts a request and returns its decision, or the request as one that waits.
func (a *quotaAccount) arrive(q *quotas) (sdquota.Decision, *pendingToken) {
	now := bootTime()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lastID++
	id := a.lastID
	decision, ok := a.client.Arrive(now, id)
	var pending *pendingToken
	if !ok {
		channel := make(chan sdquota.Decision, 1)
		a.pending[id] = channel
		pending = &pendingToken{id: id, decision: channel}
	}
	a.advance(q, now)
	return decision, pending
}

// await waits for the decision on a request. A request whose caller or time is gone counts as
// one whose owner cannot be reached.
func (a *quotaAccount) await(ctx context.Context, q *quotas, pending *pendingToken, deadline time.Time) sdquota.Decision {
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case decision := <-pending.decision:
		return decision
	case <-ctx.Done():
	case <-timer.C:
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	select {
	case decision := <-pending.decision: // decided meanwhile
		if decision.Verdict == sdquota.VerdictGranted {
			a.client.Return(bootTime(), decision.Ticket)
		}
	default:
		a.client.Cancel(pending.id)
		delete(a.pending, pending.id)
	}
	a.advance(q, bootTime())
	return sdquota.Decision{ID: pending.id, Verdict: sdquota.VerdictUnreachable}
}

// advance delivers the decisions that are due, and queues the token request that is due. The
// caller holds mu.
func (a *quotaAccount) advance(q *quotas, now time.Time) {
	decisions, request := a.client.Advance(now)
	for _, decision := range decisions {
		if channel, ok := a.pending[decision.ID]; ok {
			channel <- decision
			delete(a.pending, decision.ID)
		}
	}
	if busy := a.client.Busy(); busy != a.busy {
		a.busy = busy
		q.setBusy(a, busy)
	}
	if request != nil {
		q.ask(a.client.Owner(), *request)
	}
}

func (a *quotaAccount) receive(q *quotas, now time.Time, from savorydeal.NodeID, grant sdquota.Grant) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.client.Receive(now, from, grant)
	q.node.metrics.quota.received.Add(float64(grant.Waiting + grant.Ahead))
	a.advance(q, now)
}

// giveBack returns the token of a request that certainly did not run.
func (a *quotaAccount) giveBack(q *quotas, ticket sdquota.Ticket) {
	now := bootTime()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.client.Return(now, ticket)
	a.advance(q, now)
}

func (a *quotaAccount) owner() savorydeal.NodeID {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.client.Owner()
}

// state returns the quotas of the accounts that this node uses or owns, for the state dump.
func (q *quotas) state() map[string]any {
	now := bootTime()
	state := make(map[string]any)
	q.mu.Lock()
	defer q.mu.Unlock()
	for name, quota := range q.configured {
		entry := map[string]any{"rate": quota.Rate, "burst": quota.Burst, "owner": q.snapshot.Place(name).Owner}
		q.ownerMu.Lock()
		owned, isOwner := q.owner.State(now, name)
		q.ownerMu.Unlock()
		if isOwner {
			entry["owned"] = map[string]any{
				"available": owned.Available, "outstanding": owned.Outstanding, "share": owned.Share, "nodes": owned.Clients,
				"ready_in_s": owned.ReadyIn.Seconds(), "handed_to": owned.HandedTo,
			}
		}
		if value, ok := q.accounts.Load(name); ok {
			account := value.(*quotaAccount)
			account.mu.Lock()
			tokens, reserve := account.client.Tokens(now)
			entry["tokens"], entry["reserve"], entry["asked"] = tokens, reserve, account.client.Owner()
			entry["unreachable"], entry["waiting"] = account.client.Unreachable(), len(account.pending)
			account.mu.Unlock()
		}
		state[name] = entry
	}
	return state
}
