package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync/atomic"
	"time"
)

// signature is the digest of a body.
func signature(body []byte) string {
	digest := fnv.New64a()
	_, _ = digest.Write(body)
	return strconv.FormatUint(digest.Sum64(), 16)
}

// client sends requests one after the other on one connection, which it keeps as long as
// the node does. It sends no request twice.
type client struct {
	machine *machine
	conn    net.Conn
	reader  *bufio.Reader
	used    bool
}

func newClient(m *machine) *client { return &client{machine: m} }

func (c *client) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// open opens a connection unless the kept one is still open.
func (c *client) open() error {
	if c.conn != nil {
		_ = c.conn.SetReadDeadline(time.Now().Add(time.Millisecond))
		_, err := c.reader.Peek(1)
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return nil
		}
		c.close()
	}
	conn, err := net.DialTimeout("tcp", c.machine.address(portOutbound), time.Second)
	if err != nil {
		return err
	}
	c.conn, c.reader, c.used = conn, bufio.NewReader(conn), false
	return nil
}

type request struct {
	method, path string
	body         []byte
	timeout      time.Duration
}

// answer is what a client saw. err is set if there was no complete answer.
type answer struct {
	id     string
	status int
	bytes  int
	whole  bool
	// kept is true if the request was sent on a connection that had carried another one.
	kept       bool
	err        error
	sent, done time.Time
}

var lastID atomic.Int64

// newID returns a request's id; every attempt has its own.
func newID() string {
	return fmt.Sprintf("%08x%08x", uint32(time.Now().UnixNano()), uint32(lastID.Add(1)))
}

// do sends a request. The client leaves a second after the time that it has stated.
func (c *client) do(q request) (a answer) {
	a.id, a.sent = newID(), time.Now()
	defer func() {
		a.done = time.Now()
		if a.err != nil {
			c.close()
		}
	}()
	if a.err = c.open(); a.err != nil {
		return a
	}
	a.kept = c.used
	c.used = true
	_ = c.conn.SetDeadline(a.sent.Add(q.timeout + time.Second))
	var head bytes.Buffer
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\nSavorydeal-Request-Id: %s\r\nSavorydeal-Timeout-Ms: %d\r\n", q.method, q.path, host, a.id, q.timeout.Milliseconds())
	if q.method != http.MethodGet {
		fmt.Fprintf(&head, "Content-Length: %d\r\n", len(q.body))
	}
	head.WriteString("\r\n")
	for _, part := range [][]byte{head.Bytes(), q.body} {
		if _, a.err = c.conn.Write(part); a.err != nil {
			return a
		}
	}
	response, err := http.ReadResponse(c.reader, &http.Request{Method: q.method})
	if err != nil {
		a.err = err
		return a
	}
	defer response.Body.Close()
	a.status = response.StatusCode
	body, err := io.ReadAll(response.Body)
	a.bytes, a.err = len(body), err
	a.whole = err == nil && response.Header.Get("Savorydeal-Response-Signature") == signature(body)
	if response.Close {
		c.close()
	}
	return a
}
