package sdfairshare

import "time"

// startsTime is the age at which the weight of a start has fallen to 1/e. It is long
// enough to cover many calls of each busy account.
const startsTime = time.Second

// Starts counts the calls that accounts have started lately, so that equal calls that
// wait can run in turns between accounts. It is not safe for concurrent use.
type Starts struct {
	accounts map[string]*decayed
}

// NewStarts returns Starts without calls.
func NewStarts() *Starts {
	return &Starts{accounts: make(map[string]*decayed)}
}

// Add counts the start of a call.
func (s *Starts) Add(now time.Time, account string) {
	d := s.accounts[account]
	if d == nil {
		s.expire(now)
		d = &decayed{}
		s.accounts[account] = d
	}
	d.add(now, startsTime, 1)
}

// Recent returns the decayed number of calls that an account has started.
func (s *Starts) Recent(now time.Time, account string) float64 {
	if d := s.accounts[account]; d != nil {
		return d.value(now, startsTime)
	}
	return 0
}

// minStarts is the decayed number of starts below which an account is forgotten.
const minStarts = 0.001

func (s *Starts) expire(now time.Time) {
	for name, d := range s.accounts {
		if d.value(now, startsTime) < minStarts {
			delete(s.accounts, name)
		}
	}
}
