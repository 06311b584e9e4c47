// Package sdtarget serves the announcements of the target on this VM.
package sdtarget

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"github.com/savorydeal/savorydeal"
	"github.com/savorydeal/savorydeal/internal/sdproblem"
	"github.com/savorydeal/savorydeal/internal/sdtargetapi"
)

// Announcer puts an announcement in force. It returns once new calls are gated
// by it, with the calls still running on the target.
type Announcer interface {
	Announce(ctx context.Context, announcement savorydeal.Announcement) (running int, err error)
}

// server is the handler of the schema's one operation.
type server struct {
	announcer Announcer
	ttl       time.Duration
}

var _ sdtargetapi.Handler = (*server)(nil)

// NewHandler returns the handler of the announce address. ttl is how long an
// announcement holds.
func NewHandler(announcer Announcer, ttl time.Duration) (http.Handler, error) {
	return sdtargetapi.NewServer(&server{announcer: announcer, ttl: ttl}, sdtargetapi.WithErrorHandler(sdproblem.WriteSchemaError))
}

// AnnounceTarget takes one announcement.
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

// NewError maps an error to a problem.
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
