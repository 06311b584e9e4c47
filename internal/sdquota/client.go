package sdquota

import (
	"math"
	"time"

	"github.com/savorydeal/savorydeal"
)

// Client is the state of one account at one node that uses it. It is not safe for
// concurrent use.
type Client struct {
	account   string
	quota     savorydeal.Quota
	tolerance Tolerance
	placement Placement
	// redirect is the owner according to the node that was asked first, until redirectEnd.
	redirect    savorydeal.NodeID
	redirectEnd time.Time

	// demand is the number of arrivals, each weighted by its age (time constant demandTime).
	demand   float64
	demandAt time.Time
	batches  []*batch
	waiters  []waiter
	sequence uint64
	// flight is the token request without an answer, nil if there is none.
	flight *flight
	// notBefore is the earliest time of the next token request, aheadNotBefore of the next
	// one that asks ahead.
	notBefore, aheadNotBefore time.Time
	// noRoomUntil is when the owner, which had too few tokens, expects to have another.
	noRoomUntil time.Time
	unreachable bool
	fallback    fallback
	reserve     float64
	reserveAt   time.Time
}

// batch holds the tokens of one grant.
type batch struct {
	left    int
	expires time.Time
	// immediate tokens count as used at the owner, sequence is the one of the request.
	immediate bool
	sequence  uint64
}

type waiter struct {
	id      uint64
	arrived time.Time
}

type flight struct {
	request           Request
	firstSent, sentAt time.Time
	sends             int
}

// Ticket identifies a token that a request has got.
type Ticket struct {
	batch    *batch
	sequence uint64
}

// Decision is the result for one request of a caller.
type Decision struct {
	ID         uint64
	Verdict    Verdict
	RetryAfter time.Duration
	Ticket     Ticket
}

// NewClient returns the state of an account.
func NewClient(now time.Time, account string, quota savorydeal.Quota, tolerance Tolerance, placement Placement) *Client {
	return &Client{
		account: account, quota: quota, tolerance: tolerance, placement: placement, reserveAt: now, demandAt: now,
		// Answers to an earlier process, or to an earlier state of this account, are not mistaken for new ones.
		sequence: uint64(now.UnixNano()),
	}
}

// SetQuota changes the quota. If it is lowered, tokens granted under the previous one are
// not used any more, since they may exceed the new quota.
func (c *Client) SetQuota(now time.Time, quota savorydeal.Quota, tolerance Tolerance) {
	c.growReserve(now)
	if quota.Rate < c.quota.Rate || quota.Burst < c.quota.Burst {
		for _, b := range c.batches {
			b.left, b.expires = 0, now
		}
		c.fallback.shorten(now)
	}
	c.quota, c.tolerance = quota, tolerance
}

// SetPlacement changes the owner. Tokens of the previous one stay valid until their lease
// ends.
func (c *Client) SetPlacement(now time.Time, placement Placement) {
	c.growReserve(now)
	if placement.Owner != c.placement.Owner {
		c.fallback.shorten(now.Add(standingKept))
		c.flight, c.unreachable = nil, false
		c.notBefore, c.noRoomUntil = time.Time{}, time.Time{}
		c.redirect = ""
	}
	c.placement = placement
}

// Owner returns the node that is asked for tokens.
func (c *Client) Owner() savorydeal.NodeID {
	if c.redirect != "" {
		return c.redirect
	}
	return c.placement.Owner
}

// Arrive handles a request of a caller. The result is false if the request has to wait
// until Advance returns its decision.
func (c *Client) Arrive(now time.Time, id uint64) (Decision, bool) {
	c.demand = c.demandNow(now) + 1
	c.demandAt = now
	if len(c.waiters) == 0 {
		if ticket, ok := c.take(now); ok {
			return Decision{ID: id, Verdict: VerdictGranted, Ticket: ticket}, true
		}
	}
	if !c.unreachable && c.noRoomUntil.Sub(now) > MaxWait {
		return c.refuse(now, id, VerdictNoRoom), true
	}
	c.waiters = append(c.waiters, waiter{id: id, arrived: now})
	return Decision{}, false
}

