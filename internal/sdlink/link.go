// Package sdlink manages the links between nodes. A link is a yamux session over
// one connection to a peer, opened on first use; each call or exchange of control
// messages has its own stream on it.
package sdlink

import (
	"context"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/yamux"

	"github.com/savorydeal/savorydeal"
	"github.com/savorydeal/savorydeal/internal/sdpeerpb"
	"github.com/savorydeal/savorydeal/internal/sdwire"
)

const (
	dialTimeout        = time.Second
	streamWriteTimeout = 5 * time.Second
	acceptBacklog      = 1024
	// StreamWindowBytes is how much of a stream arrives before it is read.
	StreamWindowBytes = 256 << 10
)

// Kind is the purpose of a stream.
type Kind string

// Kinds of streams.
const (
	// KindCall forwards a call to the node of the target that is to run it.
	KindCall Kind = "call"
	// KindKeyed forwards a call with a key that does not name its owner to a node
	// of the service, which passes the call on to the owner.
	KindKeyed Kind = "keyed"
	// KindFetch fetches the answer to a call whose link was lost.
	KindFetch Kind = "fetch"
	// KindControl is one exchange of control messages.
	KindControl Kind = "control"
)

// Identity identifies a node in the first message of every stream.
type Identity struct {
	Node savorydeal.NodeID
	// Generation identifies the start of the node's process.
	Generation uint64
}

// Stream is one exchange with a peer.
type Stream struct {
	*sdwire.Conn
	// Peer identifies the other node. On a stream that this node opened it is
	// only set after ReadOpen.
	Peer Identity
	raw  *yamux.Stream
	// link is nil on a stream that the peer opened.
	link    *link
	session *yamux.Session
	endOnce sync.Once
}

// LinkLost reports whether the link of the stream is closed. If the stream ended
// while the link is up, the peer closed the stream.
func (s *Stream) LinkLost() bool {
	return s.session.IsClosed()
}

// SetReadDeadline sets the deadline of all later reads; zero means none.
func (s *Stream) SetReadDeadline(deadline time.Time) error {
	return s.raw.SetReadDeadline(deadline)
}

// Abort closes the stream and makes a waiting Read fail.
func (s *Stream) Abort() error {
	if s.link != nil {
		s.endOnce.Do(s.link.exchangeEnded)
	}
	_ = s.raw.SetReadDeadline(time.Unix(1, 0))
	return s.raw.Close()
}

// Handler serves one stream that a peer has opened. The stream is closed when the
// handler returns. ctx is cancelled when the link closes or the node stops.
type Handler func(ctx context.Context, stream *Stream)

// Links holds the sessions with all peers. It is safe for concurrent use.
type Links struct {
	identity Identity
	clock    savorydeal.Clock
	log      hclog.Logger
	handlers map[Kind]Handler
	// Recovered, if not nil, is called after a panic in a Handler, which then ends only
	// its stream. It must be set before Serve is called.
	Recovered func(kind Kind, peer savorydeal.NodeID, value any, stack []byte)

	mu sync.Mutex
	// links and pending are keyed by peer address.
	links             map[string]*link
	pending           map[string]*pendingDial
	accepted          map[*yamux.Session]struct{}
	closed            bool
	unresponsiveCount int
	dialer            atomic.Pointer[Dialer]
	blocked           func(address string) bool
}

// pendingDial is a link being opened; all calls of Open that need it wait for it.
// link and err are set before done is closed.
type pendingDial struct {
	done chan struct{}
	link *link
	err  error
}

// New returns a Links without sessions. All handlers must be set (Handle) before
// Serve is called.
func New(identity Identity, clock savorydeal.Clock, log hclog.Logger) *Links {
	return &Links{
		identity: identity,
		clock:    clock,
		log:      log,
		handlers: make(map[Kind]Handler),
		links:    make(map[string]*link),
		pending:  make(map[string]*pendingDial),
		accepted: make(map[*yamux.Session]struct{}),
	}
}

// Handle sets the handler of a kind of stream.
func (l *Links) Handle(kind Kind, handler Handler) {
	l.handlers[kind] = handler
}

func sessionConfig() *yamux.Config {
	cfg := yamux.DefaultConfig()
	cfg.AcceptBacklog = acceptBacklog
	// sdprobe checks links while they are in use, so that idle ones cause no
	// traffic.
	cfg.EnableKeepAlive = false
	cfg.ConnectionWriteTimeout = streamWriteTimeout
	cfg.MaxStreamWindowSize = StreamWindowBytes
	cfg.LogOutput = io.Discard
	return cfg
}

