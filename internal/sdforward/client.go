// Package sdforward forwards calls to other nodes over links. The Client is a
// savorydeal.Forwarder to another node; the Server passes the calls that arrive
// to a savorydeal.Forwarder of this node. Bodies and answers are streamed with
// bounded memory. When a link is lost, the client fetches the answer over a new
// one from the node that ran the call; no call is sent twice.
package sdforward

import (
	"context"
	"errors"
	"fmt"
	"io"

	"github.com/savorydeal/savorydeal"
	"github.com/savorydeal/savorydeal/internal/sdbody"
	"github.com/savorydeal/savorydeal/internal/sdlink"
	"github.com/savorydeal/savorydeal/internal/sdpeerpb"
)

// maxFetches limits how often the answer to one call is fetched. If several links
// are lost one after the other, the node is most likely down.
const maxFetches = 3

// Client forwards calls to one node.
type Client struct {
	Links *sdlink.Links
	// Address is the peer address of the node.
	Address string
	// Kind is the kind of the streams that the client opens for calls.
	Kind sdlink.Kind
	// NewAttemptID returns a unique ID for a call without an attempt ID.
	NewAttemptID func() string
}

var _ savorydeal.Forwarder = (*Client)(nil)

// Forward sends the call and waits for the head of the answer. If no stream can be
// opened, the call has not run. Once one is open, the outcome is not_run only if
// the other node reports it, in a refusal of the call or of a fetch.
func (c *Client) Forward(ctx context.Context, call savorydeal.Call, body io.ReadCloser) (savorydeal.Answer, error) {
	if call.AttemptID == "" {
		call.AttemptID = c.NewAttemptID()
	}
	stream, err := c.Links.Open(ctx, c.Address, c.Kind)
	if err != nil {
		_ = body.Close()
		return savorydeal.Answer{}, &savorydeal.Refusal{
			Outcome: savorydeal.OutcomeNotRun,
			Reason:  savorydeal.ReasonLinkLost,
			Detail:  err.Error(),
		}
	}
	pending := &pendingCall{client: c, ctx: ctx, attemptID: call.AttemptID, exchange: newExchange(ctx, stream)}
	if isBuffered(call) {
		pending.exchange.sendRequest(call, body)
	} else {
		go pending.exchange.sendRequest(call, body)
	}
	answer, err := pending.readAnswer()
	if err != nil {
		pending.exchange.close()
		return savorydeal.Answer{}, refusalOf(ctx, err)
	}
	return answer, nil
}

// isBuffered reports whether the dispatcher has buffered the complete body. Then
// sending it neither waits for the caller nor blocks: it fits into the stream's
// window.
func isBuffered(call savorydeal.Call) bool {
	return call.ContentLength >= 0 && call.ContentLength <= sdbody.MaxReplayBytes
}

// refusalOf returns the other node's refusal, or one with an unknown outcome if
// the call failed for another reason.
func refusalOf(ctx context.Context, err error) *savorydeal.Refusal {
	var refusal *savorydeal.Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	reason := savorydeal.ReasonLinkLost
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		reason = savorydeal.ReasonDeadline
	case ctx.Err() != nil:
		reason = savorydeal.ReasonCanceled
	}
	return &savorydeal.Refusal{
		Outcome: savorydeal.OutcomeUnknown,
		Reason:  reason,
		Detail:  fmt.Sprintf("no answer from the other node: %v", err),
	}
}

// pendingCall is one call to the node: first the exchange that sends it and, after
// a lost link, the exchanges that fetch its answer. It is not safe for concurrent
// use.
type pendingCall struct {
	client    *Client
	ctx       context.Context
	attemptID string
	exchange  *exchange
	fetches   int
}

func (p *pendingCall) readAnswer() (savorydeal.Answer, error) {
	for {
		answer, err := p.exchange.readAnswer(p.attemptID)
		if err == nil {
			answer.Body = &answerBody{call: p, end: answer.End}
			return answer, nil
		}
		if !p.startFetch(err) {
			return savorydeal.Answer{}, err
		}
	}
}

// startFetch replaces the exchange by a fetch if its link was lost. It reports
// whether there is a new exchange to read the answer from.
func (p *pendingCall) startFetch(cause error) bool {
	var refusal *savorydeal.Refusal
	if errors.As(cause, &refusal) || p.ctx.Err() != nil || !p.exchange.stream.LinkLost() {
		return false
	}
	p.exchange.close()
	if p.fetches == maxFetches {
		return false
	}
	p.fetches++
	stream, err := p.client.Links.Open(p.ctx, p.client.Address, sdlink.KindFetch)
	if err != nil {
		return false
	}
	p.exchange = newExchange(p.ctx, stream)
	fetch := &sdpeerpb.CallFrame{Frame: &sdpeerpb.CallFrame_Fetch{Fetch: &sdpeerpb.Fetch{TryId: p.attemptID}}}
	// If the send fails, reading the answer reports it.
	_ = stream.Send(fetch)
	return true
}
