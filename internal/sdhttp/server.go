// Package sdhttp is an HTTP/1.1 client and server that expose what net/http
// hides about a connection: whether a byte of a request was sent, whether an
// answer had begun, and which answer belongs to which request. Messages are
// parsed by net/http.
package sdhttp

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	readBufferBytes = 4 << 10
	// maxPipelined bounds the requests of one connection that are handled at
	// the same time; further ones stay unread.
	maxPipelined = 32
	// lingerTimeout is how long a connection is read after its write side was
	// closed, so that a reset does not discard its last answer.
	lingerTimeout = 500 * time.Millisecond
	// writeTimeout bounds the time to write one answer to a slow caller.
	writeTimeout = 10 * time.Second
	// bodyTimeout bounds the time to read the body of one request.
	bodyTimeout = 10 * time.Second
	// maxBufferedBytes is the size of the largest answer body that is buffered.
	// It is well below the memory of the smallest VM; larger answers are
	// streamed.
	maxBufferedBytes = 1 << 20
)

// Limits bound what a caller may send on a connection.
type Limits struct {
	// MaxHeaderBytes bounds the request line and headers. The bytes that are read
	// ahead into the buffer of the connection do not count.
	MaxHeaderBytes int
	// MaxBodyBytes is the size of the largest request body that is accepted.
	MaxBodyBytes int64
	// HeaderTimeout bounds the time from a request's first byte to the end of its
	// headers. bodyTimeout bounds the time that its body takes in addition.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a connection is kept without a request.
	IdleTimeout time.Duration
}

// Request is one request with its complete body.
type Request struct {
	Method string
	Host   string
	// Target is the request target as sent: path and query.
	Target string
	Header http.Header
	Body   []byte
	// ReceivedAt is when the request was read to its end.
	ReceivedAt time.Time
	// Control is true for a request that Pool.Do sends even if the limit on connections is
	// reached.
	Control bool
	// Bytes, if not nil, counts the bytes that Pool.Do sends and receives for the
	// request.
	Bytes *ByteCounts
	// held counts the answers that Pool.Do reads for a request of a Server; the Memory of
	// both must be the same.
	held *heldAnswer
}

// Response is one answer. Body holds the complete body, or its beginning if
// Remainder is not nil.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// Remainder is what follows Body. It ends with io.EOF at the end of the
	// answer; any other error means that the answer is incomplete. The receiver
	// must close it.
	Remainder io.ReadCloser
	// RemainderBytes is the length of Remainder, -1 when not known.
	RemainderBytes int64
	// ReceivedAt is when the header section of a received answer was complete.
	ReceivedAt time.Time
}

// Handler answers one request. ctx ends when the connection is closed.
type Handler func(ctx context.Context, request *Request) *Response

// Server answers HTTP/1.1 requests. It handles pipelined requests concurrently
// and answers them in the order in which they were sent.
type Server struct {
	Handler Handler
	// Limits returns the limits for the next request.
	Limits func() Limits
	// Recovered, if not nil, is called after a panic in Handler, which then ends only
	// the connection of its request.
	Recovered func(value any, stack []byte)
	// Memory bounds the heads and bodies of requests, and the answers that are not written
	// yet, that are held. A request for which there is no room is answered by Busy, which
	// must be set with Memory; its Body is nil, and its Header is empty if there is no room
	// for its head.
	Memory *Memory
	Busy   Handler
	// MaxConns bounds the open connections, 0 for no bound. At the bound, connections without
	// a request are closed, those that are idle longest first, then those whose client does
	// not read. If there are none, a new connection is closed, or its request is answered by
	// Busy if RefuseByAnswer is true. Limited, if not nil, is called with the number of
	// connections that were closed for a new one, 0 if that was refused.
	MaxConns       int
	RefuseByAnswer bool
	Limited        func(closed int)

	keepAlivesDisabled atomic.Bool
	mu                 sync.Mutex
	conns              map[*serverConn]struct{}
	active             atomic.Int64
}

// isCrowded reports whether so many requests are in progress that a connection with an
// unanswered one is not read further. Requests pipelined on few connections then wait there
// and leave room to those of other clients.
func (s *Server) isCrowded() bool {
	return s.MaxConns > 0 && s.active.Load() > int64(s.MaxConns/2)
}

// ActiveRequests returns the number of requests that are being handled.
func (s *Server) ActiveRequests() int64 {
	return s.active.Load()
}

// Serve accepts connections until the listener is closed.
func (s *Server) Serve(listener net.Listener) error {
	for {
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			// No file descriptor was left or the connection was reset before
			// it was accepted: the next Accept may succeed.
			time.Sleep(retryDelay)
			continue
		}
		metered := &meteredConn{Conn: conn}
		c := &serverConn{server: s, conn: metered, idleSince: time.Now(), source: replayReader{conn: metered}}
		c.reader = bufio.NewReaderSize(&c.source, readBufferBytes)
		c.ctx, c.cancel = context.WithCancel(context.Background())
		c.notFull.L = &c.mu
		if !s.add(c) {
			c.cancel()
			_ = conn.Close()
			continue
		}
		go c.readRequests()
	}
}

// retryDelay is the wait after a failed Accept, so that repeated failures do
// not occupy a whole CPU core, and the poll interval of linger.
const retryDelay = 5 * time.Millisecond

// DisableKeepAlives closes each connection after the answer to the last request
// that was read from it.
func (s *Server) DisableKeepAlives() {
	s.keepAlivesDisabled.Store(true)
}

// CloseIdle closes the connections that have had no request for at least minIdle. A
// connection that was just accepted stays open, since its first request is on its way.
func (s *Server) CloseIdle(minIdle time.Duration) {
	idleSince := time.Now().Add(-minIdle)
	for _, c := range s.connections() {
		c.closeIfIdle(idleSince)
	}
}

// OpenConns returns the number of open connections, including those that wait for
// their caller to close them after the last answer.
func (s *Server) OpenConns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// Close closes all connections at once.
func (s *Server) Close() {
	for _, c := range s.connections() {
		_ = c.conn.Close()
	}
}

func (s *Server) connections() []*serverConn {
	s.mu.Lock()
	defer s.mu.Unlock()
	conns := make([]*serverConn, 0, len(s.conns))
	for c := range s.conns {
		conns = append(conns, c)
	}
	return conns
}

func (s *Server) remove(c *serverConn) {
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
}
