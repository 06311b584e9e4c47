// Package sdprobe decides when a link to a peer is probed and when it counts
// as failed because the peer does not respond. It does no I/O.
//
// A link is probed only while exchanges, such as calls and their answers, are
// open on it and nothing is received from the peer. An idle link causes no
// traffic.
package sdprobe

import (
	"cmp"
	"time"
)

const (
	// QuietBeforeProbe is the time without received bytes after which a link in
	// use is probed.
	QuietBeforeProbe = 300 * time.Millisecond
	// ProbeTimeout is the time without received bytes after a probe until the link
	// is replaced, unless Prober.Timeout is set.
	ProbeTimeout = 700 * time.Millisecond
	// CheckInterval is the time between two calls of Prober.Check for a link in
	// use.
	CheckInterval = 100 * time.Millisecond
)

// Action is the result of a check of a link.
type Action string

const (
	// ActionNone means that nothing is to be done.
	ActionNone Action = "none"
	// ActionProbe means that a probe is to be sent.
	ActionProbe Action = "probe"
	// ActionReplace means that the link has failed: new exchanges need a new link.
	ActionReplace Action = "replace"
)

// Prober tracks one link. It is not safe for concurrent use.
type Prober struct {
	// Timeout replaces ProbeTimeout for this link if it is not 0.
	Timeout time.Duration

	// openExchanges is the number of exchanges that have not ended.
	openExchanges int
	// lastReceived is the time of the last bytes received, or of the start of the
	// exchange that ended the last idle period if that is later.
	lastReceived time.Time
	// probedAt is when the last probe was sent; probing is set while nothing has
	// been received since.
	probedAt time.Time
	probing  bool
}

// ExchangeStarted records the start of an exchange. The first one on an idle
// link restarts the time without received bytes, because nothing is received
// on an idle link.
func (p *Prober) ExchangeStarted(now time.Time) {
	p.openExchanges++
	if p.openExchanges == 1 {
		p.lastReceived = now
		p.probing = false
	}
}

// ExchangeEnded records the end of an exchange.
func (p *Prober) ExchangeEnded() {
	p.openExchanges--
}

// InUse reports whether any exchange is open.
func (p *Prober) InUse() bool {
	return p.openExchanges > 0
}

// Check returns what to do now. lastReceived is the time at which bytes last
// arrived on the link.
func (p *Prober) Check(now, lastReceived time.Time) Action {
	if p.openExchanges == 0 {
		return ActionNone
	}
	if lastReceived.After(p.lastReceived) {
		p.lastReceived = lastReceived
	}
	if p.probing && p.lastReceived.After(p.probedAt) {
		p.probing = false
	}
	switch {
	case p.probing && now.Sub(p.probedAt) >= cmp.Or(p.Timeout, ProbeTimeout):
		return ActionReplace
	case p.probing || now.Sub(p.lastReceived) < QuietBeforeProbe:
		return ActionNone
	}
	p.probing = true
	p.probedAt = now
	return ActionProbe
}