// Cancel removes a waiting request.
func (c *Client) Cancel(id uint64) {
	for i, w := range c.waiters {
		if w.id == id {
			c.waiters = append(c.waiters[:i], c.waiters[i+1:]...)
			return
		}
	}
}

// Return gives back the token of a request that certainly did not run. A token whose lease
// has ended, or that a later message has reported as used, is lost.
func (c *Client) Return(now time.Time, ticket Ticket) {
	b := ticket.batch
	if b == nil || !now.Before(b.expires) || !b.immediate && ticket.sequence != c.sequence {
		return
	}
	b.left++
	for _, known := range c.batches {
		if known == b {
			return
		}
	}
	c.batches = append([]*batch{b}, c.batches...)
}

// Receive handles an answer. Answers to earlier token requests, and of nodes that were not
// asked, are ignored.
func (c *Client) Receive(now time.Time, from savorydeal.NodeID, grant Grant) {
	if c.flight == nil || grant.Takeover || from != c.Owner() || grant.Sequence != c.flight.request.Sequence {
		return
	}
	answered := c.flight
	c.flight = nil
	c.notBefore = answered.firstSent.Add(minInterval)
	switch {
	case grant.Owner != "" && grant.Owner != from:
		c.redirect, c.redirectEnd = grant.Owner, now.Add(redirectTime)
		return
	case grant.Starting:
		c.unreachable = true
		c.notBefore = now.Add(max(minInterval, min(grant.Wait, resendAfter)))
		return
	}
	c.unreachable = false
	c.fallback.renew(answered.firstSent, grant.Standing, answered.request.Used)
	c.addBatch(&batch{
		left: grant.Waiting, expires: answered.firstSent.Add(immediateTime), immediate: true, sequence: answered.request.Sequence,
	})
	c.addBatch(&batch{left: grant.Ahead, expires: answered.firstSent.Add(LeaseTime), sequence: answered.request.Sequence})
	if grant.Waiting < answered.request.Waiting {
		c.noRoomUntil = now.Add(grant.Wait)
	}
	if grant.Ahead < answered.request.Ahead {
		c.aheadNotBefore = now.Add(aheadInterval)
	}
}

func (c *Client) addBatch(b *batch) {
	if b.left > 0 {
		c.batches = append(c.batches, b)
	}
}

// Advance returns the decisions on waiting requests, and the token request that is to be
// sent to the owner, nil if none is due.
func (c *Client) Advance(now time.Time) ([]Decision, *Request) {
	var decisions []Decision
	next := 0
	for ; next < len(c.waiters); next++ {
		ticket, ok := c.take(now)
		if !ok && c.unreachable && c.takeReserve(now) {
			ok = true
		}
		if !ok {
			break
		}
		decisions = append(decisions, Decision{ID: c.waiters[next].id, Verdict: VerdictGranted, Ticket: ticket})
	}
	request := c.resend(now)
	remaining := c.waiters[next:]
	kept := remaining[:0:0]
	for _, w := range remaining {
		end := w.arrived.Add(MaxWait)
		// An answer of before the request arrived counts too if it covers the arrival.
		noRoom := !c.unreachable && c.noRoomUntil.After(w.arrived)
		switch {
		case noRoom && (c.noRoomUntil.After(end) || !now.Before(end)):
			decisions = append(decisions, c.refuse(now, w.id, VerdictNoRoom))
		case !now.Before(end):
			if c.takeReserve(now) {
				decisions = append(decisions, Decision{ID: w.id, Verdict: VerdictGranted})
			} else {
				decisions = append(decisions, c.refuse(now, w.id, VerdictUnreachable))
			}
		default:
			kept = append(kept, w)
		}
	}
	c.waiters = kept
	if request == nil {
		request = c.ask(now)
	}
	return decisions, request
}

// Busy reports whether Advance has to be called again although nothing arrives.
func (c *Client) Busy() bool { return c.flight != nil || len(c.waiters) > 0 }

