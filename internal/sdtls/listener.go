package sdtls

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
)

const (
	handshakeTimeout = 5 * time.Second
	// maxHandshakes is the number of concurrent handshakes. Further connections wait
	// in the accept queue of the kernel.
	maxHandshakes = 256
	// acceptPause is the delay after a failed accept, such as one without free file
	// descriptors or memory.
	acceptPause = 10 * time.Millisecond
)

// Listener accepts connections after a successful TLS handshake with a peer that
// has one of the accepted roles. It closes every other connection and logs one
// line.
type Listener struct {
	net.Listener
	config *tls.Config
	log    hclog.Logger
	// handshakeSlots holds an element for each running handshake.
	handshakeSlots chan struct{}
	conns          chan net.Conn
	closed         chan struct{}
	closeOnce      sync.Once
}

// Listen returns a TLS listener on top of a plain one. It accepts peers with one
// of the roles.
func (p *Provider) Listen(plain net.Listener, log hclog.Logger, peers ...Role) *Listener {
	l := &Listener{
		Listener:       plain,
		config:         p.config(peers),
		log:            log,
		handshakeSlots: make(chan struct{}, maxHandshakes),
		conns:          make(chan net.Conn),
		closed:         make(chan struct{}),
	}
	go l.run()
	return l
}

// Accept waits for the next connection with a successful handshake.
func (l *Listener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close closes the listener. Accepted connections stay open.
func (l *Listener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// run accepts connections and starts their handshakes until the listener is
// closed.
func (l *Listener) run() {
	defer l.closeOnce.Do(func() { close(l.closed) })
	for {
		raw, err := l.Listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(acceptPause)
			continue
		}
		select {
		case l.handshakeSlots <- struct{}{}:
			go l.handshake(raw)
		case <-l.closed:
			_ = raw.Close()
			return
		}
	}
}

// handshake hands a connection to Accept if its handshake succeeds, and closes it
// otherwise.
func (l *Listener) handshake(raw net.Conn) {
	defer func() { <-l.handshakeSlots }()
	ctx, cancel := context.WithTimeout(context.Background(), handshakeTimeout)
	defer cancel()
	secured := tls.Server(raw, l.config)
	if err := secured.HandshakeContext(ctx); err != nil {
		l.log.Warn("connection refused", "local", raw.LocalAddr().String(), "remote", raw.RemoteAddr().String(),
			"reason", reasonOf(err), "error", err)
		_ = raw.Close()
		return
	}
	select {
	case l.conns <- secured:
	case <-l.closed:
		_ = secured.Close()
	}
}

// reasonOf returns a short explanation of a failed handshake and its remedy.
func reasonOf(err error) string {
	var plain tls.RecordHeaderError
	var peer *PeerError
	switch {
	case errors.As(err, &plain):
		return "the peer sent plain text; configure certificates on it"
	case errors.As(err, &peer):
		return "the peer's certificate is not accepted; issue one that is signed by a trusted authority, with the role as organisational unit"
	case errors.Is(err, context.DeadlineExceeded):
		return "the peer did not complete the handshake in time"
	}
	return "the handshake failed; check that both sides trust the same authorities"
}
