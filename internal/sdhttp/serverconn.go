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
	"time"
)

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
	// headHeld, bodyHeld and answerHeld are the bytes that Memory has counted. startHeld are
	// those of the body's first freeBodyBytes.
	headHeld, startHeld, bodyHeld, answerHeld int64
	// pooled is what Memory has counted for the answers read for this request.
	pooled heldAnswer
	// busy is true if Memory had no room for the request.
	busy bool
}

type serverConn struct {
	server *Server
	conn   *meteredConn
	// source is what reader reads from.
	source replayReader
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
	// unwritten is the number of bytes of the answers that are ready and not written.
	unwritten int64
	// writing is true while one goroutine writes the answers that are ready. writeSince is
	// when it began with the present one.
	writing    bool
	writeSince time.Time
	// refused is true if the connection exceeds MaxConns: Busy answers its request.
	refused bool
}

// readRequests reads requests until the connection is closed. It continues to
// read while requests are handled, so that it notices when the caller
// disconnects.
func (c *serverConn) readRequests() {
	defer c.server.remove(c)
	defer c.dropUnwritten()
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
		c.waitWhileCrowded()
		_ = c.conn.SetReadDeadline(time.Now().Add(limits.HeaderTimeout))
		request, ex, err := c.readRequest(limits)
		if err != nil {
			c.releaseRequest(ex)
			if errors.Is(err, errHeadRefused) {
				c.refuseHead()
				return
			}
			c.rejectMalformed(err)
			return
		}
		if !c.enqueue(ex) {
			c.releaseRequest(ex)
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
	ex := &exchange{}
	parsed, err := c.readHead(limits, ex)
	if err != nil {
		return nil, ex, fmt.Errorf("read request head: %w", err)
	}
	_ = c.conn.SetReadDeadline(time.Now().Add(bodyTimeout))
	if parsed.ContentLength > limits.MaxBodyBytes {
		return nil, ex, errTooLarge
	}
	ex.closeRequested, ex.busy = parsed.Close || c.refused, c.refused
	ex.http10, ex.headMethod = !parsed.ProtoAtLeast(1, 1), parsed.Method == http.MethodHead
	var body []byte
	if parsed.ContentLength != 0 {
		body, err = c.readBody(parsed, limits, ex)
		if err != nil {
			return nil, ex, err
		}
	}
	return &Request{
		Method: parsed.Method, Host: parsed.Host, Target: parsed.RequestURI, Header: parsed.Header,
		Body: body, ReceivedAt: time.Now(), held: &ex.pooled,
	}, ex, nil
}

// readBody reads a complete body. If Memory has no room for it, it is discarded, so that the
// caller, who may not read before it has sent everything, gets an answer.
func (c *serverConn) readBody(parsed *http.Request, limits Limits, ex *exchange) ([]byte, error) {
	if parsed.Header.Get("Expect") == "100-continue" {
		parsed.Header.Del("Expect")
		if _, err := io.WriteString(c.conn, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return nil, err
		}
	}
	body, err := c.server.Memory.readRequest(parsed.Body, parsed.ContentLength, limits.MaxBodyBytes+1, ex.headHeld)
	ex.startHeld, ex.bodyHeld = body.startCounted, body.counted
	if err == nil && body.whole && int64(len(body.data)) <= limits.MaxBodyBytes {
		return body.data, nil
	}
	c.releaseBody(ex)
	if err != nil {
		return nil, err
	}
	held := int64(len(body.data))
	if held <= limits.MaxBodyBytes {
		ex.busy = true
		discarded, err := io.Copy(io.Discard, io.LimitReader(parsed.Body, limits.MaxBodyBytes+1-held))
		if err != nil {
			return nil, err
		}
		held += discarded
	}
	if held > limits.MaxBodyBytes {
		return nil, errTooLarge
	}
	return nil, nil
}

// waitUntilNotFull waits until fewer than maxPipelined requests are unanswered, and until
// not too many bytes of their answers are held because the caller does not read them.
func (c *serverConn) waitUntilNotFull() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for !c.closing && (len(c.queue) >= maxPipelined || c.unwritten > maxUnwrittenBytes || c.unwritten > 0 && c.server.Memory.isFull()) {
		c.notFull.Wait()
	}
}

// waitWhileCrowded waits until the earlier requests of the connection are answered if the
// server is crowded. It follows the arrival of the next request, so that a disconnect of a
// client that waits for its answer is still noticed.
func (c *serverConn) waitWhileCrowded() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for !c.closing && len(c.queue) > 0 && (c.server.isCrowded() || c.server.Memory.requestsCrowded()) {
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
	response := c.callHandler(request, ex)
	c.releaseRequest(ex)
	c.mu.Lock()
	defer c.mu.Unlock()
	if response == nil {
		c.server.Memory.give(ex.pooled.counted)
		c.closing = true
		c.cancel()
		_ = c.conn.Close()
		c.notFull.Signal()
		return
	}
	ex.response = response
	c.hold(ex)
	c.writeReady()
}

// writeReady writes the answers that are ready, oldest first, unless another goroutine
// already does. On a connection that is closing it drops them. mu is held on entry and on return, but not during the writes.
func (c *serverConn) writeReady() {
	if c.writing {
		return
	}
	c.writing = true
	for len(c.queue) > 0 && c.queue[0].response != nil && !c.closing {
		c.writeOldest()
	}
	c.writing = false
	if c.closing {
		for _, ex := range c.queue {
			if ex.response != nil {
				c.release(ex)
			}
		}
	}
	c.notFull.Signal()
}

// callHandler calls the handler. It returns nil after a panic that Recovered has
// reported: whether the request has run is then unknown, and so no answer is sent.
func (c *serverConn) callHandler(request *Request, ex *exchange) *Response {
	if c.server.Recovered != nil {
		defer func() {
			if value := recover(); value != nil {
				c.server.Recovered(value, debug.Stack())
			}
		}()
	}
	if ex.busy {
		return c.server.refuse(c.ctx, request)
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
	c.writeSince = time.Now()
	c.mu.Unlock()
	_ = c.conn.SetWriteDeadline(c.writeSince.Add(writeTimeout))
	err := writeResponse(c.conn, oldest, closeConn, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.releaseAnswer(oldest)
	})
	c.mu.Lock()
	c.queue = c.queue[1:]
	c.release(oldest)
	c.notFull.Signal()
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

// rejectMalformed answers a malformed request, or one that does not arrive in time,
// after the earlier requests of the connection, and closes the connection.
func (c *serverConn) rejectMalformed(err error) {
	if isTimeout(err) && !c.hasRequests() || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, net.ErrClosed) {
		return
	}
	status := http.StatusBadRequest
	switch {
	case errors.Is(err, errTooLarge):
		status = http.StatusRequestEntityTooLarge
	case errors.Is(err, errHeadTooLarge):
		status = http.StatusRequestHeaderFieldsTooLarge
	case isTimeout(err):
		status = http.StatusRequestTimeout
	}
	rejection := &exchange{response: &Response{Status: status}, closeRequested: true}
	// The last write sets the deadline that ends the discarding.
	_ = c.conn.SetReadDeadline(time.Time{})
	if !c.enqueue(rejection) {
		c.linger()
		return
	}
	c.mu.Lock()
	c.writeReady()
	c.mu.Unlock()
	_, _ = io.Copy(io.Discard, c.reader)
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}
