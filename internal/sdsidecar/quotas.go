package sdsidecar

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"github.com/savorydeal/savorydeal"
	"github.com/savorydeal/savorydeal/internal/sdgossip"
	"github.com/savorydeal/savorydeal/internal/sdquota"
)

const (
	// quotaBusyInterval is the time between two checks of accounts with requests that wait
	// or with a token request in flight; quotaIdleInterval is the one without.
	quotaBusyInterval = 5 * time.Millisecond
	quotaIdleInterval = 50 * time.Millisecond
	// standingInterval is the time between two checks of accounts with a standing share.
	standingInterval = 200 * time.Millisecond
	// noQuotasInterval is the time between two checks while no account has a quota.
	noQuotasInterval = time.Second
)

// bootTime returns the time since the VM's start. Unlike the monotonic clock it also grows
// while the VM or the process is suspended, so that leases end then too, and a suspension
// shows as a gap.
func bootTime() time.Time {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		return time.Now() // never fails on a supported kernel
	}
	return time.Unix(0, now.Nano())
}

// quotas holds this node's part of the quotas of accounts: what it owns and what it uses.
// Requests contend on the lock of their account only.
type quotas struct {
	node *Node
	// limited is true if an account of the configuration in force has a quota.
	limited atomic.Bool
	// memberCount is the number of members among which quotas are divided.
	memberCount atomic.Int64

	// mu guards the fields up to accounts, and creations in accounts. It is taken before
	// ownerMu and the locks of accounts.
	mu          sync.Mutex
	members     []savorydeal.Member
	refutations uint64
	view        *sdquota.View
	snapshot    *sdquota.Snapshot
	configured  map[string]savorydeal.Quota
	// accounts maps the name of an account with a quota to its *quotaAccount.
	accounts sync.Map

	ownerMu sync.Mutex
	owner   *sdquota.Owner

	// outMu guards the token requests to be sent, and the accounts that need to be checked
	// although nothing arrives.
	outMu  sync.Mutex
	outbox map[savorydeal.NodeID][]sdquota.Request
	busy   map[*quotaAccount]struct{}
	wake   chan struct{}
}

func newQuotas(n *Node) *quotas {
	q := &quotas{
		node: n, view: sdquota.NewView(n.self), wake: make(chan struct{}, 1),
		outbox: make(map[savorydeal.NodeID][]sdquota.Request), busy: make(map[*quotaAccount]struct{}),
	}
	now := bootTime()
	q.snapshot = q.view.Refresh(now)
	q.owner = sdquota.NewOwner(now, q.snapshot)
	return q
}

