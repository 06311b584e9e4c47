package sdquota

import (
	"math"
	"time"

	"github.com/savorydeal/savorydeal"
)

// Owner is the part of a node that grants tokens for the accounts that it owns. It is not
// safe for concurrent use.
type Owner struct {
	started  time.Time
	snapshot *Snapshot
	accounts map[string]*ownedAccount
	lastSeen time.Time
	// notReadyBefore is the earliest time at which this process grants anything.
	notReadyBefore time.Time
	// otherTotal is the highest number of members that another node has reported since the
	// start: a process that has just started does not know of earlier losses.
	otherTotal int
	sequence   uint64
}

// Message is a message to another node.
type Message struct {
	To      savorydeal.NodeID
	Request Request
}

// NewOwner returns the owner part of a process that starts now.
func NewOwner(now time.Time, snapshot *Snapshot) *Owner {
	return &Owner{
		started: now, snapshot: snapshot, lastSeen: now, notReadyBefore: now.Add(viewWait),
		accounts: make(map[string]*ownedAccount), sequence: uint64(now.UnixNano()),
	}
}

// SetQuotas replaces the quotas in force, by account.
func (o *Owner) SetQuotas(now time.Time, quotas map[string]savorydeal.Quota) {
	o.advance(now)
	for name, quota := range quotas {
		if account := o.accounts[name]; account != nil {
			o.grow(now, account)
			account.quota = quota
			o.grow(now, account)
			continue
		}
		account := &ownedAccount{quota: quota, leases: make(map[Process]*lease), grownAt: now}
		o.accounts[name] = account
		o.place(now, name, account)
		if now.Sub(o.started) >= startTime {
			account.readyAt, account.takeover = now, Request{}
		}
	}
	for name := range o.accounts {
		if _, ok := quotas[name]; !ok {
			delete(o.accounts, name)
		}
	}
}

// SetView replaces the view of the members. refuted is true if other nodes had taken this
// one for dead, so that another owner may have granted tokens meanwhile.
func (o *Owner) SetView(now time.Time, snapshot *Snapshot, refuted bool) {
	o.advance(now)
	if snapshot.newMembers && now.Sub(o.started) < startTime {
		o.notReadyBefore = now.Add(viewWait)
	}
	for _, account := range o.accounts {
		o.grow(now, account)
	}
	moved := !snapshot.SamePlacements(o.snapshot)
	o.snapshot = snapshot
	for name, account := range o.accounts {
		if moved {
			o.place(now, name, account)
		}
		if refuted && account.owner == snapshot.self {
			o.restart(now, name, account)
		}
		o.grow(now, account)
	}
}

// place finds the owner of an account. A new owner starts without tokens.
func (o *Owner) place(now time.Time, name string, account *ownedAccount) {
	previous := account.owner
	account.owner = o.snapshot.Place(name).Owner
	if account.owner == previous {
		return
	}
	account.handedTo = ""
	switch {
	case previous == o.snapshot.self:
		account.lostAt = now
	case account.owner != o.snapshot.self:
	case previous == "":
		o.restart(now, name, account)
	case o.snapshot.left[previous]:
		account.reset(now, 0)
	default:
		account.reset(now, TakeoverWait)
	}
}

// restart makes this node, which may not have been the only owner of an account until now,
// a new owner, and asks the member that would own the account without it to hand it over.
func (o *Owner) restart(now time.Time, name string, account *ownedAccount) {
	account.reset(now, TakeoverWait)
	o.sequence++
	account.takeover = Request{Account: name, Sequence: o.sequence, Takeover: true}
}

// reset takes all tokens of an account and grants none for a while.
func (a *ownedAccount) reset(now time.Time, wait time.Duration) {
	a.available, a.grownAt = min(a.available, 0), now
	a.takeover, a.takeoverSentAt, a.confirmed = Request{}, time.Time{}, false
	a.readyAt = now.Add(wait)
}

