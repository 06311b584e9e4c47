package sdsoak

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const dialTimeout = time.Second

var errPartitioned = errors.New("the network is partitioned")

// network carries the connections and datagrams between nodes and can partition
// them or discard their bytes.
type network struct {
	mu sync.Mutex
	// partition reports whether two peer addresses are partitioned; nil is no
	// partition. Dials then fail, datagrams are dropped, and connections block
	// until the partition heals.
	partition func(from, to string) bool
	// changed is closed when the partition changes.
	changed chan struct{}
	conns   map[*linkConn]struct{}

	discardedBytes atomic.Int64
	// stalledOperations counts the reads and writes that a partition blocked.
	stalledOperations atomic.Int64
	refusedDials      atomic.Int64
	droppedDatagrams  atomic.Int64
}

func newNetwork() *network {
	return &network{changed: make(chan struct{}), conns: make(map[*linkConn]struct{})}
}

// setPartition replaces the partition; nil heals it.
func (n *network) setPartition(partition func(from, to string) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partition = partition
	close(n.changed)
	n.changed = make(chan struct{})
}

// partitioned reports whether two peer addresses are partitioned, and returns a
// channel that is closed when the partition changes.
func (n *network) partitioned(from, to string) (bool, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.partition != nil && (n.partition(from, to) || n.partition(to, from)), n.changed
}

// blackhole makes the open connections that match discard all bytes for the
// rest of their lifetime. It returns their number. New connections work.
func (n *network) blackhole(match func(from, to string) bool) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	matched := 0
	for conn := range n.conns {
		if match(conn.from, conn.to) || match(conn.to, conn.from) {
			conn.blackholed.Store(true)
			matched++
		}
	}
	return matched
}

// closeBlackholed closes the connections that discard bytes. Those that no exchange has
// used would otherwise go on doing so after the end of the fault.
func (n *network) closeBlackholed() {
	n.mu.Lock()
	var blackholed []*linkConn
	for conn := range n.conns {
		if conn.blackholed.Load() {
			blackholed = append(blackholed, conn)
		}
	}
	n.mu.Unlock()
	for _, conn := range blackholed {
		_ = conn.Close()
	}
}

// dialer returns the function with which the node at a peer address dials others.
func (n *network) dialer(from string) func(string) (net.Conn, error) {
	return func(to string) (net.Conn, error) {
		if partitioned, _ := n.partitioned(from, to); partitioned {
			n.refusedDials.Add(1)
			return nil, errPartitioned
		}
		raw, err := net.DialTimeout("tcp", to, dialTimeout)
		if err != nil {
			return nil, err
		}
		conn := &linkConn{Conn: raw, network: n, from: from, to: to, closed: make(chan struct{})}
		n.mu.Lock()
		defer n.mu.Unlock()
		n.conns[conn] = struct{}{}
		return conn, nil
	}
}

// datagramFilter returns a function that reports whether a datagram from the node
// at a peer address to another is dropped.
func (n *network) datagramFilter(from string) func(string) bool {
	return func(to string) bool {
		partitioned, _ := n.partitioned(from, to)
		if partitioned {
			n.droppedDatagrams.Add(1)
		}
		return partitioned
	}
}

// linkConn is the connection of a link on the side that dialled.
type linkConn struct {
	net.Conn
	network    *network
	from, to   string
	blackholed atomic.Bool
	closeOnce  sync.Once
	closed     chan struct{}
}

// Read reads from the connection. Once it is blackholed, Read discards all bytes
// and returns only when the connection ends.
func (c *linkConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil || !c.blackholed.Load() {
			return n, c.waitForNetwork(err)
		}
		c.network.discardedBytes.Add(int64(n))
	}
}

// Write writes to the connection. Once it is blackholed, Write discards p and
// reports success.
func (c *linkConn) Write(p []byte) (int, error) {
	if err := c.waitForNetwork(nil); err != nil {
		return 0, err
	}
	if c.blackholed.Load() {
		c.network.discardedBytes.Add(int64(len(p)))
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// waitForNetwork blocks while the ends are partitioned, because TCP delivers the
// bytes in transit after the partition heals. It returns err at once if that is
// not nil.
func (c *linkConn) waitForNetwork(err error) error {
	for err == nil {
		partitioned, changed := c.network.partitioned(c.from, c.to)
		if !partitioned {
			return nil
		}
		c.network.stalledOperations.Add(1)
		select {
		case <-changed:
		case <-c.closed:
			return net.ErrClosed
		}
	}
	return err
}

// Close closes the connection.
func (c *linkConn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	c.network.mu.Lock()
	delete(c.network.conns, c)
	c.network.mu.Unlock()
	return c.Conn.Close()
}
