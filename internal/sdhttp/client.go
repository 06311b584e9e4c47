package sdhttp

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/savorydeal/savorydeal/internal/sdhead"
)

// RequestError is the error of a request without a complete answer.
type RequestError struct {
	// Sent is true if a byte of the request may have reached the server.
	Sent bool
	// ConnRefused is true if nothing listens at the address.
	ConnRefused bool
	// ConnReused is true if the connection had carried an earlier request.
	ConnReused bool
	// ResponseStarted is true if the header section of the answer was received.
	ResponseStarted bool
	// Answer holds the status and the header of an answer whose body was not received
	// completely, nil if there is none.
	Answer *Response
	Err    error
}

func (e *RequestError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *RequestError) Unwrap() error { return e.Err }

const (
	// keepAliveInterval, keepAliveProbes and tcpUserTimeout make a connection
	// whose peer no longer responds fail within about two seconds.
	keepAliveInterval = time.Second
	keepAliveProbes   = 2
	tcpUserTimeout    = 2 * time.Second
	// largeRequestBytes is the size above which a request is written while its
	// answer is read: the server may answer before it has read the whole
	// request.
	largeRequestBytes = 32 << 10
	// maxAnswerHeadBytes bounds the status line and headers of an answer. Anything
	// longer is no answer, and could fill the memory until the deadline.
	maxAnswerHeadBytes = 64 << 10
)

// Pool keeps reusable connections to one address. It is safe for concurrent
// use.
type Pool struct {
	Address string
	// DialTimeout bounds the time to open a connection.
	DialTimeout time.Duration
	// IdleTimeout is how long an idle connection is kept. A shorter timeout in
	// the server's Keep-Alive header takes precedence.
	IdleTimeout time.Duration
	// Memory bounds the answers that are held. One for which there is no room is streamed.
	Memory *Memory
	// Conns bounds the connections of this pool and of others, nil for no bound.
	Conns *ConnLimit

	mu   sync.Mutex
	idle []*clientConn
	// openConns counts the idle connections and those in use.
	openConns int
}

type clientConn struct {
	conn   *meteredConn
	raw    syscall.RawConn
	reader *bufio.Reader
	memory *Memory
	// used is true if the connection has carried a request.
	used bool
	// idleDeadline is when the idle connection must no longer be used.
	idleDeadline time.Time
	idleTimeout  time.Duration
}

// OpenConns returns the number of open connections, idle or in use.
func (p *Pool) OpenConns() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.openConns
}

// CloseIdle closes the idle connections.
func (p *Pool) CloseIdle() {
	p.mu.Lock()
	idle := p.idle
	p.idle = nil
	p.openConns -= len(idle)
	p.mu.Unlock()
	p.Conns.give(len(idle))
	for _, c := range idle {
		_ = c.conn.Close()
	}
}

// Expire closes the connections whose idle timeout has passed at now.
func (p *Pool) Expire(now time.Time) {
	p.mu.Lock()
	var expired []*clientConn
	kept := p.idle[:0]
	for _, c := range p.idle {
		if now.After(c.idleDeadline) {
			expired = append(expired, c)
			continue
		}
		kept = append(kept, c)
	}
	p.idle = kept
	p.openConns -= len(expired)
	p.mu.Unlock()
	p.Conns.give(len(expired))
	for _, c := range expired {
		_ = c.conn.Close()
	}
}

// acquire returns an idle connection or, if there is none or forceNew is true,
// opens a new one. Connections for control calls may exceed the limit of Conns.
func (p *Pool) acquire(ctx context.Context, deadline time.Time, forceNew, control bool) (*clientConn, error) {
	now := time.Now()
	for !forceNew {
		p.mu.Lock()
		n := len(p.idle)
		if n == 0 {
			p.mu.Unlock()
			break
		}
		c := p.idle[n-1]
		p.idle = p.idle[:n-1]
		p.mu.Unlock()
		if now.Before(c.idleDeadline) && c.isReusable() {
			return c, nil
		}
		p.discard(c)
	}
	if remaining := deadline.Sub(now); remaining <= 0 {
		return nil, &RequestError{Err: context.DeadlineExceeded}
	}
	if !p.Conns.take(control) {
		return nil, &RequestError{Err: fmt.Errorf("connect to %s: %w", p.Address, ErrNoConnection)}
	}
	dialer := net.Dialer{
		Timeout:         min(p.DialTimeout, deadline.Sub(now)),
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: keepAliveProbes},
		Control:         setTCPUserTimeout,
	}
	conn, err := dialer.DialContext(ctx, "tcp", p.Address)
	if err != nil {
		p.Conns.give(1)
		return nil, &RequestError{ConnRefused: errors.Is(err, syscall.ECONNREFUSED), Err: fmt.Errorf("connect to %s: %w", p.Address, err)}
	}
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		p.Conns.give(1)
		return nil, &RequestError{Err: fmt.Errorf("connection to %s: %w", p.Address, errors.Join(err, conn.Close()))}
	}
	p.mu.Lock()
	p.openConns++
	p.mu.Unlock()
	metered := &meteredConn{Conn: conn}
	return &clientConn{conn: metered, raw: raw, reader: bufio.NewReaderSize(metered, readBufferBytes), idleTimeout: p.IdleTimeout, memory: p.Memory}, nil
}