// Tick returns the messages to previous owners that are due. It is to be called several
// times in pauseThreshold.
func (o *Owner) Tick(now time.Time) []Message {
	o.advance(now)
	var messages []Message
	for name, account := range o.accounts {
		for process, l := range account.leases {
			if now.Sub(l.seenAt) > leaseMemory && !now.Before(l.standing.until) {
				delete(account.leases, process)
			}
		}
		if account.handedTo != "" && now.Sub(account.handedAt) > 3*TakeoverWait {
			account.handedTo = ""
			account.reset(now, 0)
		}
		if account.takeover.Sequence == 0 || now.Sub(account.takeoverSentAt) < resendAfter {
			continue
		}
		if !now.Before(o.readyTime(account)) || account.owner != o.snapshot.self {
			account.takeover = Request{}
			continue
		}
		if previous, ok := o.snapshot.previousOwner(name); ok {
			account.takeoverSentAt = now
			messages = append(messages, Message{To: previous, Request: account.takeover})
		}
	}
	return messages
}

// Receive handles the answer of a previous owner.
func (o *Owner) Receive(now time.Time, grant Grant) {
	o.advance(now)
	account := o.accounts[grant.Account]
	if account == nil || !grant.Takeover || account.takeover.Sequence == 0 || account.takeover.Sequence != grant.Sequence {
		return
	}
	account.takeover = Request{}
	if grant.Starting || account.owner != o.snapshot.self {
		return
	}
	account.readyAt, account.grownAt, account.confirmed = now, now, true
	account.available = float64(grant.Available)
	account.outstanding += max(0, grant.Outstanding)
	account.queue = append(account.queue, &entry{left: max(0, grant.Outstanding), expires: now.Add(LeaseTime)})
	o.grow(now, account)
}

// Learn takes the number of members that another node has reported into account. It is to be
// called for each message of another node.
func (o *Owner) Learn(now time.Time, members int) {
	if now.Sub(o.started) < lossMemory {
		o.otherTotal = max(o.otherTotal, members)
	}
}

// Members returns the number of members among which quotas are divided, which each message
// to another node reports.
func (o *Owner) Members(now time.Time) int {
	if now.Sub(o.started) < lossMemory {
		return max(o.snapshot.total, o.otherTotal)
	}
	return o.snapshot.total
}

// Handle answers the token requests of a process. members is the number of members in the
// sender's view.
func (o *Owner) Handle(now time.Time, from Process, members int, requests []Request) []Grant {
	o.advance(now)
	o.Learn(now, members)
	grants := make([]Grant, 0, len(requests))
	for _, request := range requests {
		if request.Takeover {
			grants = append(grants, o.handOver(now, from.Node, request))
			continue
		}
		if grant, ok := o.handle(now, from, request); ok {
			grants = append(grants, grant)
		}
	}
	return grants
}

func (o *Owner) handle(now time.Time, from Process, request Request) (Grant, bool) {
	account := o.accounts[request.Account]
	grant := Grant{Account: request.Account, Sequence: request.Sequence}
	if account == nil { // no quota in this node's configuration
		grant.Waiting, grant.Ahead = request.Waiting, request.Ahead
		return grant, true
	}
	switch ready := o.readyTime(account); {
	case account.handedTo != "":
		grant.Owner = account.handedTo
		return grant, true
	case account.owner != o.snapshot.self:
		grant.Owner = account.owner
		return grant, true
	case now.Before(ready):
		grant.Starting, grant.Wait = true, ready.Sub(now)
		return grant, true
	}
	l := account.leases[from]
	if l == nil {
		l = &lease{}
		account.leases[from] = l
		account.replaceProcess(now, from)
	}
	switch {
	case request.Sequence < l.last.Sequence:
		return Grant{}, false
	case request.Sequence == l.last.Sequence:
		return l.last, true
	}
	account.report(now, l, request.Held)
	account.contact(now, l, request.Used)
	o.grow(now, account)
	l.seenAt = now
	account.grant(now, l, request, &grant, o.share(now))
	grant.Standing = account.promise(now, l, grant.Waiting+grant.Ahead, request.Demand, o.share(now))
	if grant.Waiting < request.Waiting {
		missing := (1 - account.available) / (account.quota.Rate * o.share(now))
		grant.Wait = max(time.Duration(min(missing, maxWaitSeconds)*float64(time.Second)), time.Duration(len(account.leases))*perClientWait)
	}
	l.last = grant
	return grant, true
}

