// Package sdstandcrowd is a stand-in for clients that keep to no limits: they send
// bodies and heads that fill the memory, do not read answers, or hold connections.
package sdstandcrowd

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"
)

// Client is the behaviour of one client on one connection. It returns when it has sent
// what it sends, when the server refuses it, or when ctx ends.
type Client func(ctx context.Context, conn net.Conn, number int)

// Crowd is a number of clients at one address, each with a connection of its own.
type Crowd struct {
	cancel context.CancelFunc
	group  sync.WaitGroup
	mu     sync.Mutex
	conns  []net.Conn
}

const dialTimeout = 2 * time.Second

// Start connects clients to an address. The connections stay open until Close or until
// the server closes them.
func Start(address string, clients int, client Client) *Crowd {
	ctx, cancel := context.WithCancel(context.Background())
	c := &Crowd{cancel: cancel}
	for number := range clients {
		c.group.Go(func() {
			conn, err := net.DialTimeout("tcp", address, dialTimeout)
			if err != nil {
				return // the server refuses connections
			}
			if !c.add(ctx, conn) {
				return
			}
			client(ctx, conn, number)
		})
	}
	return c
}

func (c *Crowd) add(ctx context.Context, conn net.Conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if ctx.Err() != nil {
		_ = conn.Close()
		return false
	}
	c.conns = append(c.conns, conn)
	return true
}

// Wait waits until each client has sent what it sends or was refused, at most for the
// duration: a client that the server does not read from stays in its writes.
func (c *Crowd) Wait(most time.Duration) {
	done := make(chan struct{})
	go func() {
		c.group.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(most):
	}
}

// Close closes all connections and waits until the clients have ended.
func (c *Crowd) Close() {
	c.cancel()
	c.mu.Lock()
	for _, conn := range c.conns {
		_ = conn.Close()
	}
	c.mu.Unlock()
	c.group.Wait()
}

// Request describes the requests that clients send.
type Request struct {
	Host, Path string
	// IDHeader is the name of the header that identifies a request.
	IDHeader string
}

// head returns the beginning of a head, without its end.
func (r Request) head(method string, client, number int) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%s: crowd-%d-%d\r\n", method, r.Path, r.Host, r.IDHeader, client, number)
}