// setTCPUserTimeout makes a connection fail if sent bytes stay unacknowledged
// for tcpUserTimeout.
func setTCPUserTimeout(_, _ string, raw syscall.RawConn) error {
	var optionErr error
	err := raw.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(tcpUserTimeout.Milliseconds()))
	})
	return errors.Join(err, optionErr)
}

// isReusable reports whether an idle connection is still open and has received
// no bytes: bytes received before a request was sent cannot be its answer.
func (c *clientConn) isReusable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	stillOpen := false
	err := c.raw.Read(func(fd uintptr) bool {
		var buf [1]byte
		_, err := syscall.Read(int(fd), buf[:])
		stillOpen = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && stillOpen
}

func (p *Pool) release(c *clientConn) {
	c.used = true
	c.idleDeadline = time.Now().Add(c.idleTimeout)
	p.mu.Lock()
	p.idle = append(p.idle, c)
	p.mu.Unlock()
}

func (p *Pool) discard(c *clientConn) {
	p.mu.Lock()
	p.openConns--
	p.mu.Unlock()
	p.Conns.give(1)
	_ = c.conn.Close()
}

// Do sends a request and returns its answer; the error is a *RequestError. An
// answer for which isOwnAnswer is false belongs to an earlier request and is
// skipped. forceNew makes Do open a new connection. When ctx ends, Do closes
// the connection, so that the server can cancel the request.
func (p *Pool) Do(ctx context.Context, request *Request, deadline time.Time, forceNew bool, isOwnAnswer func(http.Header) bool) (*Response, error) {
	if err := context.Cause(ctx); err != nil {
		return nil, &RequestError{Err: err}
	}
	c, err := p.acquire(ctx, deadline, forceNew, request.Control)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { _ = c.conn.Close() })
	_ = c.conn.SetDeadline(deadline)
	receivedBefore := c.conn.received.Load()
	response, reusable, requestError := c.roundTrip(request, isOwnAnswer)
	if request.Bytes != nil {
		request.Bytes.countAnswer(response, c.conn.received.Load()-receivedBefore)
	}
	if requestError != nil {
		stop()
		p.discard(c)
		if cause := context.Cause(ctx); cause != nil {
			requestError.Err = cause
		}
		requestError.ConnReused = c.used
		return nil, requestError
	}
	if response.Remainder != nil {
		counted := c.conn.received.Load()
		response.Remainder = &remainderBody{ReadCloser: response.Remainder, onClose: func() {
			stop()
			p.discard(c)
			if request.Bytes != nil {
				request.Bytes.AnswerBodies.Add(c.conn.received.Load() - counted)
			}
		}}
		return response, nil
	}
	if !stop() || !reusable || c.reader.Buffered() > 0 {
		p.discard(c)
		return response, nil
	}
	p.release(c)
	return response, nil
}

// remainderBody is the streamed part of an answer. Its connection is not
// reused.
type remainderBody struct {
	io.ReadCloser
	once    sync.Once
	onClose func()
}

// Close closes the connection. The body is closed after it, since it would otherwise be read
// to its end, which may never come.
func (r *remainderBody) Close() error {
	r.once.Do(r.onClose)
	_ = r.ReadCloser.Close() // fails unless the body was read to its end
	return nil
}

