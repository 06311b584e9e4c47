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
	// maxDatagramBytes bounds what is read; nodes send far less.
	maxDatagramBytes = 64 << 10
	// headerBytes is what IP and UDP add to a datagram on the wire.
	headerBytes = 28
)

// Counts are what a socket has carried, in bytes on the wire with the headers
// of IP and UDP.
type Counts struct {
	SentBytes, ReceivedBytes         int64
	SentDatagrams, ReceivedDatagrams int64
	// Dropped counts datagrams dropped on purpose, for tests of loss.
	Dropped int64
}

// Socket sends and receives datagrams on a node's peer address. It is safe for
// concurrent use.
type Socket struct {
	conn *net.UDPConn
	loss float64
	// keyring is nil for datagrams without signatures.
	keyring *Keyring

	addresses sync.Map

	sentBytes, receivedBytes         atomic.Int64
	sentDatagrams, receivedDatagrams atomic.Int64
	dropped                          atomic.Int64
}

// Listen opens the socket. loss is the share of datagrams to drop when they
// are received, for tests; 0 in service. keyring signs datagrams; with nil they
// have no signature.
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

// Send sends a datagram. Like any datagram it may be lost.
func (s *Socket) Send(to string, datagram Datagram, now time.Time) error {
	address, err := s.address(to)
	if err != nil {
		return err
	}
	bytes, err := Encode(datagram, now)
	if err != nil {
		return err
	}
	if s.keyring != nil {
		bytes = s.keyring.seal(bytes)
	}
	s.sentBytes.Add(int64(len(bytes)) + headerBytes)
	s.sentDatagrams.Add(1)
	if _, err := s.conn.WriteToUDPAddrPort(bytes, address); err != nil {
		return fmt.Errorf("send datagram to %s: %w", to, err)
	}
	return nil
}

// address parses a peer address once.
func (s *Socket) address(text string) (netip.AddrPort, error) {
	if known, ok := s.addresses.Load(text); ok {
		return known.(netip.AddrPort), nil
	}
	parsed, err := netip.ParseAddrPort(text)
	if err != nil {
		return netip.AddrPort{}, fmt.Errorf("send datagram to %s: %w", text, err)
	}
	s.addresses.Store(text, parsed)
	return parsed, nil
}

// Serve hands every datagram received to take until ctx ends. What cannot be
// read is dropped.
func (s *Socket) Serve(ctx context.Context, now func() time.Time, take func(from string, datagram Datagram)) error {
	stop := context.AfterFunc(ctx, func() { _ = s.conn.Close() })
	defer stop()
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, from, err := s.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			// An earlier datagram met a closed port; the socket goes on.
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
			message, ok = s.keyring.open(message)
		}
		if !ok {
			continue
		}
		datagram, err := Decode(message, now())
		if err != nil {
			continue
		}
		take(netip.AddrPortFrom(from.Addr().Unmap(), from.Port()).String(), datagram)
	}
}

// Close closes the socket.
func (s *Socket) Close() error {
	return s.conn.Close()
}

// Counts returns the counters.
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