// Open opens a stream of the kind to the peer at the address. The caller may write
// messages at once, must call ReadOpen before the first Read and must end the
// stream by Abort.
func (l *Links) Open(ctx context.Context, address string, kind Kind) (*Stream, error) {
	peerLink, err := l.getLink(ctx, address)
	if err != nil {
		return nil, err
	}
	raw, err := peerLink.session.OpenStream()
	if err != nil {
		l.drop(address, peerLink)
		return nil, fmt.Errorf("open stream to %s: %w", address, err)
	}
	peerLink.exchangeOpened()
	stream := &Stream{Conn: sdwire.NewConn(raw), raw: raw, link: peerLink, session: peerLink.session}
	if err := stream.Write(l.openMessage(kind)); err != nil {
		_ = stream.Abort()
		return nil, fmt.Errorf("open stream to %s: %w", address, err)
	}
	return stream, nil
}

// openMessage returns the first message of a stream. kind is empty in the reply.
func (l *Links) openMessage(kind Kind) *sdpeerpb.StreamOpen {
	return &sdpeerpb.StreamOpen{
		Version:       sdwire.ProtocolVersion,
		OldestVersion: sdwire.OldestProtocolVersion,
		Kind:          string(kind),
		Node:          string(l.identity.Node),
		Generation:    l.identity.Generation,
	}
}

// ReadOpen reads the peer's first message. It returns an error if the peer refuses
// the stream.
func (s *Stream) ReadOpen() error {
	var open sdpeerpb.StreamOpen
	if err := s.Read(&open); err != nil {
		return fmt.Errorf("read the first message of the peer: %w", err)
	}
	if open.GetError() != "" {
		return fmt.Errorf("peer %s refused the stream: %s", open.GetNode(), open.GetError())
	}
	s.Peer = Identity{Node: savorydeal.NodeID(open.GetNode()), Generation: open.GetGeneration()}
	return nil
}

// getLink returns the link to the address and dials it if there is none.
func (l *Links) getLink(ctx context.Context, address string) (*link, error) {
	l.mu.Lock()
	if l.closed {
		l.mu.Unlock()
		return nil, fmt.Errorf("open link to %s: this node has closed its links", address)
	}
	if l.blocked != nil && l.blocked(address) {
		l.mu.Unlock()
		return nil, fmt.Errorf("open link to %s: the address is blocked", address)
	}
	if existing := l.links[address]; existing != nil && !existing.session.IsClosed() {
		l.mu.Unlock()
		return existing, nil
	}
	pending := l.pending[address]
	if pending == nil {
		pending = &pendingDial{done: make(chan struct{})}
		l.pending[address] = pending
		go l.dial(address, pending)
	}
	l.mu.Unlock()

	select {
	case <-pending.done:
		return pending.link, pending.err
	case <-ctx.Done():
		return nil, fmt.Errorf("open link to %s: %w", address, ctx.Err())
	}
}

func (l *Links) dial(address string, pending *pendingDial) {
	pending.link, pending.err = l.connect(address)
	l.mu.Lock()
	delete(l.pending, address)
	if pending.err == nil && l.closed {
		pending.err = fmt.Errorf("open link to %s: this node has closed its links", address)
		pending.link.terminate()
	}
	if pending.err == nil {
		l.links[address] = pending.link
	}
	l.mu.Unlock()
	close(pending.done)
}

func (l *Links) connect(address string) (*link, error) {
	conn, err := l.dialPeer(address)
	if err != nil {
		return nil, fmt.Errorf("open link to %s: %w", address, err)
	}
	tracked := newTrackedConn(conn, l.clock)
	session, err := yamux.Client(tracked, sessionConfig())
	if err != nil {
		_ = conn.Close()
		return nil, fmt.Errorf("start session with %s: %w", address, err)
	}
	onUnresponsive := func(unresponsive *link) {
		l.log.Warn("link unresponsive: closed and replaced on next use", "peer", address)
		l.mu.Lock()
		l.unresponsiveCount++
		l.mu.Unlock()
		l.drop(address, unresponsive)
	}
	return &link{session: session, conn: tracked, clock: l.clock, onUnresponsive: onUnresponsive}, nil
}

// drop closes a link and, unless another one has replaced it, removes it from
// links.
func (l *Links) drop(address string, dropped *link) {
	l.mu.Lock()
	if l.links[address] == dropped {
		delete(l.links, address)
	}
	l.mu.Unlock()
	dropped.terminate()
}

// Close closes all sessions, including those that peers have opened.
func (l *Links) Close() {
	l.mu.Lock()
	l.closed = true
	links := make([]*link, 0, len(l.links))
	for _, dialled := range l.links {
		links = append(links, dialled)
	}
	accepted := make([]*yamux.Session, 0, len(l.accepted))
	for session := range l.accepted {
		accepted = append(accepted, session)
	}
	l.mu.Unlock()
	for _, dialled := range links {
		dialled.terminate()
	}
	for _, session := range accepted {
		_ = session.Close()
	}
}

// Count returns the number of links that this node has dialled and holds.
func (l *Links) Count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.links)
}

// UnresponsiveCount returns the number of links closed so far because the peer sent no
// bytes in time.
func (l *Links) UnresponsiveCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.unresponsiveCount
}
