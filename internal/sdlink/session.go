package sdlink

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"

	"github.com/savorydeal/savorydeal"
	"github.com/savorydeal/savorydeal/internal/sdprobe"
)

// trackedConn is a connection that records when bytes last arrived.
type trackedConn struct {
	net.Conn
	clock        savorydeal.Clock
	lastReceived atomic.Pointer[time.Time]
}

func newTrackedConn(conn net.Conn, clock savorydeal.Clock) *trackedConn {
	c := &trackedConn{Conn: conn, clock: clock}
	c.recordReceive()
	return c
}

func (c *trackedConn) recordReceive() {
	now := c.clock.Now()
	c.lastReceived.Store(&now)
}

// Read reads from the connection and records the time if bytes arrived.
func (c *trackedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.recordReceive()
	}
	return n, err
}

// link is one session that this node has dialled. While streams are open on it, a
// timer checks whether the peer still responds.
type link struct {
	session *yamux.Session
	conn    *trackedConn
	clock   savorydeal.Clock
	// onUnresponsive is called once, when the peer has not responded in time.
	onUnresponsive func(*link)

	mu             sync.Mutex
	prober         sdprobe.Prober
	checkScheduled bool
}

// exchangeOpened counts an open stream and starts the checks.
func (l *link) exchangeOpened() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.prober.ExchangeStarted(l.clock.Now())
	l.scheduleCheck()
}

func (l *link) exchangeEnded() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.prober.ExchangeEnded()
}

// scheduleCheck starts the timer of the next check if the link is in use and none
// is running. The caller holds mu.
func (l *link) scheduleCheck() {
	if l.checkScheduled || !l.prober.InUse() || l.session.IsClosed() {
		return
	}
	l.checkScheduled = true
	l.clock.AfterFunc(sdprobe.CheckInterval, l.check)
}

func (l *link) check() {
	l.mu.Lock()
	l.checkScheduled = false
	action := l.prober.Check(l.clock.Now(), *l.conn.lastReceived.Load())
	if action != sdprobe.ActionReplace {
		l.scheduleCheck()
	}
	l.mu.Unlock()
	switch action {
	case sdprobe.ActionProbe:
		// The result is not needed: the reply counts as received bytes.
		go func() { _, _ = l.session.Ping() }()
	case sdprobe.ActionReplace:
		l.onUnresponsive(l)
	case sdprobe.ActionNone:
	}
}

// terminate closes the connection before the session. Otherwise yamux would wait to
// write its final message to a peer that accepts no bytes.
func (l *link) terminate() {
	_ = l.conn.Close()
	_ = l.session.Close()
}