// roundTrip sends the request and reads its answer. It also reports whether the
// connection can be reused.
func (c *clientConn) roundTrip(request *Request, isOwnAnswer func(http.Header) bool) (*Response, bool, *RequestError) {
	b := buffers.Get().(*bytes.Buffer)
	writeRequestHead(b, request)
	if request.Bytes != nil {
		request.Bytes.RequestHeads.Add(int64(b.Len()))
		request.Bytes.RequestBodies.Add(int64(len(request.Body)))
	}
	if b.Len()+len(request.Body) <= largeRequestBytes {
		b.Write(request.Body)
		n, err := c.conn.Write(b.Bytes())
		putBuffer(b)
		if err != nil {
			return nil, false, &RequestError{Sent: n > 0, Err: fmt.Errorf("send request: %w", err)}
		}
		return c.readAnswer(request, nil, isOwnAnswer)
	}
	sending := startUpload(c.conn, b.Bytes(), request.Body)
	response, reusable, requestError := c.readAnswer(request, sending, isOwnAnswer)
	// While the request is not completely sent, the server would take its remaining bytes
	// for the next request on a reused connection.
	return response, reusable && sending.isComplete(), requestError
}

// maxStatus is the highest status of an answer.
const maxStatus = 599

// errStatus is the error of an answer whose status is none of HTTP. Whether the request has run
// is unknown.
var errStatus = errors.New("the answer has an invalid status")

// isInterim reports whether the final answer follows one with this status.
func isInterim(status int) bool {
	return status >= http.StatusContinue && status < http.StatusOK
}

// maxAnswersRead bounds the answers read for one request, including answers
// to earlier requests and interim answers (1xx), which are skipped.
const maxAnswersRead = 3

// readAnswer reads answers until one belongs to the request. It also reports
// whether the connection can be reused. sending is nil once the request is sent.
func (c *clientConn) readAnswer(request *Request, sending *upload, isOwnAnswer func(http.Header) bool) (*Response, bool, *RequestError) {
	for range maxAnswersRead {
		parsed, err := c.readAnswerHead(request.Method)
		if err != nil {
			return nil, false, &RequestError{Sent: true, Err: fmt.Errorf("read answer: %w", err)}
		}
		if isInterim(parsed.StatusCode) {
			continue
		}
		if parsed.StatusCode < http.StatusOK || parsed.StatusCode > maxStatus {
			return nil, false, &RequestError{Sent: true, ResponseStarted: true, Err: fmt.Errorf("%w: %03d", errStatus, parsed.StatusCode)}
		}
		framed := parsed.ContentLength >= 0 || len(parsed.TransferEncoding) > 0
		if !framed && sending != nil {
			parsed.Body = &unframedBody{ReadCloser: parsed.Body, sending: sending}
		}
		head := Response{Status: parsed.StatusCode, Header: parsed.Header, ReceivedAt: time.Now()}
		response, complete, err := c.readAnswerBody(parsed, request.held)
		if err != nil {
			failure := &RequestError{Sent: true, ResponseStarted: true, Err: fmt.Errorf("read answer's body: %w", err)}
			if isOwnAnswer(parsed.Header) {
				failure.Answer = &head
			}
			return nil, false, failure
		}
		response.ReceivedAt = head.ReceivedAt
		if !isOwnAnswer(parsed.Header) {
			if !complete {
				break
			}
			continue
		}
		c.applyKeepAlive(parsed.Header)
		return response, framed && !parsed.Close, nil
	}
	return nil, false, &RequestError{Sent: true, Err: errors.New("the connection carried answers to other requests only")}
}

// readAnswerHead reads and parses the head of an answer to a request with the method.
func (c *clientConn) readAnswerHead(method string) (*http.Response, error) {
	c.conn.limitReads(maxAnswerHeadBytes)
	defer c.conn.unlimitReads()
	c.conn.check = &sdhead.Check{}
	defer func() { c.conn.check = nil }()
	received, _ := c.reader.Peek(c.reader.Buffered()) // with an earlier answer
	if err := c.conn.check.Add(received); err != nil {
		return nil, fmt.Errorf("check head: %w", err)
	}
	return http.ReadResponse(c.reader, &http.Request{Method: method})
}

// readAnswerBody reads the whole body if it is small, else its beginning: maxBufferedBytes, or
// what Memory has room for. It reports whether it has read the whole body.
func (c *clientConn) readAnswerBody(parsed *http.Response, held *heldAnswer) (*Response, bool, error) {
	response := &Response{Status: parsed.StatusCode, Header: parsed.Header}
	body, err := c.memory.read(parsed.Body, parsed.ContentLength, maxBufferedBytes)
	if err != nil || held == nil {
		c.memory.give(body.counted)
	} else {
		held.counted += body.counted
	}
	if err != nil {
		return nil, false, err
	}
	response.Body = body.data
	if body.whole {
		return response, true, nil
	}
	response.Remainder = parsed.Body
	response.RemainderBytes = -1
	if parsed.ContentLength >= 0 {
		response.RemainderBytes = parsed.ContentLength - int64(len(body.data))
	}
	return response, false, nil
}
