package sdnode

import "github.com/savorydeal/savorydeal/internal/sdlink"

// SetDialer replaces how links to other nodes are opened. Tests put a faulty
// network between nodes with it.
func (n *Node) SetDialer(dialer sdlink.Dialer) {
	n.links.SetDialer(dialer)
}
