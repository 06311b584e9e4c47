package sdkeepalive

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/savorydeal/savorydeal/internal/sdmemory"
)

// conn is one connection of a ConnSet. Its lock guarantees that either the
// server receives the first byte of the next request, or the connection is
// refused and the server never receives that byte.
type conn struct {
	net.Conn
	set *ConnSet
	// listener has accepted the connection.
	listener *Listener

	mu sync.Mutex
	// state is the connection's state as last reported by the server.
	state http.ConnState
	// since is when the connection got its state.
	since time.Time
	// reading is true while the server is blocked in Read.
	reading bool
	// refused is true once the refusal was chosen as the next and last answer.
	refused bool
	// headBytes and headLines count what has arrived of the current request's head, and
	// headCost is what the listener's budget has granted for it.
	headBytes, headLines int
	headCost             int64
	// closed is true once the server has closed the connection.
	closed bool
	// refusalWritten is closed once the refusal is written.
	refusalWritten chan struct{}
}

// NetConn returns the underlying connection.
func (c *conn) NetConn() net.Conn {
	return c.Conn
}

// Read reads for the server. Bytes that arrive after a refusal belong to the
// refused request; the server gets io.EOF instead.
func (c *conn) Read(p []byte) (int, error) {
	if !c.beginRead() {
		return 0, io.EOF
	}
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	c.reading = false
	if c.refused {
		c.mu.Unlock()
		return 0, io.EOF
	}
	if c.chargeHead(p[:n]) {
		c.mu.Unlock()
		return n, err
	}
	// The server has not received the head completely, so that it cannot run the
	// request.
	c.refused = true
	c.mu.Unlock()
	c.writeRefusal(headRefusal)
	return 0, io.EOF
}

// waiting reports whether the server waits for a request or for the rest of its head.
// The caller holds mu.
func (c *conn) waiting() bool {
	return c.state == http.StateNew || c.state == http.StateIdle
}

// chargeHead takes from the listener's budget what the head of the request needs with
// the bytes that have just arrived. It reports false if the budget does not have it.
// The caller holds mu.
func (c *conn) chargeHead(arrived []byte) bool {
	if c.listener.heads == nil || !c.waiting() {
		return true
	}
	c.headBytes += len(arrived)
	c.headLines += bytes.Count(arrived, []byte{'\n'})
	cost := sdmemory.HeadCost(c.headBytes, c.headLines)
	if cost > c.headCost {
		if !c.listener.heads.Take(cost - c.headCost) {
			return false
		}
		c.headCost = cost
	}
	return true
}

// releaseHead returns what the head of the last request has taken. The caller holds mu.
func (c *conn) releaseHead() {
	c.listener.heads.Return(c.headCost)
	c.headBytes, c.headLines, c.headCost = 0, 0, 0
}

// beginRead marks the connection as being read. It reports false if it was
// refused.
func (c *conn) beginRead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.refused {
		return false
	}
	c.reading = true
	return true
}

func (c *conn) setState(state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state = state
	c.since = time.Now()
	if state != http.StateActive {
		c.releaseHead()
	}
}

// waitingSince returns since when the server has waited for a request on the
// connection. It reports false if it does not wait or the connection was refused.
func (c *conn) waitingSince() (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	waiting := c.waiting() && c.reading && !c.refused && !c.closed
	return c.since, waiting
}

// refuse writes the refusal and ends the connection if the server is waiting
// for the first bytes of a request. It reports whether it did. The refusal
// answers a request that may already be in flight; to a peer that has sent none
// it announces the close of the connection (RFC 9110, status 408).
//
// The refusal says that the request has not run. This also holds if the server
// has read a part of the request's header: refused is set before the refusal is
// written, so that the server never receives the remaining bytes and cannot run
// the request.
func (c *conn) refuse(refusal []byte) bool {
	c.mu.Lock()
	if !c.waiting() || !c.reading || c.refused || c.closed {
		c.mu.Unlock()
		return false
	}
	c.refused = true
	c.mu.Unlock()
	c.writeRefusal(refusal)
	// Interrupts the server's Read, after which it closes the connection.
	_ = c.SetReadDeadline(time.Unix(1, 0))
	return true
}

func (c *conn) writeRefusal(refusal []byte) {
	defer close(c.refusalWritten)
	_ = c.SetWriteDeadline(time.Now().Add(refusalTimeout))
	_, _ = c.Conn.Write(refusal)
}

// Write writes for the server. After a refusal it writes nothing: a server that
// has read a part of a header would send a second answer.
func (c *conn) Write(p []byte) (int, error) {
	if c.awaitRefusal() {
		return 0, net.ErrClosed
	}
	written := 0
	for {
		piece := p[written:min(len(p), written+writePieceBytes)]
		_ = c.SetWriteDeadline(time.Now().Add(c.set.writeStallTimeout))
		n, err := c.Conn.Write(piece)
		written += n
		if err != nil || written == len(p) {
			return written, err
		}
	}
}

const (
	// defaultWriteStallTimeout is the longest time that the peer may take for
	// writePieceBytes of an answer. A peer that reads more than 1.1 KB a second gets every
	// answer.
	defaultWriteStallTimeout = 30 * time.Second
	writePieceBytes          = 32 << 10
)

// awaitRefusal reports whether the connection was refused and, if so, waits
// until the refusal is written.
func (c *conn) awaitRefusal() bool {
	c.mu.Lock()
	refused := c.refused
	c.mu.Unlock()
	if refused {
		<-c.refusalWritten
	}
	return refused
}

// CloseWrite closes the write side. The server calls it when it leaves a part
// of a request's body unread.
func (c *conn) CloseWrite() error {
	c.awaitRefusal()
	if halfCloser, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return halfCloser.CloseWrite()
	}
	return nil
}

// Close closes the connection for the server. During a stop only the write side
// is closed, and the read side stays open until the peer has closed it too: a
// close with unread bytes makes the kernel reset the connection, and a reset
// discards an answer that the peer has not read yet.
func (c *conn) Close() error {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return nil
	}
	c.closed = true
	c.mu.Unlock()
	c.awaitRefusal()
	if !c.set.keepAlivesDisabled() {
		c.set.remove(c)
		return c.Conn.Close()
	}
	err := c.CloseWrite()
	go c.linger()
	return err
}

// linger discards what the peer sends until the peer closes the connection.
// ConnSet.Close ends it early.
func (c *conn) linger() {
	_ = c.SetReadDeadline(time.Time{})
	_, _ = io.Copy(io.Discard, c.Conn)
	c.set.remove(c)
	_ = c.Conn.Close()
}

// awaitsPeerClose reports whether the server has closed the connection and the
// peer's kernel has acknowledged everything that was written: only the peer's
// close is outstanding.
func (c *conn) awaitsPeerClose() bool {
	c.mu.Lock()
	closed := c.closed
	c.mu.Unlock()
	return closed && unacknowledgedBytes(c.Conn) == 0
}
