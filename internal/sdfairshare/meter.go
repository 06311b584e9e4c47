// Package sdfairshare decides which requests of one rank are refused first while a part
// of the rank is refused: those of client accounts that send more than their usual
// share. It does no I/O.
package sdfairshare

import (
	"math"
	"time"
)

const (
	// recentTime and usualTime are the ages at which the weight of a request has fallen
	// to 1/e in an account's recent and in its usual rate.
	recentTime = time.Second
	usualTime  = 20 * time.Second
	// surgeFactor is how far the recent rate may exceed the usual one before the rest
	// counts as excess; arrivals at one node vary by that much without a surge.
	surgeFactor = 1.25
	// minRecent is the number of recent requests up to which an account has no excess.
	// One or two requests show no rate.
	minRecent = 3
	// warmUpTime is the time after the first request of a rank in which nothing counts as
	// excess, because no rate is usual yet.
	warmUpTime = 5 * time.Second
	// forgetRate is the usual rate, in requests per second, below which an account
	// without recent requests is forgotten.
	forgetRate = 0.01
)

// decayed is a sum of weights that decay exponentially.
type decayed struct {
	sum float64
	at  time.Time
}

func (d *decayed) value(now time.Time, life time.Duration) float64 {
	if elapsed := now.Sub(d.at); elapsed > 0 {
		d.sum *= math.Exp(-elapsed.Seconds() / life.Seconds())
		d.at = now
	}
	return d.sum
}

func (d *decayed) add(now time.Time, life time.Duration, weight float64) {
	d.value(now, life)
	d.sum += weight
}

type account struct {
	recent, usual decayed
}

// rank holds the accounts of one rank, and the weights of all its requests and of those
// that were in excess.
type rank struct {
	since         time.Time
	accounts      map[string]*account
	total, excess decayed
}

// Meter measures the rates of accounts as one node receives their requests. It is not
// safe for concurrent use.
type Meter struct {
	ranks map[int]*rank
}

// NewMeter returns a Meter without requests.
func NewMeter() *Meter {
	return &Meter{ranks: make(map[int]*rank)}
}

// Draw counts a request and returns a number in [0, 1) that decides whether it is refused
// while a part of its rank is: the lowest go first. random is uniform in [0, 1). The
// results are uniform over all requests of a rank, so that the refused part has the size
// that was decided; requests in excess get the lowest numbers.
func (m *Meter) Draw(now time.Time, rankNumber int, name string, random float64) float64 {
	r := m.ranks[rankNumber]
	if r == nil {
		r = &rank{since: now, accounts: make(map[string]*account)}
		m.ranks[rankNumber] = r
	}
	a := r.accounts[name]
	if a == nil {
		a = &account{}
		r.accounts[name] = a
	}
	a.recent.add(now, recentTime, 1)
	excess := r.excessShare(now, a)
	// The excess does not count as usual, or a surge would soon pass for the usual rate.
	a.usual.add(now, usualTime, 1-excess)
	r.total.add(now, recentTime, 1)
	r.excess.add(now, recentTime, excess)
	part := r.excess.value(now, recentTime) / r.total.value(now, recentTime)
	if random < excess {
		return part * random / excess
	}
	return min(part+(1-part)*(random-excess)/(1-excess), math.Nextafter(1, 0))
}

// excessShare returns the share of an account's recent requests beyond its usual rate, or
// beyond the mean of all accounts of the rank if that is higher: an account below the
// mean takes nothing from the others.
func (r *rank) excessShare(now time.Time, a *account) float64 {
	recent, age := a.recent.value(now, recentTime), now.Sub(r.since)
	if recent <= minRecent || age < warmUpTime {
		return 0
	}
	total := 0.0
	for _, other := range r.accounts {
		total += other.usual.value(now, usualTime)
	}
	usual := max(a.usual.value(now, usualTime), total/float64(len(r.accounts)))
	// A sum over less than a few times usualTime lacks its earlier part.
	measured := usualTime.Seconds() * (1 - math.Exp(-age.Seconds()/usualTime.Seconds()))
	expected := surgeFactor * usual / measured * recentTime.Seconds()
	return max(0, 1-max(expected, minRecent)/recent)
}

// Expire forgets the accounts that have sent nothing for long.
func (m *Meter) Expire(now time.Time) {
	for number, r := range m.ranks {
		for name, a := range r.accounts {
			if a.usual.value(now, usualTime) < forgetRate*usualTime.Seconds() {
				delete(r.accounts, name)
			}
		}
		if len(r.accounts) == 0 {
			delete(m.ranks, number)
		}
	}
}

// Accounts returns the number of accounts that the meter knows.
func (m *Meter) Accounts() int {
	count := 0
	for _, r := range m.ranks {
		count += len(r.accounts)
	}
	return count
}
