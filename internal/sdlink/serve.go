package sdlink

import (
	"context"
	"errors"
	"fmt"
	"net"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/hashicorp/yamux"

	"github.com/savorydeal/savorydeal"
	"github.com/savorydeal/savorydeal/internal/sdpeerpb"
	"github.com/savorydeal/savorydeal/internal/sdwire"
)

// openTimeout is the time limit for the first message of a stream, and for the peer
// to close a stream that has been served.
const openTimeout = 2 * time.Second

// acceptRetryDelay is the wait after a failed accept.
const acceptRetryDelay = 50 * time.Millisecond

// temporary reports whether an accept may succeed later: the process or the VM has no
// descriptor or memory left for it, or the peer has given up.
func temporary(err error) bool {
	for _, code := range []error{
		syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED, syscall.EINTR,
	} {
		if errors.Is(err, code) {
			return true
		}
	}
	return false
}

// Serve accepts links until the listener is closed.
func (l *Links) Serve(ctx context.Context, listener net.Listener) error {
	for {
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil && temporary(err) {
			l.log.Warn("link not accepted, retrying", "error", err)
			select {
			case <-l.clock.After(acceptRetryDelay):
				continue
			case <-ctx.Done():
				return nil
			}
		}
		if err != nil {
			return fmt.Errorf("accept link: %w", err)
		}
		go l.serveConn(ctx, conn)
	}
}

func (l *Links) serveConn(ctx context.Context, conn net.Conn) {
	session, err := yamux.Server(conn, sessionConfig())
	if err != nil {
		_ = conn.Close()
		l.log.Warn("link refused", "remote", conn.RemoteAddr().String(), "error", err)
		return
	}
	if !l.addAccepted(session) {
		return
	}
	defer l.removeAccepted(session)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	for {
		raw, err := session.AcceptStream()
		if err != nil {
			l.logSessionEnd(conn, err)
			return
		}
		go l.serveStream(ctx, session, raw)
	}
}

// addAccepted reports false, and closes the session, if the Links is closed.
func (l *Links) addAccepted(session *yamux.Session) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		_ = session.Close()
		return false
	}
	l.accepted[session] = struct{}{}
	return true
}

func (l *Links) removeAccepted(session *yamux.Session) {
	l.mu.Lock()
	delete(l.accepted, session)
	l.mu.Unlock()
	_ = session.Close()
}

// logSessionEnd logs the end of a session: a peer that speaks another protocol is a
// warning, everything else is a debug message.
func (l *Links) logSessionEnd(conn net.Conn, err error) {
	if errors.Is(err, yamux.ErrInvalidVersion) || errors.Is(err, yamux.ErrInvalidMsgType) {
		l.log.Warn("link refused: the peer does not speak the protocol between nodes; check that only nodes connect to the peer address",
			"remote", conn.RemoteAddr().String(), "error", err)
		return
	}
	l.log.Debug("link ended", "remote", conn.RemoteAddr().String(), "error", err)
}

func (l *Links) serveStream(ctx context.Context, session *yamux.Session, raw *yamux.Stream) {
	defer raw.Close()
	stream := &Stream{Conn: sdwire.NewConn(raw), raw: raw, session: session}
	kind, handler, err := l.readPeerOpen(stream)
	if err != nil {
		l.log.Warn("stream refused", "peer", string(stream.Peer.Node), "error", err)
		refusal := l.openMessage("")
		refusal.Error = err.Error()
		_ = stream.Send(refusal)
		return
	}
	if err := stream.Write(l.openMessage("")); err != nil {
		return
	}
	if l.callHandler(ctx, kind, handler, stream) {
		_ = stream.Flush()
	}
	_ = stream.SetReadDeadline(time.Now().Add(openTimeout))
}

// callHandler reports whether the handler has returned. After a panic that Recovered has
// reported, what the handler had not sent yet is dropped, since it may be incomplete.
func (l *Links) callHandler(ctx context.Context, kind Kind, handler Handler, stream *Stream) (returned bool) {
	if l.Recovered != nil {
		defer func() {
			if value := recover(); value != nil {
				l.Recovered(kind, stream.Peer.Node, value, debug.Stack())
			}
		}()
	}
	handler(ctx, stream)
	return true
}

// readPeerOpen reads the first message of a stream and returns its kind and the handler
// of that.
func (l *Links) readPeerOpen(stream *Stream) (Kind, Handler, error) {
	_ = stream.SetReadDeadline(time.Now().Add(openTimeout))
	var open sdpeerpb.StreamOpen
	if err := stream.Read(&open); err != nil {
		return "", nil, err
	}
	_ = stream.SetReadDeadline(time.Time{})
	stream.Peer = Identity{Node: savorydeal.NodeID(open.GetNode()), Generation: open.GetGeneration()}
	if open.GetOldestVersion() > sdwire.ProtocolVersion || open.GetVersion() < sdwire.OldestProtocolVersion {
		return "", nil, fmt.Errorf("field version: peer supports versions %d to %d, this node %d to %d; upgrade the older of the two",
			open.GetOldestVersion(), open.GetVersion(), sdwire.OldestProtocolVersion, sdwire.ProtocolVersion)
	}
	kind := Kind(open.GetKind())
	handler := l.handlers[kind]
	if handler == nil {
		return "", nil, fmt.Errorf("field kind: this node does not serve streams of kind %q", open.GetKind())
	}
	return kind, handler, nil
}
