package sdhttp

import (
	"errors"
	"net"
	"sync/atomic"
)

// errHeadTooLarge is the error of a message whose head exceeds its limit.
var errHeadTooLarge = errors.New("message head is larger than the limit")

// meteredConn counts the bytes read from a connection, and limits them while the head
// of a message is read: the parsers of net/http accept heads of any size.
type meteredConn struct {
	net.Conn
	received atomic.Int64
	// limit is the value of received from which reads fail; 0 means no limit.
	limit int64
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
	n, err := c.Conn.Read(data)
	c.received.Add(int64(n))
	return n, err
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
