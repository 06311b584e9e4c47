package sdsidecar

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/savorydeal/savorydeal/internal/sdhttp"
)

// Limits at the addresses for readiness checks, announcements and metrics. A client can reach
// them; their requests are small, apart from the membership views that nodes exchange at the
// address for announcements.
const (
	localHeaderBytes   = 16 << 10
	localBodyBytes     = 64 << 10
	localHeaderTimeout = 3 * time.Second
	// maxViewBytes is the size of a membership view of several thousand nodes.
	maxViewBytes = 1 << 20
	// localMemoryShare is the share of the memory limit that bodies at these addresses may
	// take together, beyond the first 64 KiB of each, and also that of heads and the first
	// 64 KiB of bodies. It is apart from the memory for calls, so that clients there cannot
	// take it.
	localMemoryShare = 1.0 / 32
)

func localLimits() sdhttp.Limits {
	return sdhttp.Limits{MaxHeaderBytes: localHeaderBytes, MaxBodyBytes: localBodyBytes, HeaderTimeout: localHeaderTimeout, IdleTimeout: peerIdleTimeout}
}

func announceLimits() sdhttp.Limits {
	limits := localLimits()
	limits.MaxBodyBytes = maxViewBytes
	return limits
}

// localServer is a server at one of these addresses.
type localServer struct {
	listener net.Listener
	server   *sdhttp.Server
}

func (n *Node) newLocalServers(l listeners) []localServer {
	share := int64(localMemoryShare * float64(n.settings.MemoryBytes))
	memory := sdhttp.NewBoundedMemory(share, share)
	server := func(address string, maxConns int, handler sdhttp.Handler, limits func() sdhttp.Limits) *sdhttp.Server {
		return &sdhttp.Server{
			Handler: handler, Limits: limits, Recovered: n.recovered(), Memory: memory, Busy: refuseLocal,
			MaxConns: maxConns, Limited: n.connsLimited(address),
		}
	}
	conns := newConnLimits(n.settings.MaxDescriptors, n.settings.MemoryBytes)
	return []localServer{
		{l.ready, server("ready", conns.ready, n.handleReadiness, localLimits)},
		{l.announce, server("announce", conns.announce, n.handleAnnounce, announceLimits)},
		{l.metrics, server("metrics", conns.metrics, n.handleMetrics, localLimits)},
	}
}

// refuseLocal answers a request for whose body there is no memory left.
func refuseLocal(context.Context, *sdhttp.Request) *sdhttp.Response {
	return &sdhttp.Response{Status: http.StatusServiceUnavailable}
}
