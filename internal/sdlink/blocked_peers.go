package sdlink

import "github.com/hashicorp/yamux"

// SetBlockedPeers closes the links to the addresses for which blocked returns true
// and opens no new ones, as if they were unreachable; nil unblocks all addresses.
// Tests and benchmarks of network partitions call it on the nodes of both sides.
func (l *Links) SetBlockedPeers(blocked func(address string) bool) {
	l.mu.Lock()
	l.blocked = blocked
	var closing []*yamux.Session
	for address, existing := range l.links {
		if blocked != nil && blocked(address) {
			closing = append(closing, existing.session)
			delete(l.links, address)
		}
	}
	l.mu.Unlock()
	for _, session := range closing {
		_ = session.Close()
	}
}
