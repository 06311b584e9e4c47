package sdera

import "time"

// MaxFirstConfigWait is how long a starting node waits for other nodes before it puts the
// configuration of a store in force that has come back from a copy. Its meeting points may be
// gone as well, and other nodes write them again within writeSpread.
const MaxFirstConfigWait = 1500 * time.Millisecond

// startingPeersWait is how long it waits if other nodes have answered, but none has a
// configuration. All nodes may have started together, and callers wait for them.
const startingPeersWait = 500 * time.Millisecond

// FirstConfig decides whether a starting node may put the store's configuration in force. A
// store that has come back from a copy may hold an older version than the one that other
// nodes have in force. The zero value is one of a node that has heard of no other node. It is
// not safe for concurrent use.
type FirstConfig struct {
	// peerVersion is the latest version that another node has in force, 0 if none is known.
	peerVersion uint64
	// heard is true once another node has stated whether it has one.
	heard  bool
	readAt time.Time
}

// PeerVersion records the version in force at another node, 0 if it has none.
func (f *FirstConfig) PeerVersion(version uint64) {
	f.heard = true
	f.peerVersion = max(f.peerVersion, version)
}

// Take reports whether a version that was read from the store in an era may be put in force
// now. While no other node has answered, it waits up to MaxFirstConfigWait, up to
// startingPeersWait if those that have answered have none, and up to twice MaxFirstConfigWait
// if another node has a later one, which is being fetched.
func (f *FirstConfig) Take(now time.Time, era, version uint64) bool {
	if f.readAt.IsZero() {
		f.readAt = now
	}
	wait := MaxFirstConfigWait
	switch {
	case era == 0 || 0 < f.peerVersion && f.peerVersion <= version:
		return true
	case f.peerVersion > version:
		wait *= 2
	case f.heard && f.peerVersion == 0:
		wait = startingPeersWait
	}
	return now.Sub(f.readAt) >= wait
}
