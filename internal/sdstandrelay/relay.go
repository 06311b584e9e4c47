// Package sdstandrelay is a small stand-in for the network between the two ends of
// a connection, for tests and the benchmark program. It is a TCP relay that can drop
// the bytes of open connections while new ones work, or act as a network partition.
package sdstandrelay

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
)

// Direction selects the bytes of a connection that are dropped.
type Direction string

const (
	// ToServer drops the bytes that the dialling end sends.
	ToServer Direction = "to_server"
	// ToClient drops the bytes that the accepting end sends.
	ToClient Direction = "to_client"
	// BothWays drops the bytes of both ends.
	BothWays Direction = "both_ways"
)

// Relay forwards connections to one address. It is safe for concurrent use.
type Relay struct {
	listener      net.Listener
	serverAddress string

	mu           sync.Mutex
	connections  map[*connection]struct{}
	partitioned  bool
	droppedBytes atomic.Int64
}

// connection is one connection through the relay.
type connection struct {
	client net.Conn
	server net.Conn
	// toServerRemaining and toClientRemaining are the numbers of bytes that each
	// direction still forwards before it drops all later ones; -1 forwards all.
	toServerRemaining atomic.Int64
	toClientRemaining atomic.Int64
}

// Start listens on the address and forwards connections to serverAddress.
func Start(address, serverAddress string) (*Relay, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("start relay: %w", err)
	}
	r := &Relay{listener: listener, serverAddress: serverAddress, connections: make(map[*connection]struct{})}
	go r.accept()
	return r, nil
}

// Address returns the address on which the relay listens.
func (r *Relay) Address() string {
	return r.listener.Addr().String()
}

// DroppedBytes returns the number of bytes dropped so far.
func (r *Relay) DroppedBytes() int64 {
	return r.droppedBytes.Load()
}

// Blackhole drops bytes of the connections that are open now: each forwards the given
// number of further bytes in the direction and drops all later ones. New connections
// are not affected.
func (r *Relay) Blackhole(direction Direction, after int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.connections {
		if direction != ToClient {
			c.toServerRemaining.Store(after)
		}
		if direction != ToServer {
			c.toClientRemaining.Store(after)
		}
	}
}

// SetPartitioned begins or ends a network partition, which drops all bytes of open
// connections and closes new ones at once. Connections that were open when it began
// still drop all bytes after it has ended.
func (r *Relay) SetPartitioned(partitioned bool) {
	r.mu.Lock()
	r.partitioned = partitioned
	r.mu.Unlock()
	if partitioned {
		r.Blackhole(BothWays, 0)
	}
}

// Close closes the listener and all connections.
func (r *Relay) Close() {
	_ = r.listener.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.connections {
		c.close()
	}
}

func (c *connection) close() {
	_ = c.client.Close()
	_ = c.server.Close()
}

func (r *Relay) accept() {
	for {
		client, err := r.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		go r.relay(client)
	}
}

func (r *Relay) relay(client net.Conn) {
	r.mu.Lock()
	partitioned := r.partitioned
	r.mu.Unlock()
	if partitioned {
		_ = client.Close()
		return
	}
	server, err := net.Dial("tcp", r.serverAddress)
	if err != nil {
		_ = client.Close()
		return
	}
	c := &connection{client: client, server: server}
	c.toServerRemaining.Store(-1)
	c.toClientRemaining.Store(-1)
	r.mu.Lock()
	r.connections[c] = struct{}{}
	r.mu.Unlock()
	var directions sync.WaitGroup
	directions.Add(2)
	go func() {
		defer directions.Done()
		r.copy(server, client, &c.toServerRemaining)
	}()
	go func() {
		defer directions.Done()
		r.copy(client, server, &c.toClientRemaining)
	}()
	directions.Wait()
	c.close()
	r.mu.Lock()
	delete(r.connections, c)
	r.mu.Unlock()
}

const bufferBytes = 4 << 10

// copy forwards bytes until the source ends. If the direction drops bytes, the end
// of the source is not forwarded either, so that the other end sees a connection
// without data rather than a closed one.
func (r *Relay) copy(to io.Writer, from io.Reader, remaining *atomic.Int64) {
	buf := make([]byte, bufferBytes)
	for {
		n, err := from.Read(buf)
		forwarded := r.reserve(remaining, int64(n))
		r.droppedBytes.Add(int64(n) - forwarded)
		if forwarded > 0 {
			if _, err := to.Write(buf[:forwarded]); err != nil {
				return
			}
		}
		if err == nil {
			continue
		}
		if conn, ok := to.(*net.TCPConn); ok && remaining.Load() < 0 {
			_ = conn.CloseWrite()
		}
		return
	}
}

// reserve subtracts up to n bytes from remaining and returns how many of them are
// forwarded. A negative remaining forwards all.
func (r *Relay) reserve(remaining *atomic.Int64, n int64) int64 {
	for {
		available := remaining.Load()
		if available < 0 {
			return n
		}
		forwarded := min(available, n)
		if remaining.CompareAndSwap(available, available-forwarded) {
			return forwarded
		}
	}
}
