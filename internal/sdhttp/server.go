// Package sdhttp is an HTTP/1.1 client and server that expose what net/http
// hides about a connection: whether a byte of a request was sent, whether an
// answer had begun, and which answer belongs to which request. Messages are
// parsed by net/http.
package sdhttp

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime/debug"
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
	// Bytes, if not nil, counts the bytes that Pool.Do sends and receives for the
	// request.
	Bytes *ByteCounts
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

	keepAlivesDisabled atomic.Bool
	mu                 sync.Mutex
	conns              map[*serverConn]struct{}
	active             atomic.Int64
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
		c := &serverConn{server: s, conn: metered, idleSince: time.Now(), reader: bufio.NewReaderSize(metered, readBufferBytes)}
		c.ctx, c.cancel = context.WithCancel(context.Background())
		c.notFull.L = &c.mu
		s.mu.Lock()
		if s.conns == nil {
			s.conns = make(map[*serverConn]struct{})
		}
		s.conns[c] = struct{}{}
		s.mu.Unlock()
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

// exchange is one request of a connection and its answer.
type exchange struct {
	// response is nil while the request is handled.
	response *Response
	// closeRequested is true if the caller asked to close the connection.
	closeRequested bool
	// http10 is true for an HTTP/1.0 request.
	http10 bool
	// headMethod is true for a HEAD request.
	headMethod bool
}

type serverConn struct {
	server *Server
	conn   *meteredConn
	reader *bufio.Reader
	ctx    context.Context
	cancel context.CancelFunc

	mu sync.Mutex
	// notFull is signalled when exchanges have left the queue.
	notFull sync.Cond
	// queue holds the exchanges that are not answered yet, oldest first.
	queue []*exchange
	// idleSince is when the connection was accepted or the queue became empty.
	idleSince time.Time
	// closing is true once the connection is about to be closed: no further
	// answer is begun, and requests read from then on are dropped.
	closing bool
	// writing is true while one goroutine writes the answers that are ready.
	writing bool
}

// readRequests reads requests until the connection is closed. It continues to
// read while requests are handled, so that it notices when the caller
// disconnects.
func (c *serverConn) readRequests() {
	defer c.server.remove(c)
	defer c.cancel()
	defer func() { _ = c.conn.Close() }()
	for {
		limits := c.server.Limits()
		c.waitUntilNotFull()
		_ = c.conn.SetReadDeadline(time.Now().Add(limits.IdleTimeout))
		if _, err := c.reader.Peek(1); err != nil {
			if isTimeout(err) && c.hasRequests() {
				continue
			}
			c.closeAfterReadError(err)
			return
		}
		_ = c.conn.SetReadDeadline(time.Now().Add(limits.HeaderTimeout))
		request, ex, err := c.readRequest(limits)
		if err != nil {
			c.rejectMalformed(err)
			return
		}
		if !c.enqueue(ex) {
			c.linger()
			return
		}
		c.server.active.Add(1)
		go c.handle(request, ex)
	}
}

// closeAfterReadError ends a connection that the caller has closed or that was
// idle for too long. A request that arrives while an idle connection is closed
// is dropped without an answer.
func (c *serverConn) closeAfterReadError(err error) {
	if !isTimeout(err) {
		return
	}
	c.mu.Lock()
	c.closing = true
	c.mu.Unlock()
	c.linger()
}

// errTooLarge is the error of a request whose body exceeds MaxBodyBytes.
var errTooLarge = errors.New("request body is larger than the limit")

func (c *serverConn) readRequest(limits Limits) (*Request, *exchange, error) {
	c.conn.limitReads(int64(limits.MaxHeaderBytes))
	parsed, err := http.ReadRequest(c.reader)
	c.conn.unlimitReads()
	if err != nil {
		return nil, nil, fmt.Errorf("read request head: %w", err)
	}
	_ = c.conn.SetReadDeadline(time.Now().Add(bodyTimeout))
	if parsed.ContentLength > limits.MaxBodyBytes {
		return nil, nil, errTooLarge
	}
	var body []byte
	if parsed.ContentLength != 0 {
		body, err = c.readBody(parsed, limits)
		if err != nil {
			return nil, nil, err
		}
	}
	ex := &exchange{closeRequested: parsed.Close, http10: !parsed.ProtoAtLeast(1, 1), headMethod: parsed.Method == http.MethodHead}
	return &Request{
		Method: parsed.Method, Host: parsed.Host, Target: parsed.RequestURI, Header: parsed.Header,
		Body: body, ReceivedAt: time.Now(),
	}, ex, nil
}

