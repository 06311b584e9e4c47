package sdsidecar

import (
	"context"
	"errors"
	"net/http"

	"github.com/savorydeal/savorydeal/internal/sdhttp"
	"github.com/savorydeal/savorydeal/internal/sdpeerheader"
)

func isTimeout(err error) bool {
	var timeout interface{ Timeout() bool }
	return errors.As(err, &timeout) && timeout.Timeout()
}

// failureReply returns the reply for a call whose connection to the target has failed.
// If the call could not be sent at all, the target is also marked as unreachable.
func (s *targetServer) failureReply(ctx context.Context, err error) sdpeerheader.Reply {
	var failure *sdhttp.RequestError
	if !errors.As(err, &failure) {
		return sdpeerheader.Reply{Outcome: sdpeerheader.OutcomeUnknown, Reason: reasonBroken}
	}
	if errors.Is(err, sdhttp.ErrNoConnection) {
		return sdpeerheader.Reply{Outcome: sdpeerheader.OutcomeNotRun, Reason: reasonTargetConns}
	}
	reply := sdpeerheader.Reply{Outcome: sdpeerheader.OutcomeUnknown, Reason: reasonBroken, ReachedTarget: failure.Sent}
	if !failure.Sent {
		reply.Outcome = sdpeerheader.OutcomeNotRun
		reply.Reason = reasonUnreachable
		if ctx.Err() == nil {
			s.node.postControl(func(c *controlState) {
				if c.tracker.ConnectionLost() {
					s.node.log.Warn("target unreachable", "error", err)
					s.node.publishTarget(c)
				}
			})
		}
	}
	switch {
	case ctx.Err() != nil:
		reply.Reason = reasonCanceled
	case failure.Sent && isTimeout(err):
		reply.Reason = reasonDeadline
	}
	return reply
}

// answerReply classifies the target's response. A response that reports the request as
// not executed, or that comes from another target, counts as not run. The outcome of a
// response with a content encoding, or of one with a status below 300 and without the
// target's signature, is unknown: such a response does not show whether the request has
// run.
func (s *targetServer) answerReply(response *sdhttp.Response) (*sdhttp.Response, sdpeerheader.Reply) {
	headers := s.node.headers
	if response.Header.Get(headers.NotRun) != "" || response.Status == http.StatusMisdirectedRequest {
		if response.Status == http.StatusMisdirectedRequest {
			identity := response.Header.Get(headers.Identity)
			s.node.postControl(func(c *controlState) {
				if c.tracker.IdentityMismatch(identity) {
					s.node.log.Warn("another target answers at the target address", "identity", identity)
					s.node.publishTarget(c)
				}
			})
		}
		closeRemainder(response)
		return nil, sdpeerheader.Reply{Outcome: sdpeerheader.OutcomeNotRun, Reason: reasonRefused, ReachedTarget: true}
	}
	signed := response.Header.Get(headers.Signature) != ""
	encoded := response.Header.Get("Content-Encoding") != ""
	if encoded || !signed && response.Status < http.StatusMultipleChoices {
		closeRemainder(response)
		return nil, sdpeerheader.Reply{Outcome: sdpeerheader.OutcomeUnknown, Reason: reasonUnsigned, ReachedTarget: true}
	}
	return response, sdpeerheader.Reply{Outcome: sdpeerheader.OutcomeRan, ReachedTarget: true}
}

func closeRemainder(response *sdhttp.Response) {
	if response.Remainder != nil {
		_ = response.Remainder.Close()
	}
}