// setAccounts puts the quotas of a configuration in force.
func (q *quotas) setAccounts(accounts []savorydeal.Account) {
	configured := make(map[string]savorydeal.Quota)
	for _, account := range accounts {
		if account.Quota.Limited() {
			configured[account.Name] = account.Quota
		}
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.configured = configured
	if !q.limited.Swap(len(configured) > 0) && len(configured) > 0 {
		q.updateView(q.members, false)
	}
	now := bootTime()
	q.ownerMu.Lock()
	q.owner.SetQuotas(now, configured)
	q.ownerMu.Unlock()
	q.accounts.Range(func(name, value any) bool {
		account := value.(*quotaAccount)
		quota, ok := configured[name.(string)]
		if !ok {
			q.accounts.Delete(name)
			return true
		}
		account.mu.Lock()
		account.client.SetQuota(now, quota, q.tolerance())
		account.mu.Unlock()
		return true
	})
	q.notify()
}

func (q *quotas) tolerance() sdquota.Tolerance {
	bounds := q.node.reloadable.Load().bounds
	return sdquota.Tolerance{Excess: bounds.QuotaExcess, Slack: bounds.QuotaSlack}
}

// setMembers replaces the members. refutations is how often this node has refuted that it
// is suspect or dead.
func (q *quotas) setMembers(members []savorydeal.Member, refutations uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.members = members
	refuted := refutations != q.refutations
	q.refutations = refutations
	if q.limited.Load() {
		q.updateView(members, refuted)
	}
}

// updateView passes the members to the owner part and to the accounts in use. A nil list
// stands for the same members at a later time. The caller holds mu.
func (q *quotas) updateView(members []savorydeal.Member, refuted bool) {
	now := bootTime()
	previous := q.snapshot
	if members == nil {
		q.snapshot = q.view.Refresh(now)
	} else {
		q.snapshot = q.view.Update(now, members)
	}
	q.ownerMu.Lock()
	q.owner.SetView(now, q.snapshot, refuted)
	q.memberCount.Store(int64(q.owner.Members(now)))
	q.ownerMu.Unlock()
	if !q.snapshot.SamePlacements(previous) {
		q.accounts.Range(func(_, value any) bool {
			account := value.(*quotaAccount)
			account.mu.Lock()
			account.client.SetPlacement(now, q.snapshot.Place(account.name))
			account.advance(q, now)
			account.mu.Unlock()
			return true
		})
	}
	q.notify()
}

// account returns the state of an account with a quota.
func (q *quotas) account(configured *savorydeal.Account) *quotaAccount {
	if known, ok := q.accounts.Load(configured.Name); ok {
		return known.(*quotaAccount)
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	created := &quotaAccount{
		name: configured.Name, pending: make(map[uint64]chan sdquota.Decision),
		client: sdquota.NewClient(bootTime(), configured.Name, configured.Quota, q.tolerance(), q.snapshot.Place(configured.Name)),
	}
	known, _ := q.accounts.LoadOrStore(configured.Name, created)
	return known.(*quotaAccount)
}

// ask queues a token request for run, which joins those for the same owner.
func (q *quotas) ask(owner savorydeal.NodeID, request sdquota.Request) {
	q.node.metrics.quota.requested.Add(float64(request.Waiting + request.Ahead))
	q.outMu.Lock()
	q.outbox[owner] = append(q.outbox[owner], request)
	q.outMu.Unlock()
	q.notify()
}

// setBusy adds an account to those that run checks, or removes it.
func (q *quotas) setBusy(account *quotaAccount, busy bool) {
	q.outMu.Lock()
	if busy {
		q.busy[account] = struct{}{}
	} else {
		delete(q.busy, account)
	}
	q.outMu.Unlock()
	if busy {
		q.notify()
	}
}

func (q *quotas) notify() {
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// run sends token requests, and checks the accounts whose requests wait.
func (q *quotas) run(ctx context.Context) error {
	timer := time.NewTimer(quotaIdleInterval)
	defer timer.Stop()
	ticked, reported, refreshed := time.Time{}, time.Time{}, time.Time{}
	for {
		select {
		case <-q.wake:
		case <-timer.C:
		case <-ctx.Done():
			return nil
		}
		interval := noQuotasInterval
		if q.limited.Load() {
			now := bootTime()
			if now.Sub(refreshed) >= time.Second {
				refreshed = now
				q.refresh()
			}
			if q.advanceBusy(now) {
				interval = quotaBusyInterval
			} else {
				interval = quotaIdleInterval
			}
			if now.Sub(ticked) >= quotaIdleInterval/2 {
				ticked = now
				q.tickOwner(now)
			}
			if now.Sub(reported) >= standingInterval {
				reported = now
				q.advanceStanding(now)
			}
			q.flush()
		}
		timer.Reset(interval)
	}
}

// refresh lets old losses of members expire.
func (q *quotas) refresh() {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.snapshot.Settled() {
		q.updateView(nil, false)
	}
}

// advanceBusy checks the accounts that need it and reports whether some still do.
func (q *quotas) advanceBusy(now time.Time) bool {
	q.outMu.Lock()
	busy := slices.Collect(maps.Keys(q.busy))
	q.outMu.Unlock()
	remaining := false
	for _, account := range busy {
		account.mu.Lock()
		account.advance(q, now)
		remaining = remaining || account.client.Busy()
		account.mu.Unlock()
	}
	return remaining
}

// advanceStanding lets the accounts with a standing share report that their demand has fallen.
func (q *quotas) advanceStanding(now time.Time) {
	q.accounts.Range(func(_, value any) bool {
		account := value.(*quotaAccount)
		account.mu.Lock()
		if account.client.HasStandingShare(now) {
			account.advance(q, now)
		}
		account.mu.Unlock()
		return true
	})
}

func (q *quotas) tickOwner(now time.Time) {
	q.ownerMu.Lock()
	messages := q.owner.Tick(now)
	q.ownerMu.Unlock()
	for _, message := range messages {
		q.outMu.Lock()
		q.outbox[message.To] = append(q.outbox[message.To], message.Request)
		q.outMu.Unlock()
	}
}

// flush sends the queued token requests, those of one owner together.
func (q *quotas) flush() {
	q.outMu.Lock()
	outbox := q.outbox
	q.outbox = make(map[savorydeal.NodeID][]sdquota.Request)
	q.outMu.Unlock()
	for owner, requests := range outbox {
		for chunk := range slices.Chunk(requests, sdquota.MaxItems) {
			q.send(owner, sdquota.Tokens{Requests: chunk})
		}
	}
}

// send sends a message to a node, which may be this one.
func (q *quotas) send(to savorydeal.NodeID, tokens sdquota.Tokens) {
	n := q.node
	tokens.Generation, tokens.Members = n.generation, int(q.memberCount.Load())
	if to == n.self {
		q.receive(to, &tokens)
		return
	}
	now := n.clock.Now()
	// Nodes of earlier versions read the report only. The age is read first: that of a newer
	// configuration must not be reported for an older one.
	report := configReport{age: n.confirmationAge()}
	if table := n.routes.Load(); table != nil {
		report.version = table.Config().Version
	}
	n.metrics.quota.sent.Inc()
	n.sendDatagram(string(to), sdgossip.Datagram{ConfigDigest: report.encode(), Tokens: &tokens}, now)
}

// receive handles a message of another node, or of this one.
func (q *quotas) receive(from savorydeal.NodeID, tokens *sdquota.Tokens) {
	now := bootTime()
	if from != q.node.self {
		q.ownerMu.Lock()
		q.owner.Learn(now, tokens.Members)
		q.memberCount.Store(int64(q.owner.Members(now)))
		q.ownerMu.Unlock()
	}
	if len(tokens.Requests) > 0 {
		q.ownerMu.Lock()
		grants := q.owner.Handle(now, sdquota.Process{Node: from, Generation: tokens.Generation}, tokens.Members, tokens.Requests)
		q.ownerMu.Unlock()
		for _, grant := range grants {
			q.node.metrics.quota.granted.Add(float64(grant.Waiting + grant.Ahead))
		}
		for chunk := range slices.Chunk(grants, sdquota.MaxItems) {
			q.send(from, sdquota.Tokens{Grants: chunk})
		}
	}
	for _, grant := range tokens.Grants {
		if grant.Takeover {
			q.ownerMu.Lock()
			q.owner.Receive(now, grant)
			q.ownerMu.Unlock()
			continue
		}
		if known, ok := q.accounts.Load(grant.Account); ok {
			known.(*quotaAccount).receive(q, now, from, grant)
		}
	}
}
