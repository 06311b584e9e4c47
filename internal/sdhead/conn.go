package sdhead

import (
	"net"
	"sync"
)

// Conn is a connection to a server that checks the heads of its answers. It is for clients that
// read from the connection by themselves, such as http.Transport.
type Conn struct {
	net.Conn

	mu    sync.Mutex
	check Check
}

// ExpectAnswer begins the check of the next answer. It has to be called before the request is
// written.
func (c *Conn) ExpectAnswer() {
	c.mu.Lock()
	c.check = Check{}
	c.mu.Unlock()
}

// Read reads from the connection. From a malformed line on, it returns no bytes and an error that
// wraps ErrMalformed.
func (c *Conn) Read(data []byte) (int, error) {
	if err := c.add(nil); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(data)
	if malformed := c.add(data[:n]); malformed != nil {
		return 0, malformed
	}
	return n, err
}

func (c *Conn) add(received []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.check.Add(received)
}
