package sdhttp

import (
	"errors"
	"net"
	"sync/atomic"

	"github.com/savorydeal/savorydeal/internal/sdhead"
)

// errHeadTooLarge is the error of a message whose head exceeds its limit.
var errHeadTooLarge = errors.New("message head is larger than the limit")

// meteredConn counts the bytes read from a connection, and limits them while the head
// of a message is read: the parsers of net/http accept heads of any size. It checks the heads of
// answers.
type meteredConn struct {
	net.Conn
	received atomic.Int64
	// limit is the value of received from which reads fail; 0 means no limit.
	limit int64
	// check checks the head of an answer that is read, nil if none is.
	check *sdhead.Check
}

// limitReads makes reads fail once this number of further bytes has been read.
func (c *meteredConn) limitReads(bytes int64) {
	c.limit = c.received.Load() + bytes
}

func (c *meteredConn) unlimitReads() {
	c.limit = 0
}

func (c *meteredConn) Read(data []byte) (int, error) {
	if c.limit > 0 {
		left := c.limit - c.received.Load()
		if left <= 0 {
			return 0, errHeadTooLarge
		}
		data = data[:min(int64(len(data)), left)]
	}
	if err := c.checkHead(nil); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(data)
	c.received.Add(int64(n))
	if malformed := c.checkHead(data[:n]); malformed != nil {
		return 0, malformed
	}
	return n, err
}

// checkHead returns an error from a malformed line of an answer's head on.
func (c *meteredConn) checkHead(received []byte) error {
	if c.check == nil {
		return nil
	}
	return c.check.Add(received)
}

// ByteCounts counts the bytes of requests and of their answers, without those of
// the transport. Heads include the framing of bodies. It is safe for concurrent
// use.
type ByteCounts struct {
	RequestHeads, RequestBodies, AnswerHeads, AnswerBodies atomic.Int64
}

// countAnswer counts the bytes received for a request; response is nil if it has no
// complete answer.
func (b *ByteCounts) countAnswer(response *Response, received int64) {
	body := int64(0)
	if response != nil {
		body = min(received, int64(len(response.Body)))
	}
	b.AnswerBodies.Add(body)
	b.AnswerHeads.Add(received - body)
}
