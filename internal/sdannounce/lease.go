// Package sdannounce keeps the state of the target on this VM from its
// announcements. An announcement is a lease: unless it is repeated it expires.
// It does no I/O.
package sdannounce

import (
	"time"

	"github.com/savorydeal/savorydeal"
)

// TTL is how long one announcement holds.
const TTL = 4 * time.Second

// Lease is the target's announcement and its expiry.
type Lease struct {
	announcement savorydeal.Announcement
	state        savorydeal.TargetState
	expires      time.Time
	readySince   time.Time
}

// NewLease returns a lease without a target.
func NewLease() *Lease {
	return &Lease{state: savorydeal.TargetAbsent}
}

// Announce takes an announcement.
func (l *Lease) Announce(now time.Time, announcement savorydeal.Announcement) {
	if announcement.State == savorydeal.TargetReady && l.state != savorydeal.TargetReady {
		l.readySince = now
	}
	l.announcement = announcement
	l.state = announcement.State
	l.expires = now.Add(TTL)
}

// State returns the target's state, after expiring an old announcement.
func (l *Lease) State(now time.Time) savorydeal.TargetState {
	announced := l.state == savorydeal.TargetReady || l.state == savorydeal.TargetLeaving
	if announced && !now.Before(l.expires) {
		l.state = savorydeal.TargetSilent
	}
	return l.state
}

// Announcement returns the last announcement.
func (l *Lease) Announcement() savorydeal.Announcement {
	return l.announcement
}

// ReadySince returns when the target last became ready.
func (l *Lease) ReadySince() time.Time {
	return l.readySince
}

// Expires returns when the last announcement lapses.
func (l *Lease) Expires() time.Time {
	return l.expires
}
