// Package sdkeepalive closes the keep-alive connections of an HTTP server
// without losing a request: each request is either served or answered as not
// run, even if its first byte is sent while the connection is being closed.
package sdkeepalive

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/savorydeal/savorydeal"
	"github.com/savorydeal/savorydeal/internal/sdheader"
)

const (
	// refusalTimeout bounds the time to write one refusal.
	refusalTimeout = time.Second
	// drainAcceptTime is how long a draining listener still accepts connections
	// whose handshake had begun.
	drainAcceptTime = 100 * time.Millisecond
	// retryAfterSeconds is the Retry-After value: the minimum wait before the
	// caller retries at another node.
	retryAfterSeconds = 1
)

var (
	// stoppingRefusal answers a request on a connection that a graceful stop closes.
	stoppingRefusal = refusal(http.StatusRequestTimeout, savorydeal.ReasonStopping, "the node is stopping; repeat the request on a new connection")
	// evictionRefusal answers a request on an idle connection that is closed to make
	// room for a new one.
	evictionRefusal = refusal(http.StatusRequestTimeout, savorydeal.ReasonOverloaded, "the node has too many connections; repeat the request on a new connection")
	// headRefusal answers a request whose head has no room beside those of other requests.
	headRefusal = refusal(http.StatusServiceUnavailable, savorydeal.ReasonOverloaded, "the node holds too many large request heads; repeat the request later")
)

// refusal returns a complete answer that ends its connection.
func refusal(status int, reason savorydeal.Reason, detail string) []byte {
	title := http.StatusText(status)
	body := fmt.Sprintf(`{"type":"urn:savorydeal:problem:%s","title":"%s","status":%d,`+
		`"detail":"%s","outcome":"not_run","reason":"%s"}`, reason, title, status, detail, reason)
	return fmt.Appendf(nil, "HTTP/1.1 %d %s\r\n"+
		"Connection: close\r\nContent-Type: application/problem+json\r\nContent-Length: %d\r\n%s: %s\r\n%s: %s\r\n%s: %d\r\n\r\n%s",
		status, title, len(body), sdheader.Outcome, savorydeal.OutcomeNotRun, sdheader.Reason, reason,
		sdheader.RetryAfter, retryAfterSeconds, body)
}

// ConnSet tracks the connections of one server. It is safe for concurrent use.
type ConnSet struct {
	writeStallTimeout time.Duration

	mu    sync.Mutex
	conns map[*conn]struct{}
	// noKeepAlive is true once every answer must be the last of its connection.
	noKeepAlive bool
	// refused counts the refusals since the start.
	refused int
}

// NewConnSet returns an empty set.
func NewConnSet() *ConnSet {
	return &ConnSet{conns: make(map[*conn]struct{}), writeStallTimeout: defaultWriteStallTimeout}
}

// Counts holds the numbers of connections in a set.
type Counts struct {
	// Open counts connections that serve a request, that are idle, or whose
	// last answer the peer has not fully acknowledged.
	Open int
	// Closing counts connections that the server has closed and whose peer has
	// acknowledged everything but not closed yet.
	Closing int
	// Refused counts the connections refused since the start.
	Refused int
}

// Counts returns the current counts.
func (s *ConnSet) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := Counts{Refused: s.refused}
	for c := range s.conns {
		if c.awaitsPeerClose() {
			counts.Closing++
		} else {
			counts.Open++
		}
	}
	return counts
}

// DisableKeepAlives makes every answer from now on the last of its connection.
func (s *ConnSet) DisableKeepAlives() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.noKeepAlive = true
}

// RefuseIdle disables keep-alives and refuses every connection on which the
// server waits for a request. A connection that was just accepted or answered
// may not be in that state yet: call RefuseIdle again until no connection is
// open.
func (s *ConnSet) RefuseIdle() {
	s.DisableKeepAlives()
	s.mu.Lock()
	conns := make([]*conn, 0, len(s.conns))
	for c := range s.conns {
		conns = append(conns, c)
	}
	s.mu.Unlock()
	for _, c := range conns {
		s.refuse(c)
	}
}

func (s *ConnSet) refuse(c *conn) {
	if !c.refuse(stoppingRefusal) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refused++
}

// Close closes all connections at once.
func (s *ConnSet) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.Conn.Close()
	}
}

func (s *ConnSet) keepAlivesDisabled() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.noKeepAlive
}

func (s *ConnSet) add(netConn net.Conn, listener *Listener) *conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := &conn{
		Conn: netConn, set: s, listener: listener, state: http.StateNew, since: time.Now(),
		refusalWritten: make(chan struct{}),
	}
	s.conns[c] = struct{}{}
	listener.open++
	return c
}

func (s *ConnSet) remove(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.conns[c]; ok {
		delete(s.conns, c)
		c.listener.open--
	}
}

// Handler returns a handler that adds "Connection: close" to the answers of
// next once DisableKeepAlives was called.
func (s *ConnSet) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		next.ServeHTTP(&connectionCloser{ResponseWriter: w, set: s}, r)
	})
}

// connectionCloser adds "Connection: close" when the answer's header is
// written, not when its request arrives: a stop may begin in between.
type connectionCloser struct {
	http.ResponseWriter
	set           *ConnSet
	headerWritten bool
}

// WriteHeader writes the header section.
func (w *connectionCloser) WriteHeader(status int) {
	if !w.headerWritten && status >= http.StatusOK {
		w.headerWritten = true
		if w.set.keepAlivesDisabled() {
			w.Header().Set("Connection", "close")
		}
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write writes a part of the body, after the header section.
func (w *connectionCloser) Write(p []byte) (int, error) {
	if !w.headerWritten {
		w.WriteHeader(http.StatusOK)
	}
	return w.ResponseWriter.Write(p)
}

// Unwrap gives http.ResponseController access to the server's own writer.
func (w *connectionCloser) Unwrap() http.ResponseWriter {
	return w.ResponseWriter
}

// Attach wraps the server's handler and lets the set track the state of the
// server's connections. Call it before the server starts.
func (s *ConnSet) Attach(server *http.Server) {
	server.Handler = s.Handler(server.Handler)
	server.ConnState = func(netConn net.Conn, state http.ConnState) {
		if c, ok := netConn.(*conn); ok {
			c.setState(state)
		}
	}
}
