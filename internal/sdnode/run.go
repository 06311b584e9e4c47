package sdnode

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/oklog/run"

	"github.com/savorydeal/savorydeal/internal/sdannounce"
	"github.com/savorydeal/savorydeal/internal/sdentry"
	"github.com/savorydeal/savorydeal/internal/sdoperator"
	"github.com/savorydeal/savorydeal/internal/sdplatform"
	"github.com/savorydeal/savorydeal/internal/sdrecord"
	"github.com/savorydeal/savorydeal/internal/sdtarget"
)

const (
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 60 * time.Second
	maxHeaderBytes    = 64 << 10
	drainPoll         = 10 * time.Millisecond
)

// listeners are the node's addresses.
type listeners struct {
	peer     net.Listener
	caller   net.Listener
	onward   net.Listener
	announce net.Listener
	admin    net.Listener
}

func (n *Node) listen() (listeners, error) {
	var l listeners
	var opened []net.Listener
	for _, address := range []struct {
		text string
		to   *net.Listener
	}{
		{n.settings.PeerAddress, &l.peer},
		{n.settings.CallerAddress, &l.caller},
		{n.settings.OnwardAddress, &l.onward},
		{n.settings.AnnounceAddress, &l.announce},
		{n.settings.AdminAddress, &l.admin},
	} {
		listener, err := net.Listen("tcp", address.text)
		if err != nil {
			for _, earlier := range opened {
				_ = earlier.Close()
			}
			return listeners{}, fmt.Errorf("listen on %s: %w", address.text, err)
		}
		*address.to = listener
		opened = append(opened, listener)
	}
	return l, nil
}

// Run serves until ctx ends, then stops gracefully: no new work, all work in
// flight finished, bounded by the stop timeout.
func (n *Node) Run(ctx context.Context) error {
	l, err := n.listen()
	if err != nil {
		return err
	}
	platform, err := sdplatform.New(n.settings.PlatformURL)
	if err != nil {
		return err
	}
	n.setKeyPlatform(platform)
	operators, err := sdoperator.NewHandler(n, platform, n.clock)
	if err != nil {
		return fmt.Errorf("operators' handler: %w", err)
	}
	announce, err := sdtarget.NewHandler(n, sdannounce.TTL)
	if err != nil {
		return fmt.Errorf("announce handler: %w", err)
	}
	servers := &httpServers{
		caller:   newHTTPServer(n.entry(sdentry.SideOuter)),
		onward:   newHTTPServer(n.entry(sdentry.SideInner)),
		announce: newHTTPServer(announce),
		admin:    newHTTPServer(n.adminHandler(operators)),
	}
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()

	var group run.Group
	group.Add(func() error { return n.runControl(background) }, func(error) { cancel() })
	group.Add(func() error { return n.runWatch(background, platform, sdrecord.KindPolicy) }, func(error) { cancel() })
	group.Add(func() error { return n.runRenewals(background) }, func(error) { cancel() })
	group.Add(func() error { return n.runPoisonExpiry(background) }, func(error) { cancel() })
	group.Add(func() error { return n.runUnknown(background, platform) }, func(error) { cancel() })
	group.Add(func() error { return n.links.Serve(background, l.peer) }, func(error) { _ = l.peer.Close() })
	addServer(&group, servers.caller, l.caller)
	addServer(&group, servers.onward, l.onward)
	addServer(&group, servers.announce, l.announce)
	addServer(&group, servers.admin, l.admin)
	stopped := make(chan struct{})
	group.Add(func() error { return n.waitAndStop(ctx, servers, stopped) }, func(error) { close(stopped) })
	n.log.Info("node started", "peer_address", n.settings.PeerAddress, "caller_address", n.settings.CallerAddress,
		"data_centre", n.settings.DataCentre, "region", n.settings.Region, "version", n.version)
	err = group.Run()
	n.links.Close()
	n.log.Info("node stopped", "error", err)
	return err
}

// httpServers are the node's HTTP servers.
type httpServers struct {
	caller   *http.Server
	onward   *http.Server
	announce *http.Server
	admin    *http.Server
}

func newHTTPServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

func addServer(group *run.Group, server *http.Server, listener net.Listener) {
	group.Add(func() error {
		err := server.Serve(listener)
		if errors.Is(err, http.ErrServerClosed) {
			return nil
		}
		return fmt.Errorf("serve %s: %w", listener.Addr(), err)
	}, func(error) { _ = server.Close() })
}

// waitAndStop waits for the end of ctx and drains the node.
func (n *Node) waitAndStop(ctx context.Context, servers *httpServers, stopped <-chan struct{}) error {
	select {
	case <-ctx.Done():
	case <-stopped:
		return nil
	}
	n.log.Info("stopping", "timeout", n.settings.StopTimeout)
	drain, cancel := context.WithTimeout(context.WithoutCancel(ctx), n.settings.StopTimeout)
	defer cancel()
	n.beginStop(drain)
	if err := servers.caller.Shutdown(drain); err != nil {
		return fmt.Errorf("finish callers' requests: %w", err)
	}
	if err := n.drainTarget(drain); err != nil {
		return err
	}
	if err := n.HandKeysOver(drain); err != nil {
		n.log.Warn("keys not handed over; their resends are answered unknown", "error", err)
	}
	if err := servers.onward.Shutdown(drain); err != nil {
		return fmt.Errorf("finish onward calls: %w", err)
	}
	return nil
}

func (n *Node) drainTarget(ctx context.Context) error {
	for n.admitter.Pending() > 0 {
		select {
		case <-n.clock.After(drainPoll):
		case <-ctx.Done():
			return fmt.Errorf("finish calls on the target: %d left: %w", n.admitter.Pending(), ctx.Err())
		}
	}
	return nil
}
