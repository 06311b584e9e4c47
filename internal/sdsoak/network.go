package sdsoak

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const networkDialTimeout = time.Second

var errCut = errors.New("the network is cut")

// network stands between nodes: it carries the links that they dial and can
// cut, stall or silence them.
type network struct {
	mu sync.Mutex
	// cut tells whether the way between two peer addresses is cut: dials fail
	// and what is under way stalls until the cut heals.
	cut     func(from, to string) bool
	changed chan struct{}
	conns   map[*networkConn]struct{}

	swallowed atomic.Int64
	stalled   atomic.Int64
	refused   atomic.Int64
	dropped   atomic.Int64
}

func newNetwork() *network {
	return &network{changed: make(chan struct{}), conns: make(map[*networkConn]struct{})}
}

// setCut replaces the rule; nil heals.
func (n *network) setCut(cut func(from, to string) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut = cut
	close(n.changed)
	n.changed = make(chan struct{})
}

func (n *network) isCut(from, to string) (bool, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cut != nil && (n.cut(from, to) || n.cut(to, from)), n.changed
}

// silence makes the connections that match swallow all bytes for good, while
// new ones work. It returns how many there were.
func (n *network) silence(match func(from, to string) bool) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	silenced := 0
	for conn := range n.conns {
		if match(conn.from, conn.to) || match(conn.to, conn.from) {
			conn.silent.Store(true)
			silenced++
		}
	}
	return silenced
}

// dialer returns the dialer of the node at a peer address.
func (n *network) dialer(from string) func(string) (net.Conn, error) {
	return func(to string) (net.Conn, error) {
		if cut, _ := n.isCut(from, to); cut {
			n.refused.Add(1)
			return nil, errCut
		}
		raw, err := net.DialTimeout("tcp", to, networkDialTimeout)
		if err != nil {
			return nil, err
		}
		conn := &networkConn{Conn: raw, network: n, from: from, to: to, closed: make(chan struct{})}
		n.mu.Lock()
		defer n.mu.Unlock()
		n.conns[conn] = struct{}{}
		return conn, nil
	}
}

// datagrams tells the node at a peer address which of its datagrams are lost.
func (n *network) datagrams(from string) func(string) bool {
	return func(to string) bool {
		cut, _ := n.isCut(from, to)
		if cut {
			n.dropped.Add(1)
		}
		return cut
	}
}

// networkConn is one link's connection, wrapped on the side that dialled.
type networkConn struct {
	net.Conn
	network   *network
	from, to  string
	silent    atomic.Bool
	closeOnce sync.Once
	closed    chan struct{}
}

// Read reads what the network lets through.
func (c *networkConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil || !c.silent.Load() {
			return n, c.pass(err)
		}
		c.network.swallowed.Add(int64(n))
	}
}

// Write writes what the network lets through.
func (c *networkConn) Write(p []byte) (int, error) {
	if err := c.pass(nil); err != nil {
		return 0, err
	}
	if c.silent.Load() {
		c.network.swallowed.Add(int64(len(p)))
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// pass waits while the way is cut: TCP delivers late what was under way.
func (c *networkConn) pass(err error) error {
	for err == nil {
		cut, changed := c.network.isCut(c.from, c.to)
		if !cut {
			return nil
		}
		c.network.stalled.Add(1)
		select {
		case <-changed:
		case <-c.closed:
			return net.ErrClosed
		}
	}
	return err
}

// Close closes the connection.
func (c *networkConn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	c.network.mu.Lock()
	delete(c.network.conns, c)
	c.network.mu.Unlock()
	return c.Conn.Close()
}