// Tokens returns the number of tokens that can be used now, and the reserve.
func (c *Client) Tokens(now time.Time) (tokens int, reserve float64) {
	c.growReserve(now)
	for _, b := range c.batches {
		if now.Before(b.expires) {
			tokens += b.left
		}
	}
	return tokens, c.reserve
}

// Unreachable reports whether the owner does not grant tokens.
func (c *Client) Unreachable() bool { return c.unreachable }

// take uses one token, of the batch that expires first.
func (c *Client) take(now time.Time) (Ticket, bool) {
	var first *batch
	kept := c.batches[:0]
	for _, b := range c.batches {
		if b.left <= 0 || !now.Before(b.expires) {
			continue
		}
		kept = append(kept, b)
		if first == nil || b.expires.Before(first.expires) {
			first = b
		}
	}
	clear(c.batches[len(kept):])
	c.batches = kept
	if first == nil {
		return Ticket{}, false
	}
	first.left--
	return Ticket{batch: first, sequence: c.sequence}, true
}

// resend returns the token request that is to be sent again. After maxSends without an
// answer the owner counts as unreachable.
func (c *Client) resend(now time.Time) *Request {
	f := c.flight
	if f == nil || now.Sub(f.sentAt) < resendAfter {
		return nil
	}
	if f.sends < maxSends {
		f.sends++
		f.sentAt = now
		return &f.request
	}
	c.flight, c.unreachable, c.redirect = nil, true, ""
	return nil
}

// ask returns a new token request if one is due.
func (c *Client) ask(now time.Time) *Request {
	if c.flight != nil || now.Before(c.notBefore) {
		return nil
	}
	if !now.Before(c.redirectEnd) {
		c.redirect = ""
	}
	request := Request{Account: c.account, Demand: c.demandRate(now), Used: c.fallback.used}
	if !now.Before(c.noRoomUntil) {
		request.Waiting = len(c.waiters)
	}
	usable := 0
	for _, b := range c.batches {
		if !now.Before(b.expires) {
			continue
		}
		usable += b.left
		if !b.immediate {
			request.Held += b.left
		}
	}
	if demand := c.demandNow(now); demand >= minAheadDemand && float64(usable) < demand/2 && !now.Before(c.aheadNotBefore) {
		request.Ahead = int(demand) - usable
	}
	if request.Waiting+request.Ahead == 0 && !c.mustReport(now) {
		return nil
	}
	c.sequence++
	request.Sequence = c.sequence
	c.flight = &flight{request: request, firstSent: now, sentAt: now, sends: 1}
	return &c.flight.request
}

func (c *Client) demandNow(now time.Time) float64 {
	return c.demand * math.Exp(-now.Sub(c.demandAt).Seconds()/demandTime.Seconds())
}

// refuse returns a refusal. A quota without room has room again once the waiting requests
// and this one could get a token each.
func (c *Client) refuse(now time.Time, id uint64, verdict Verdict) Decision {
	decision := Decision{ID: id, Verdict: verdict}
	if verdict == VerdictNoRoom {
		ahead := float64(1+len(c.waiters)) / c.quota.Rate
		decision.RetryAfter = max(0, c.noRoomUntil.Sub(now)) + time.Duration(min(ahead, math.MaxInt32)*float64(time.Second))
	}
	return decision
}

// growReserve adds the tokens that the node may use while the owner is unreachable: half of
// the excess, divided by the members.
func (c *Client) growReserve(now time.Time) {
	perSecond := c.tolerance.Excess / 2 * c.quota.Rate / float64(max(1, c.placement.Members))
	depth := perSecond
	if perSecond < 1 {
		// One whole token at each of many nodes would exceed the tolerance of a small quota.
		depth = 0
		if float64(c.placement.Rank) <= c.tolerance.Slack/2 {
			depth = 1
		}
	}
	c.reserve = min(depth, c.reserve+perSecond*max(0, now.Sub(c.reserveAt).Seconds()))
	c.reserveAt = now
}

// takeReserve uses a token of the standing share or of the reserve.
func (c *Client) takeReserve(now time.Time) bool {
	if c.fallback.take(now) {
		return true
	}
	c.growReserve(now)
	if c.reserve < 1 {
		return false
	}
	c.reserve--
	return true
}
