// Package sdannounce tracks the state of the target on this VM from its
// announcements. An announcement is a lease: it expires unless the target
// repeats it within TTL. The package does no I/O.
package sdannounce

import (
	"time"

	"github.com/savorydeal/savorydeal"
)

// TTL is how long an announcement is valid.
const TTL = 4 * time.Second

// Lease is the last announcement of the target, its expiry and the state that
// follows from both. It is not safe for concurrent use.
type Lease struct {
	announcement savorydeal.Announcement
	state        savorydeal.TargetState
	expires      time.Time
	readySince   time.Time
}

// NewLease returns a lease without an announcement, in state TargetAbsent.
func NewLease() *Lease {
	return &Lease{state: savorydeal.TargetAbsent}
}

// Announce replaces the announcement and renews the lease until now plus TTL.
func (l *Lease) Announce(now time.Time, announcement savorydeal.Announcement) {
	if announcement.State == savorydeal.TargetReady && l.state != savorydeal.TargetReady {
		l.readySince = now
	}
	l.announcement = announcement
	l.state = announcement.State
	l.expires = now.Add(TTL)
}

// State returns the target's state: TargetAbsent before the first announcement,
// TargetSilent once the last announcement has expired, otherwise the announced
// state.
func (l *Lease) State(now time.Time) savorydeal.TargetState {
	announced := l.state == savorydeal.TargetReady || l.state == savorydeal.TargetLeaving
	if announced && !now.Before(l.expires) {
		l.state = savorydeal.TargetSilent
	}
	return l.state
}

// Announcement returns the last announcement, even if it has expired.
func (l *Lease) Announcement() savorydeal.Announcement {
	return l.announcement
}

// ReadySince returns when the target last became ready, zero if it never was.
func (l *Lease) ReadySince() time.Time {
	return l.readySince
}

// Expires returns when the last announcement expires or expired.
func (l *Lease) Expires() time.Time {
	return l.expires
}
