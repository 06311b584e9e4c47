package sdlink

import "net"

// Dialer opens the connection of a link to a peer address.
type Dialer func(address string) (net.Conn, error)

// SetDialer replaces the function that opens connections to peers. Tests use it to
// put a faulty network between nodes.
func (l *Links) SetDialer(dialer Dialer) {
	l.dialer.Store(&dialer)
}

func (l *Links) dialPeer(address string) (net.Conn, error) {
	if dialer := l.dialer.Load(); dialer != nil {
		return (*dialer)(address)
	}
	return net.DialTimeout("tcp", address, dialTimeout)
}
