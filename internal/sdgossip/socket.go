package sdgossip

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxDatagramBytes is the size of the receive buffer. It fits the largest UDP
	// datagram; nodes send far smaller ones.
	maxDatagramBytes = 64 << 10
	// headerBytes is the size of the IPv4 and UDP headers of a datagram.
	headerBytes = 28
)

// Counts are the totals of a socket since it was opened. Bytes include the IP
// and UDP headers.
type Counts struct {
	SentBytes, ReceivedBytes         int64
	SentDatagrams, ReceivedDatagrams int64
	// Dropped counts the datagrams that were dropped on receipt to test datagram
	// loss. They are not included in the received ones.
	Dropped int64
}

// Socket sends and receives datagrams on a node's peer address. It is safe for
// concurrent use.
type Socket struct {
	conn *net.UDPConn
	loss float64
	// keyring is nil if datagrams are neither signed nor verified.
	keyring *Keyring

	// addresses caches parsed peer addresses: string to netip.AddrPort.
	addresses sync.Map

	sentBytes, receivedBytes         atomic.Int64
	sentDatagrams, receivedDatagrams atomic.Int64
	dropped                          atomic.Int64
}

// Listen opens a socket on an IP address and port. loss is the fraction of
// received datagrams to drop in tests, 0 in production. keyring signs and
// verifies datagrams; if it is nil they are neither signed nor verified.
func Listen(address string, loss float64, keyring *Keyring) (*Socket, error) {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, fmt.Errorf("listen for datagrams on %s: %w", address, err)
	}
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(parsed))
	if err != nil {
		return nil, fmt.Errorf("listen for datagrams on %s: %w", address, err)
	}
	return &Socket{conn: conn, loss: loss, keyring: keyring}, nil
}

// Send sends a datagram. Delivery is not guaranteed.
func (s *Socket) Send(to string, datagram Datagram, now time.Time) error {
	_, err := s.SendSized(to, datagram, now)
	return err
}

// SendSized sends a datagram and returns its size, IP and UDP headers included.
func (s *Socket) SendSized(to string, datagram Datagram, now time.Time) (int64, error) {
	address, err := s.address(to)
	if err != nil {
		return 0, err
	}
	bytes, err := Encode(datagram, now)
	if err != nil {
		return 0, err
	}
	if s.keyring != nil {
		bytes = s.keyring.sign(bytes)
	}
	size := int64(len(bytes)) + headerBytes
	s.sentBytes.Add(size)
	s.sentDatagrams.Add(1)
	if _, err := s.conn.WriteToUDPAddrPort(bytes, address); err != nil {
		return size, fmt.Errorf("send datagram to %s: %w", to, err)
	}
	return size, nil
}

// address parses a peer address and caches the result.
func (s *Socket) address(text string) (netip.AddrPort, error) {
	if cached, ok := s.addresses.Load(text); ok {
		return cached.(netip.AddrPort), nil
	}
	parsed, err := netip.ParseAddrPort(text)
	if err != nil {
		return netip.AddrPort{}, fmt.Errorf("send datagram to %s: %w", text, err)
	}
	s.addresses.Store(text, parsed)
	return parsed, nil
}

// Serve passes received datagrams to handle until ctx ends, and then closes the
// socket and returns nil. Datagrams that have no valid signature or cannot be
// decoded are dropped.
func (s *Socket) Serve(ctx context.Context, now func() time.Time, handle func(from string, datagram Datagram)) error {
	stop := context.AfterFunc(ctx, func() { _ = s.conn.Close() })
	defer stop()
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, from, err := s.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			// The kernel reports here that an earlier datagram was sent to a
			// closed port. The socket stays usable.
			continue
		}
		if s.loss > 0 && rand.Float64() < s.loss {
			s.dropped.Add(1)
			continue
		}
		s.receivedBytes.Add(int64(n) + headerBytes)
		s.receivedDatagrams.Add(1)
		message, ok := buffer[:n], true
		if s.keyring != nil {
			message, ok = s.keyring.verify(message)
		}
		if !ok {
			continue
		}
		datagram, err := Decode(message, now())
		if err != nil {
			continue
		}
		handle(netip.AddrPortFrom(from.Addr().Unmap(), from.Port()).String(), datagram)
	}
}

// Close closes the socket.
func (s *Socket) Close() error {
	return s.conn.Close()
}

// Counts returns the current totals.
func (s *Socket) Counts() Counts {
	return Counts{
		SentBytes:         s.sentBytes.Load(),
		ReceivedBytes:     s.receivedBytes.Load(),
		SentDatagrams:     s.sentDatagrams.Load(),
		ReceivedDatagrams: s.receivedDatagrams.Load(),
		Dropped:           s.dropped.Load(),
	}
}

// Address returns the address the socket is bound to.
func (s *Socket) Address() string {
	return s.conn.LocalAddr().String()
}
