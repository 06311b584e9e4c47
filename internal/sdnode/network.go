package sdnode

import "github.com/savorydeal/savorydeal/internal/sdlink"

// SetNetwork puts a faulty network between nodes, for tests: dialer opens
// links, and datagrams to an address for which lost is true are dropped.
func (n *Node) SetNetwork(dialer sdlink.Dialer, lost func(to string) bool) {
	n.links.SetDialer(dialer)
	n.fleet.lost.Store(&lost)
}

func (f *fleet) loses(to string) bool {
	lost := f.lost.Load()
	return lost != nil && (*lost)(to)
}
