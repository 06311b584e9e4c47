package sdkeepalive

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/savorydeal/savorydeal/internal/sdmemory"
)

// ListenTCP listens on an address without multipath TCP, which net.Listen would
// use: its sockets do not support the filter that Listener.Drain needs.
func ListenTCP(address string) (net.Listener, error) {
	var cfg net.ListenConfig
	cfg.SetMultipathTCP(false)
	return cfg.Listen(context.Background(), "tcp", address)
}

// Listener adds the connections that it accepts to a set.
type Listener struct {
	net.Listener
	set *ConnSet
	// limit is the number of open connections above which an idle one is closed for
	// each new one; 0 sets no limit.
	limit int
	// heads bounds the memory of request heads; nil sets no bound.
	heads *sdmemory.Budget
	// open is the number of open connections, evicted those of them that were closed
	// for a new one and rejected those that were closed on arrival. The set's lock
	// protects them.
	open, evicted, rejected int

	drainOnce  sync.Once
	finishOnce sync.Once
	// draining is closed when Drain begins.
	draining chan struct{}
	// done is closed when the server's Serve may return.
	done chan struct{}
}

// WrapListener returns a listener that adds its connections to the set. limit bounds
// its open connections; 0 sets no limit.
func (s *ConnSet) WrapListener(listener net.Listener, limit int) *Listener {
	return &Listener{Listener: listener, set: s, limit: limit, draining: make(chan struct{}), done: make(chan struct{})}
}

// LimitHeads bounds the memory that request heads take until the answers to their
// requests are written. Call it before the server starts.
func (l *Listener) LimitHeads(budget *sdmemory.Budget) {
	l.heads = budget
}

// Accept returns the next connection. After Drain, once no connection is left
// to accept, it closes the listener, waits for FinishServe and returns
// http.ErrServerClosed.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		netConn, err := l.Listener.Accept()
		if err == nil {
			if l.makeRoom() {
				return l.set.add(netConn, l), nil
			}
			_ = netConn.Close()
			continue
		}
		select {
		case <-l.draining:
		default:
			return nil, err
		}
		_ = l.Listener.Close()
		<-l.done
		return nil, http.ErrServerClosed
	}
}

// evictionSlack is the share of the limit by which connections that are being closed
// may exceed it.
const evictionSlack = 8

// makeRoom reports whether a new connection may be served. At the limit it closes the
// connection that has waited for a request for the longest time.
func (l *Listener) makeRoom() bool {
	l.set.mu.Lock()
	defer l.set.mu.Unlock()
	if l.limit == 0 || l.open < l.limit {
		return true
	}
	var oldest *conn
	var oldestSince time.Time
	if l.open <= l.limit+l.limit/evictionSlack {
		for c := range l.set.conns {
			if c.listener != l {
				continue
			}
			since, waiting := c.waitingSince()
			if waiting && (oldest == nil || since.Before(oldestSince)) {
				oldest, oldestSince = c, since
			}
		}
	}
	if oldest == nil {
		l.rejected++
		return false
	}
	l.evicted++
	go oldest.refuse(evictionRefusal)
	return true
}

// LimitCounts returns how many connections were closed for a new one and how many
// were closed on arrival because of the limit.
func (l *Listener) LimitCounts() (evicted, rejected int) {
	l.set.mu.Lock()
	defer l.set.mu.Unlock()
	return l.evicted, l.rejected
}

// Drain stops new handshakes, accepts the connections whose handshake has begun
// and then closes the listener: to close it with connections in the kernel's
// accept queue would reset them. The server keeps serving its connections until
// FinishServe.
func (l *Listener) Drain() {
	l.drainOnce.Do(func() {
		close(l.draining)
		// If the filter cannot be set, a connection that is established in the
		// last few microseconds before the close is reset.
		_ = stopHandshakes(l.Listener)
		if deadlineSetter, ok := l.Listener.(interface{ SetDeadline(time.Time) error }); ok {
			_ = deadlineSetter.SetDeadline(time.Now().Add(drainAcceptTime))
			return
		}
		_ = l.Listener.Close()
	})
}

// FinishServe lets the server's Serve return after Drain.
func (l *Listener) FinishServe() {
	l.finishOnce.Do(func() { close(l.done) })
}

// Close closes the listener. It may be called more than once.
func (l *Listener) Close() error {
	err := l.Listener.Close()
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}
