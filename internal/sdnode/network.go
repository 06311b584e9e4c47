package sdnode

import "github.com/savorydeal/savorydeal/internal/sdlink"

// SetNetwork lets tests put a faulty network between nodes: dialer opens links, and
// datagrams to an address for which drop returns true are dropped.
func (n *Node) SetNetwork(dialer sdlink.Dialer, drop func(to string) bool) {
	n.links.SetDialer(dialer)
	n.cluster.dropDatagram.Store(&drop)
}

func (s *clusterState) drops(to string) bool {
	drop := s.dropDatagram.Load()
	return drop != nil && (*drop)(to)
}
