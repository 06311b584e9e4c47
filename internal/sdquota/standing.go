package sdquota

import (
	"math"
	"time"
)

// A standing share lets a node go on while it cannot reach the owner of an account: in a
// network partition the owner is taken for dead only after seconds. The owner promises each
// node the rate at which it has granted it tokens lately. While a node is silent, the owner
// sets its share aside, and so never grants to others what the node may be using.

const (
	// StandingTime is how long a standing share may be used after the last contact.
	StandingTime = 6 * time.Second
	// silentAfter is the time without a token request after which an owner sets a standing
	// share aside. standingMargin is how much later the node begins to use it, which covers
	// the time that the request took.
	silentAfter    = 500 * time.Millisecond
	standingMargin = 100 * time.Millisecond
	// rateTime is the time over which the granted rate of a node is averaged.
	rateTime = 5 * time.Second
	// standingPart is the part of a node's granted rate that is promised. The rest keeps
	// tokens for nodes that the owner has not heard of lately.
	standingPart = 0.9
	// minStanding is the least standing share. What is set aside for nodes with a request
	// now and then would be missing for the others, since it is known too late that it was
	// not used.
	minStanding = 1.0
	// standingKept is how long a node may use its standing share after another node has
	// become the owner, which grants nothing for TakeoverWait.
	standingKept = TakeoverWait
)

// standing is the standing share of one process, at the owner.
type standing struct {
	// granted is the number of tokens of the last grant. mean is the average rate of the
	// grants, from 0 at the start, and weight the part of the average that was measured.
	granted      int
	mean, weight float64
	// rate is the share in tokens per second, until the time given.
	rate  float64
	until time.Time
}

// setAside returns the tokens set aside for a process between two times.
func (l *lease) setAside(from, to time.Time) float64 {
	if silent := l.seenAt.Add(silentAfter); from.Before(silent) {
		from = silent
	}
	if to.After(l.standing.until) {
		to = l.standing.until
	}
	return l.standing.rate * max(0, to.Sub(from).Seconds())
}

// setAside returns the tokens set aside for all processes between two times.
func (a *ownedAccount) setAside(from, to time.Time) float64 {
	total := 0.0
	for _, l := range a.leases {
		total += l.setAside(from, to)
	}
	return total
}

// contact returns the tokens that were set aside for a process and that it has not used, and
// updates its rate. What a process has used of the share that another owner promised it was
// not set aside here.
func (a *ownedAccount) contact(now time.Time, l *lease, used int) {
	if l.seenAt.IsZero() {
		return
	}
	if since := now.Sub(l.seenAt).Seconds(); since > 0 {
		weight := 1 - math.Exp(-since/rateTime.Seconds())
		l.standing.mean += weight * (float64(l.standing.granted)/since - l.standing.mean)
		l.standing.weight += weight * (1 - l.standing.weight)
	}
	a.available += l.setAside(l.seenAt, now) - float64(used)
}

// replaceProcess ends the standing shares of earlier processes of a node.
func (a *ownedAccount) replaceProcess(now time.Time, process Process) {
	for other, l := range a.leases {
		if other.Node == process.Node && other.Generation < process.Generation && l.standing.until.After(now) {
			l.standing.until = now
		}
	}
}

// promise sets the standing share of a process that has been granted a number of tokens. Its
// share is not more than its demand, nor than what the others' shares leave of the rate.
func (a *ownedAccount) promise(now time.Time, l *lease, granted, demand int, share float64) float64 {
	l.standing.granted, l.standing.rate, l.standing.until = granted, 0, now.Add(StandingTime)
	left := a.quota.Rate * share
	for _, other := range a.leases {
		if other != l && now.Before(other.standing.until) {
			left -= other.standing.rate
		}
	}
	if l.standing.weight > 0 {
		if rate := min(standingPart*l.standing.mean/l.standing.weight, float64(demand), left); rate >= minStanding {
			l.standing.rate = rate
		}
	}
	return l.standing.rate
}

// fallback is the standing share of a client.
type fallback struct {
	rate float64
	// from and until bound its use; the time before growAt has been counted in tokens.
	from, until, grownAt time.Time
	tokens               float64
	// used is the number of tokens that were used and not reported to the owner.
	used int
}

// renew replaces the share by the one of an answer to a request that was first sent at a time.
func (f *fallback) renew(sentAt time.Time, rate float64, reported int) {
	f.rate, f.tokens = rate, 0
	f.from, f.until = sentAt.Add(silentAfter+standingMargin), sentAt.Add(StandingTime)
	f.grownAt = f.from
	f.used -= min(f.used, reported)
}

// take uses a token of the share.
func (f *fallback) take(now time.Time) bool {
	end := now
	if end.After(f.until) {
		end = f.until
	}
	if end.After(f.grownAt) {
		f.tokens += f.rate * end.Sub(f.grownAt).Seconds() // all of it was set aside
		f.grownAt = end
	}
	if f.tokens < 1 || !now.Before(f.until) {
		return false
	}
	f.tokens--
	f.used++
	return true
}

// shorten ends the use of the share at a time.
func (f *fallback) shorten(until time.Time) {
	if f.until.After(until) {
		f.until = until
	}
}

// demandRate returns the demand in requests per second, rounded up.
func (c *Client) demandRate(now time.Time) int {
	return int(math.Ceil(c.demandNow(now) / demandTime.Seconds()))
}

// HasStandingShare reports whether Advance has to be called from time to time, so that the
// owner learns when the demand has fallen.
func (c *Client) HasStandingShare(now time.Time) bool {
	return c.fallback.rate > 0 && now.Before(c.fallback.until)
}

// mustReport reports whether the owner has to learn that the demand has fallen, so that it
// does not set the share aside.
func (c *Client) mustReport(now time.Time) bool {
	return c.HasStandingShare(now) && float64(c.demandRate(now)) < c.fallback.rate/2
}
