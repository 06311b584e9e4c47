// Package sdera decides what a node does when the platform's store has come back from a copy
// that is some seconds old. The store states an era in its answers, which rises by one each
// time. Then what nodes wrote in those seconds is gone, and revisions are given out again: the
// package decides what has to be read or written again and when, which answers are late, and
// whether a starting node may trust the configuration of such a store. It does no I/O.
package sdera

import (
	"time"

	"github.com/savorydeal/savorydeal"
)

const (
	// startPhase is the time after the start in which the first era that a node learns is
	// the one in which it has started. A node that learns its first era later may have
	// state from before that era, so it counts as a rise.
	startPhase = 2 * time.Second
	// writeSpread is the time over which nodes spread their own objects, and the data
	// centres their meeting points.
	writeSpread = time.Second
	// rankStep is the time between two nodes of a data centre, by rank, that look after the
	// departures of VMs whose node is gone, so that the first has written before the next
	// looks. maxRankDelay bounds it for large data centres.
	rankStep     = 50 * time.Millisecond
	maxRankDelay = time.Second
	// repeatInterval and repeatTime are how often and for how long after a rise nodes look
	// for departures of VMs whose node has ended since.
	repeatInterval = 2 * time.Second
	repeatTime     = time.Minute
	// minRetry and maxRetry bound the time until failed work is repeated; it doubles with
	// each failure.
	minRetry = 200 * time.Millisecond
	maxRetry = 5 * time.Second
)

// Work is something that is due after a rise.
type Work string

// Values of Work.
const (
	// WorkMeetingPoints reads the meeting points, and writes those of them that are missing.
	WorkMeetingPoints Work = "meeting_points"
	// WorkDepartures writes the departures of VMs of this node's data centre whose node is
	// not alive, WorkDeparturesElsewhere those of all data centres.
	WorkDepartures          Work = "departures_of_others"
	WorkDeparturesElsewhere Work = "departures_elsewhere"
)

// Rise is a rise of the store's era.
type Rise struct {
	From, To uint64
	// OwnDeparturesAt is when the node writes the departures of its own VM again.
	OwnDeparturesAt time.Time
}

// Order is work to do now.
type Order struct {
	Work Work
	Era  uint64
}

type workState struct {
	at      time.Time
	retry   time.Duration
	running bool
}

// Tracker holds the store's era as far as one node knows it, and the work that is due because
// of it. It is not safe for concurrent use.
type Tracker struct {
	random    savorydeal.Random
	startedAt time.Time
	known     bool
	era       uint64
	risenAt   time.Time
	work      map[Work]*workState
	// settled holds the names of the departure objects that this node has found complete in
	// the store, or has written, in the present era.
	settled map[string]bool
}

// New returns a Tracker for a process that starts at now and knows no era.
func New(now time.Time, random savorydeal.Random) *Tracker {
	return &Tracker{random: random, startedAt: now, work: make(map[Work]*workState), settled: make(map[string]bool)}
}

// Era returns the highest era known, 0 if none is.
func (t *Tracker) Era() uint64 { return t.era }

// Known reports whether the store or another node has stated an era.
func (t *Tracker) Known() bool { return t.known }

// RisenAt returns the time at which the last rise became known, zero before the first.
func (t *Tracker) RisenAt() time.Time { return t.risenAt }

// Answered records the era that an answer of the store states, 0 if it states none. It
// reports whether the era has risen.
func (t *Tracker) Answered(now time.Time, era uint64) (Rise, bool) {
	return t.observe(now, era)
}

// Reported records the era that another node knows. 0 means that it knows none.
func (t *Tracker) Reported(now time.Time, era uint64) (Rise, bool) {
	if era == 0 {
		return Rise{}, false
	}
	return t.observe(now, era)
}

func (t *Tracker) observe(now time.Time, era uint64) (Rise, bool) {
	first := !t.known
	t.known = true
	if era <= t.era {
		return Rise{}, false
	}
	rise := Rise{From: t.era, To: era, OwnDeparturesAt: now.Add(t.fraction(writeSpread))}
	t.era = era
	if first && now.Sub(t.startedAt) < startPhase {
		return Rise{}, false
	}
	t.risenAt = now
	clear(t.settled)
	t.work = map[Work]*workState{
		WorkMeetingPoints:       {at: now.Add(t.fraction(writeSpread)), retry: minRetry},
		WorkDepartures:          {at: now.Add(writeSpread), retry: minRetry},
		WorkDeparturesElsewhere: {at: now.Add(writeSpread + maxRankDelay), retry: minRetry},
	}
	return rise, true
}

// fraction returns a random duration in [0, d).
func (t *Tracker) fraction(d time.Duration) time.Duration {
	return time.Duration(t.random.Float64() * float64(d))
}

// Late reports whether an answer that states an era belongs to an earlier era: its call began
// while this node knew the era began, and the era has risen since. An answer to a call that
// began after the rise is never late, whatever it states, so that a store that states no era
// any longer can still be used.
func (t *Tracker) Late(began, stated uint64) bool {
	return began < t.era && stated < t.era
}

// Due returns the work that is due now. rank is the node's rank among the live nodes of its
// data centre.
func (t *Tracker) Due(now time.Time, rank int) []Order {
	var orders []Order
	for _, work := range []Work{WorkMeetingPoints, WorkDepartures, WorkDeparturesElsewhere} {
		state := t.work[work]
		if state == nil || state.running {
			continue
		}
		at := state.at
		if work != WorkMeetingPoints {
			at = at.Add(min(maxRankDelay, time.Duration(rank)*rankStep))
		}
		if now.Before(at) {
			continue
		}
		state.running = true
		orders = append(orders, Order{Work: work, Era: t.era})
	}
	return orders
}

// Done records the end of work. Work of an earlier era changes nothing.
func (t *Tracker) Done(now time.Time, order Order, err error) {
	state := t.work[order.Work]
	if state == nil || order.Era != t.era {
		return
	}
	state.running = false
	switch {
	case err != nil:
		state.at = now.Add(state.retry/2 + t.fraction(state.retry/2))
		state.retry = min(maxRetry, 2*state.retry)
	case order.Work == WorkMeetingPoints || now.Sub(t.risenAt) >= repeatTime:
		delete(t.work, order.Work)
	default:
		state.at, state.retry = state.at.Add(repeatInterval), minRetry
	}
}

// Pending returns the work that is not done.
func (t *Tracker) Pending() []Work {
	pending := []Work{}
	for _, work := range []Work{WorkMeetingPoints, WorkDepartures, WorkDeparturesElsewhere} {
		if t.work[work] != nil {
			pending = append(pending, work)
		}
	}
	return pending
}

// Settle records that the store holds all that this node knows of an object, in an era.
func (t *Tracker) Settle(name string, era uint64) {
	if era == t.era {
		t.settled[name] = true
	}
}

// Settled reports whether an object is settled in the present era.
func (t *Tracker) Settled(name string) bool { return t.settled[name] }
