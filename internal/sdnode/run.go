package sdnode

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/oklog/run"

	"github.com/savorydeal/savorydeal"
	"github.com/savorydeal/savorydeal/internal/sdannounce"
	"github.com/savorydeal/savorydeal/internal/sdentry"
	"github.com/savorydeal/savorydeal/internal/sdgossip"
	"github.com/savorydeal/savorydeal/internal/sdkeepalive"
	"github.com/savorydeal/savorydeal/internal/sdoperator"
	"github.com/savorydeal/savorydeal/internal/sdrecord"
	"github.com/savorydeal/savorydeal/internal/sdtarget"
	"github.com/savorydeal/savorydeal/internal/sdtls"
)

const (
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 60 * time.Second
	maxHeaderBytes    = 64 << 10
	// localReadTimeout bounds the time to read a request of the target or of an
	// operator, which has a small body. A call that runs longer is cancelled.
	localReadTimeout = 30 * time.Second
)

// listeners holds one listener for each address of the node.
type listeners struct {
	peer     net.Listener
	caller   net.Listener
	onward   net.Listener
	announce net.Listener
	admin    net.Listener
}

// close closes the listeners that the servers have not closed.
func (l listeners) close() {
	for _, listener := range []net.Listener{l.peer, l.caller, l.onward, l.announce, l.admin} {
		_ = listener.Close()
	}
}

func (n *Node) listen() (listeners, error) {
	var l listeners
	var opened []net.Listener
	for _, endpoint := range []struct {
		address  string
		listener *net.Listener
	}{
		{n.settings.PeerAddress, &l.peer},
		{n.settings.CallerAddress, &l.caller},
		{n.settings.OnwardAddress, &l.onward},
		{n.settings.AnnounceAddress, &l.announce},
		{n.settings.AdminAddress, &l.admin},
	} {
		listener, err := sdkeepalive.ListenTCP(endpoint.address)
		if err != nil {
			for _, openListener := range opened {
				_ = openListener.Close()
			}
			return listeners{}, fmt.Errorf("listen on %s: %w", endpoint.address, err)
		}
		*endpoint.listener = listener
		opened = append(opened, listener)
	}
	return l, nil
}

// Run serves until ctx ends. It then stops gracefully: it takes no new work and
// finishes the work in flight within the stop timeout. It returns ErrStopTimeout
// if that timeout passes first and work in flight is cut off.
func (n *Node) Run(ctx context.Context) error {
	l, err := n.listen()
	if err != nil {
		return err
	}
	defer func() { l.close() }()
	if err := n.secure(&l); err != nil {
		return err
	}
	platform, err := n.newPlatform()
	if err != nil {
		return err
	}
	n.setKeyPlatform(platform)
	servers, err := n.newServers(l, platform)
	if err != nil {
		return err
	}
	if ctx.Err() != nil {
		n.log.Info("stopped before serving")
		return nil
	}
	if n.cluster.socket, err = sdgossip.Listen(n.settings.PeerAddress, n.settings.TestLoss, n.keyring.Load()); err != nil {
		return err
	}
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()

	var group run.Group
	group.Add(func() error { return n.runControl(background) }, func(error) { cancel() })
	group.Add(func() error { return n.runWatch(background, platform, sdrecord.KindPolicy) }, func(error) { cancel() })
	group.Add(func() error { return n.runRenewals(background) }, func(error) { cancel() })
	group.Add(func() error { return n.runPoisonExpiry(background) }, func(error) { cancel() })
	group.Add(func() error { return n.runCrashFetch(background) }, func(error) { cancel() })
	group.Add(func() error { return n.runUnknownOutcomes(background, platform) }, func(error) { cancel() })
	group.Add(func() error { return n.runGossip(background) }, func(error) { cancel() })
	group.Add(func() error { return n.runJoin(background, platform) }, func(error) { cancel() })
	group.Add(func() error { return n.runMeetingPoints(background, platform) }, func(error) { cancel() })
	group.Add(func() error { return n.links.Serve(background, l.peer) }, func(error) { _ = l.peer.Close() })
	for _, server := range servers.local() {
		group.Add(server.serve, func(error) { server.close() })
	}
	serveCallers := func() error {
		n.waitFirstView(ctx)
		return servers.caller.serve()
	}
	group.Add(serveCallers, func(error) { servers.caller.close() })
	stopped := make(chan struct{})
	group.Add(func() error { return n.waitAndStop(ctx, servers, stopped) }, func(error) { close(stopped) })
	n.log.Info("node started", "peer_address", n.settings.PeerAddress, "caller_address", n.settings.CallerAddress,
		"data_centre", n.settings.DataCentre, "region", n.settings.Region, "version", n.version)
	err = group.Run()
	n.links.Close()
	n.log.Info("node stopped", "error", err)
	return err
}

// newServers builds the HTTP servers of all addresses.
func (n *Node) newServers(l listeners, platform savorydeal.Platform) (*httpServers, error) {
	operators, err := sdoperator.NewHandler(n, platform, n.clock)
	if err != nil {
		return nil, fmt.Errorf("create the handler of the admin API: %w", err)
	}
	announce, err := sdtarget.NewHandler(n, sdannounce.TTL)
	if err != nil {
		return nil, fmt.Errorf("create the handler of announcements: %w", err)
	}
	callers, local := n.stop.callers, n.stop.local
	limits := newConnectionLimits(openFileLimit(), n.settings.MaxConnections)
	servers := &httpServers{
		caller:   newHTTPServer(callers, l.caller, limits.caller, n.entry(sdentry.SideOuter)),
		onward:   newHTTPServer(local, l.onward, limits.onward, n.entry(sdentry.SideInner)),
		announce: newHTTPServer(local, l.announce, limits.announce, announce),
		admin:    newHTTPServer(local, l.admin, limits.admin, n.adminHandler(operators)),
	}
	servers.caller.listener.LimitHeads(n.heads)
	servers.onward.listener.LimitHeads(n.heads)
	servers.announce.server.ReadTimeout = localReadTimeout
	servers.admin.server.ReadTimeout = localReadTimeout
	n.registerConnectionMetrics(servers)
	return servers, nil
}

// httpServer is one HTTP server with its listener.
type httpServer struct {
	server   *http.Server
	listener *sdkeepalive.Listener
}

// httpServers holds one HTTP server for each address except the peer address.
type httpServers struct {
	caller   *httpServer
	onward   *httpServer
	announce *httpServer
	admin    *httpServer
}

// local returns the servers of this VM's target and of operators.
func (s *httpServers) local() []*httpServer {
	return []*httpServer{s.onward, s.announce, s.admin}
}

func newHTTPServer(set *sdkeepalive.ConnSet, listener net.Listener, limit int, handler http.Handler) *httpServer {
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnContext:       sdtls.ConnContext,
	}
	set.Attach(server)
	return &httpServer{server: server, listener: set.WrapListener(listener, limit)}
}

func (s *httpServer) serve() error {
	err := s.server.Serve(s.listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return fmt.Errorf("serve %s: %w", s.listener.Addr(), err)
}

func (s *httpServer) close() {
	s.listener.FinishServe()
	_ = s.server.Close()
}
