package sdhttp

import (
	"context"
	"net/http"
	"slices"
	"time"
)

const (
	// closedShare is the part of MaxConns that is closed at once: the search for the
	// connections that are idle longest looks at all of them.
	closedShare = 16
	// stalledWrite is how long a client must not have read an answer for its connection to
	// count as one that can be closed at MaxConns.
	stalledWrite = time.Second
	// refusedShare is the part of MaxConns by which connections that RefuseByAnswer refuses
	// may exceed it, and refusedWait how long a further one waits until it is closed.
	refusedShare = 4
	refusedWait  = 100 * time.Millisecond
)

// add registers an accepted connection. At MaxConns it first closes connections without a
// request, those that are idle longest first, then those whose client does not read its
// answer. It reports false if the connection has to be closed.
func (s *Server) add(c *serverConn) bool {
	if s.MaxConns == 0 || s.OpenConns() < s.MaxConns {
		s.register(c)
		return true
	}
	closed := s.closeUnused(max(1, s.MaxConns/closedShare))
	switch {
	case closed > 0:
	case s.RefuseByAnswer:
		c.refused = true
		for end := time.Now().Add(refusedWait); s.OpenConns() >= s.MaxConns+max(1, s.MaxConns/refusedShare); time.Sleep(retryDelay) {
			if time.Now().After(end) {
				s.reportLimited(0)
				return false
			}
		}
	default:
		s.reportLimited(0)
		return false
	}
	s.register(c)
	s.reportLimited(closed)
	return true
}

func (s *Server) reportLimited(closed int) {
	if s.Limited != nil {
		s.Limited(closed)
	}
}

func (s *Server) register(c *serverConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conns == nil {
		s.conns = make(map[*serverConn]struct{})
	}
	s.conns[c] = struct{}{}
}

// unusedConn is a connection that can be closed at MaxConns, and since when it is unused.
type unusedConn struct {
	conn    *serverConn
	stalled bool
	since   time.Time
}

// closeUnused closes up to most connections and returns their number.
func (s *Server) closeUnused(most int) int {
	var unused []unusedConn
	now := time.Now()
	for _, c := range s.connections() {
		if u, ok := c.unused(now); ok {
			unused = append(unused, u)
		}
	}
	slices.SortFunc(unused, func(a, b unusedConn) int {
		if a.stalled != b.stalled {
			if b.stalled {
				return -1
			}
			return 1
		}
		return a.since.Compare(b.since)
	})
	closed := 0
	for _, u := range unused {
		if closed < most && u.conn.closeUnused(now) {
			closed++
		}
	}
	return closed
}

// unused reports whether the connection has no request, or an answer that its client does
// not read.
func (c *serverConn) unused(now time.Time) (unusedConn, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.unusedLocked(now)
}

func (c *serverConn) unusedLocked(now time.Time) (unusedConn, bool) {
	if len(c.queue) == 0 {
		return unusedConn{conn: c, since: c.idleSince}, true
	}
	stalled := c.writing && now.Sub(c.writeSince) > stalledWrite
	return unusedConn{conn: c, stalled: stalled, since: c.writeSince}, stalled
}

// closeUnused closes the connection if it is still unused. A request that is read from it
// later does not run.
func (c *serverConn) closeUnused(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.unusedLocked(now); !ok {
		return false
	}
	c.closing = true
	c.cancel()
	_ = c.conn.Close()
	c.server.remove(c)
	c.notFull.Signal()
	return true
}

// refuse answers a request of a connection that is refused.
func (s *Server) refuse(ctx context.Context, request *Request) *Response {
	if s.Busy == nil {
		return &Response{Status: http.StatusServiceUnavailable}
	}
	return s.Busy(ctx, request)
}