func (c *serverConn) readBody(parsed *http.Request, limits Limits) ([]byte, error) {
	if parsed.Header.Get("Expect") == "100-continue" {
		parsed.Header.Del("Expect")
		if _, err := io.WriteString(c.conn, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return nil, err
		}
	}
	body, err := readLimited(parsed.Body, parsed.ContentLength, limits.MaxBodyBytes)
	if err != nil {
		return nil, err
	}
	return body, nil
}

// readLimited reads a complete body. A body of unknown length (-1) may have up
// to limit bytes; a known length must have been checked before.
func readLimited(r io.Reader, length, limit int64) ([]byte, error) {
	if length >= 0 {
		body := make([]byte, length)
		_, err := io.ReadFull(r, body)
		return body, err
	}
	body, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err == nil && int64(len(body)) > limit {
		return nil, errTooLarge
	}
	return body, err
}

// waitUntilNotFull waits until fewer than maxPipelined requests are unanswered.
func (c *serverConn) waitUntilNotFull() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.queue) >= maxPipelined && !c.closing {
		c.notFull.Wait()
	}
}

func (c *serverConn) hasRequests() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.queue) > 0
}

// enqueue adds an exchange. It reports false if the connection is closing.
func (c *serverConn) enqueue(ex *exchange) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return false
	}
	c.queue = append(c.queue, ex)
	return true
}

// handle calls the handler and writes the answers that are ready, oldest first,
// unless another goroutine already writes.
func (c *serverConn) handle(request *Request, ex *exchange) {
	defer c.server.active.Add(-1)
	response := c.callHandler(request)
	c.mu.Lock()
	defer c.mu.Unlock()
	if response == nil {
		c.closing = true
		c.cancel()
		_ = c.conn.Close()
		c.notFull.Signal()
		return
	}
	ex.response = response
	if c.writing {
		return
	}
	c.writing = true
	for len(c.queue) > 0 && c.queue[0].response != nil && !c.closing {
		c.writeOldest()
	}
	c.writing = false
	c.notFull.Signal()
}

// callHandler calls the handler. It returns nil after a panic that Recovered has
// reported: whether the request has run is then unknown, and so no answer is sent.
func (c *serverConn) callHandler(request *Request) *Response {
	if c.server.Recovered != nil {
		defer func() {
			if value := recover(); value != nil {
				c.server.Recovered(value, debug.Stack())
			}
		}()
	}
	return c.server.Handler(c.ctx, request)
}

// writeOldest writes the oldest answer. mu is held on entry and on return, but
// not during the write.
func (c *serverConn) writeOldest() {
	oldest := c.queue[0]
	last := len(c.queue) == 1
	closeConn := oldest.closeRequested || oldest.http10 || last && c.server.keepAlivesDisabled.Load()
	if closeConn {
		c.closing = true
	}
	c.mu.Unlock()
	_ = c.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	err := writeResponse(c.conn, oldest, closeConn)
	c.mu.Lock()
	c.queue = c.queue[1:]
	c.idleSince = time.Now()
	if err != nil {
		c.closing = true
		c.cancel()
		_ = c.conn.Close()
		return
	}
	if closeConn {
		c.closeWrite()
	}
}

// closeWrite closes the write side and bounds the time for which the read side
// stays open.
func (c *serverConn) closeWrite() {
	if tcp, ok := c.conn.Conn.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
	_ = c.conn.SetReadDeadline(time.Now().Add(lingerTimeout))
}

// linger discards what the caller still sends: closing a connection with unread
// bytes would reset it, and the caller could lose the last answer.
func (c *serverConn) linger() {
	c.mu.Lock()
	for len(c.queue) > 0 && c.writing {
		c.mu.Unlock()
		time.Sleep(retryDelay)
		c.mu.Lock()
	}
	c.mu.Unlock()
	c.closeWrite()
	_, _ = io.Copy(io.Discard, c.reader)
}

// closeIfIdle closes the connection if it has had no request since idleSince.
func (c *serverConn) closeIfIdle(idleSince time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.queue) > 0 || c.closing || c.idleSince.After(idleSince) {
		return
	}
	c.closing = true
	c.closeWrite()
}

// rejectMalformed answers a malformed request and closes the connection. It
// sends no answer while earlier requests are unanswered.
func (c *serverConn) rejectMalformed(err error) {
	if isTimeout(err) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, net.ErrClosed) {
		return
	}
	c.mu.Lock()
	idle := len(c.queue) == 0 && !c.closing
	c.closing = true
	c.mu.Unlock()
	if !idle {
		return
	}
	status := http.StatusBadRequest
	switch {
	case errors.Is(err, errTooLarge):
		status = http.StatusRequestEntityTooLarge
	case errors.Is(err, errHeadTooLarge):
		status = http.StatusRequestHeaderFieldsTooLarge
	}
	_ = c.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	_ = writeResponse(c.conn, &exchange{response: &Response{Status: status}}, true)
	c.linger()
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}
