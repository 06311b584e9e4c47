// Package sdtarget serves the HTTP API by which the target on this VM
// announces itself to its node.
package sdtarget

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"time"

	"github.com/savorydeal/savorydeal"
	"github.com/savorydeal/savorydeal/internal/sdproblem"
	"github.com/savorydeal/savorydeal/internal/sdtargetapi"
)

// Announcer applies an announcement. It returns after new calls are admitted
// according to it, with the number of calls that are still running on the
// target.
type Announcer interface {
	Announce(ctx context.Context, announcement savorydeal.Announcement) (running int, err error)
}

// server implements the only operation of the API.
type server struct {
	announcer Announcer
	ttl       time.Duration
}

var _ sdtargetapi.Handler = (*server)(nil)

// maxRequestBytes bounds a request body. An announcement is far smaller.
const maxRequestBytes = 64 << 10

// NewHandler returns the handler of the announce address. ttl is how long an
// announcement is valid; the reply contains it.
func NewHandler(announcer Announcer, ttl time.Duration) (http.Handler, error) {
	api, err := sdtargetapi.NewServer(&server{announcer: announcer, ttl: ttl}, sdtargetapi.WithErrorHandler(sdproblem.WriteSchemaError))
	if err != nil {
		return nil, fmt.Errorf("create the server of announcements: %w", err)
	}
	return http.MaxBytesHandler(api, maxRequestBytes), nil
}

// AnnounceTarget applies an announcement. It refuses an address that is not
// loopback, because the target runs on the node's VM.
func (s *server) AnnounceTarget(ctx context.Context, req *sdtargetapi.Announcement) (*sdtargetapi.AnnouncementReply, error) {
	address, err := netip.ParseAddrPort(req.Address)
	if err != nil || !address.Addr().IsLoopback() {
		return nil, problem(http.StatusBadRequest, "field address must be a loopback IP address and port, such as 127.0.0.1:9000")
	}
	running, err := s.announcer.Announce(ctx, savorydeal.Announcement{
		Service:     req.Service,
		Address:     req.Address,
		Slots:       req.Slots,
		Connections: req.Connections,
		State:       savorydeal.TargetState(req.State),
		Running:     req.Load.Value.Running,
		Queued:      req.Load.Value.Queued,
	})
	if err != nil {
		return nil, problem(http.StatusServiceUnavailable, err.Error())
	}
	return &sdtargetapi.AnnouncementReply{ExpiresMs: s.ttl.Milliseconds(), CallsInFlight: running}, nil
}

// NewError maps an error of the generated server to a problem response.
func (s *server) NewError(_ context.Context, err error) *sdtargetapi.ProblemStatusCode {
	return problem(http.StatusInternalServerError, err.Error())
}

func problem(status int, detail string) *sdtargetapi.ProblemStatusCode {
	return &sdtargetapi.ProblemStatusCode{
		StatusCode: status,
		Response: sdtargetapi.Problem{
			Type:   "about:blank",
			Title:  http.StatusText(status),
			Status: status,
			Detail: sdtargetapi.NewOptString(detail),
		},
	}
}