// OwnedState describes an account that this node owns.
type OwnedState struct {
	Available, Share float64
	Outstanding      int
	Clients          int
	ReadyIn          time.Duration
	HandedTo         savorydeal.NodeID
}

// State returns the state of an account, false if this node does not own it.
func (o *Owner) State(now time.Time, name string) (OwnedState, bool) {
	o.advance(now)
	account := o.accounts[name]
	if account == nil || account.owner != o.snapshot.self {
		return OwnedState{}, false
	}
	o.grow(now, account)
	return OwnedState{
		Available: account.available, Outstanding: account.outstanding, Clients: len(account.leases), Share: o.share(now),
		ReadyIn: max(0, o.readyTime(account).Sub(now)), HandedTo: account.handedTo,
	}, true
}

// grow adds the tokens since the last call, within the limit.
func (o *Owner) grow(now time.Time, account *ownedAccount) {
	expired := 0
	for _, e := range account.queue {
		if now.Before(e.expires) {
			break
		}
		account.outstanding -= e.left
		e.left = 0
		expired++
	}
	account.queue = account.queue[expired:]
	share := o.share(now)
	from := account.grownAt
	if ready := o.readyTime(account); from.Before(ready) {
		from = ready
	}
	if account.owner == o.snapshot.self && account.handedTo == "" && now.After(from) {
		account.available += account.quota.Rate*share*now.Sub(from).Seconds() - account.setAside(from, now)
	}
	account.grownAt = now
	account.available = min(account.available, max(0, account.limit(share)-float64(account.outstanding)))
}

// readyTime returns when the node may grant tokens of an account that it owns.
func (o *Owner) readyTime(account *ownedAccount) time.Time {
	ready := account.readyAt
	if account.confirmed {
		return ready
	}
	if o.notReadyBefore.After(ready) {
		ready = o.notReadyBefore
	}
	if alone := o.started.Add(startTime); o.snapshot.total == 1 && alone.After(ready) {
		ready = alone
	}
	return ready
}

// share returns the share of the quotas that this node may grant as an owner.
func (o *Owner) share(now time.Time) float64 {
	return float64(o.snapshot.alive) / float64(o.Members(now))
}

// advance detects that the process was suspended: its tokens of before are gone.
func (o *Owner) advance(now time.Time) {
	gap := now.Sub(o.lastSeen)
	o.lastSeen = now
	if gap <= pauseThreshold {
		return
	}
	for name, account := range o.accounts {
		switch {
		case account.owner != o.snapshot.self:
			account.lostAt = time.Time{}
		case gap >= replacedThreshold:
			o.restart(now, name, account)
		default:
			account.reset(now, 0)
		}
	}
}

// handOver answers a node that has become the owner of an account in its own view.
func (o *Owner) handOver(now time.Time, to savorydeal.NodeID, request Request) Grant {
	grant := Grant{Account: request.Account, Sequence: request.Sequence, Takeover: true}
	account := o.accounts[request.Account]
	if account == nil {
		grant.Starting = true
		return grant
	}
	o.grow(now, account)
	owned := account.owner == o.snapshot.self && account.handedTo == "" || now.Sub(account.lostAt) < leaseMemory
	switch {
	case account.owner != to && account.owner != o.snapshot.self, !outranks(request.Account, to, o.snapshot.self),
		account.handedTo != "" && account.handedTo != to, now.Before(o.readyTime(account)):
		// Another owner may grant tokens.
		grant.Starting = true
		return grant
	case owned:
		grant.Available, grant.Outstanding = int(math.Floor(account.available)), account.outstanding
	}
	if account.owner == o.snapshot.self {
		account.handedTo, account.handedAt = to, now
	}
	account.available, account.lostAt = 0, time.Time{}
	return grant
}
