package sdforward

import (
	"context"
	"errors"
	"io"

	"github.com/hashicorp/go-hclog"

	"github.com/savorydeal/savorydeal"
	"github.com/savorydeal/savorydeal/internal/sdbody"
	"github.com/savorydeal/savorydeal/internal/sdlink"
	"github.com/savorydeal/savorydeal/internal/sdmemory"
	"github.com/savorydeal/savorydeal/internal/sdpeerpb"
	"github.com/savorydeal/savorydeal/internal/sdwire"
)

// Server passes the calls that arrive on streams to a forwarder of this node.
type Server struct {
	Forwarder savorydeal.Forwarder
	Clock     savorydeal.Clock
	// Attempts may be shared by several servers of one node.
	Attempts *Attempts
	// Memory bounds what large heads and bodies of calls take; nil sets no bound.
	Memory *sdmemory.Budget
	Log    hclog.Logger
}

// Serve is the sdlink.Handler of calls. After it has sent the answer it
// waits until the sender closes the stream, its link is lost or orphanTimeout has
// passed.
func (s *Server) Serve(ctx context.Context, stream *sdlink.Stream) {
	var frame sdpeerpb.CallFrame
	if err := stream.Read(&frame); err != nil {
		s.Log.Debug("stream ended before the call head arrived", "peer", string(stream.Peer.Node), "error", err)
		return
	}
	head := frame.GetCall()
	if head == nil || head.GetTryId() == "" {
		s.Log.Warn("stream refused: expected a call head with a try_id", "peer", string(stream.Peer.Node))
		return
	}
	call := sdwire.DecodeCall(head)
	started, ok := s.Attempts.begin(call.AttemptID)
	if !ok {
		// The sender has already received the reply that this attempt has not
		// run, or the attempt has arrived before.
		_ = stream.Send(refusalFrame(&savorydeal.Refusal{
			Outcome: savorydeal.OutcomeUnknown,
			Reason:  savorydeal.ReasonLinkLost,
			Detail:  "the call arrived after a fetch of its answer, or arrived twice",
		}))
		return
	}
	// A lost link must not cancel the call, since its sender may fetch the
	// answer over a new link. The call is cancelled only when the sender closes
	// the stream or, after a lost link, if no fetch arrives within orphanTimeout.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), call.Timeout)
	defer cancel()
	incoming := &incomingCall{server: s, call: call, attempt: started, stream: stream, cancel: cancel, cost: costOf(call)}
	defer func() { s.Memory.Return(incoming.cost) }()
	incoming.serve(ctx)
}

// incomingCall is one call that this node runs for another node.
type incomingCall struct {
	server  *Server
	call    savorydeal.Call
	attempt *attempt
	stream  *sdlink.Stream
	cancel  context.CancelFunc
	// streamFailed is true once a write to the stream has failed. The rest of
	// the answer is then only recorded for a fetch.
	streamFailed bool
	// cost is what the call has taken from the server's budget.
	cost int64
}

func (c *incomingCall) serve(ctx context.Context) {
	body := newRequestBody(c.stream, c.onStreamEnd)
	answer, err := c.forward(ctx, body)
	if err != nil {
		c.send(refusalFrame(err))
		c.flush()
	} else {
		c.sendAnswer(answer)
	}
	c.attempt.finish()
	c.retainAnswer(body)
}

// forward passes the call on, unless there is no room for it beside other calls.
func (c *incomingCall) forward(ctx context.Context, body io.ReadCloser) (savorydeal.Answer, error) {
	if !c.server.Memory.Take(c.cost) {
		c.cost = 0
		_ = body.Close()
		return savorydeal.Answer{}, &savorydeal.Refusal{
			Outcome: savorydeal.OutcomeNotRun,
			Reason:  savorydeal.ReasonOverloaded,
			Detail:  "the node holds too many calls with large heads or bodies",
		}
	}
	return c.server.Forwarder.Forward(ctx, c.call, body)
}

// costOf returns the memory that a call takes beyond that of an ordinary one. A body
// that the sender has not buffered fills the stream's window and the chunks read ahead.
func costOf(call savorydeal.Call) int64 {
	text := len(call.Path)
	for _, field := range call.Headers {
		text += len(field.Name) + len(field.Value)
	}
	cost := sdmemory.HeadCost(text, len(call.Headers))
	if !isBuffered(call) {
		cost += sdlink.StreamWindowBytes + maxBufferedChunks*sdbody.ChunkBytes
	}
	return cost
}

// onStreamEnd is called once the stream has ended. If its link is still up, the
// sender has closed the stream, because it has the answer or its caller cancelled.
func (c *incomingCall) onStreamEnd() {
	if !c.stream.LinkLost() {
		c.cancel()
		return
	}
	c.server.Clock.AfterFunc(orphanTimeout, func() {
		if !c.attempt.hasFetch() {
			c.cancel()
		}
	})
}

// retainAnswer keeps the answer for a fetch until the sender has closed the stream.
// If the link is lost, or the sender does not close the stream within
// orphanTimeout, the answer is kept for another orphanTimeout.
func (c *incomingCall) retainAnswer(body *requestBody) {
	id := c.call.AttemptID
	select {
	case <-body.streamEnded:
		if !c.stream.LinkLost() {
			c.server.Attempts.remove(id)
			return
		}
	case <-c.server.Clock.After(orphanTimeout):
	}
	c.server.Clock.AfterFunc(orphanTimeout, func() { c.server.Attempts.remove(id) })
}

// send records a message of the answer and, unless the stream has failed, writes
// it to the stream.
func (c *incomingCall) send(frame *sdpeerpb.CallFrame) {
	c.attempt.record(frame)
	if c.streamFailed {
		return
	}
	if err := c.stream.Write(frame); err != nil {
		c.streamFailed = true
	}
}

func (c *incomingCall) flush() {
	if c.streamFailed {
		return
	}
	if err := c.stream.Flush(); err != nil {
		c.streamFailed = true
	}
}

func (c *incomingCall) sendAnswer(answer savorydeal.Answer) {
	defer answer.Body.Close()
	head := sdwire.EncodeAnswerHead(answer)
	head.TryId = c.call.AttemptID
	c.send(&sdpeerpb.CallFrame{Frame: &sdpeerpb.CallFrame_Answer{Answer: head}})
	length, err := sdbody.CopyChunks(answer.Body, answer.ContentLength, c.sendChunk)
	if err != nil {
		// No answer end follows, so the sender, or a fetch, treats the answer as
		// truncated.
		c.server.Log.Debug("answer not delivered", "try_id", c.call.AttemptID, "error", err)
		return
	}
	end := *answer.End
	end.BodyBytes = length
	c.send(&sdpeerpb.CallFrame{Frame: &sdpeerpb.CallFrame_AnswerEnd{AnswerEnd: sdwire.EncodeAnswerEnd(end)}})
	c.flush()
}

// errNoReceiver ends the copying of an answer that nobody can receive any more.
var errNoReceiver = errors.New("the stream has failed and the answer is too large to be kept for a fetch")

func (c *incomingCall) sendChunk(chunk []byte, last bool) error {
	c.send(&sdpeerpb.CallFrame{Frame: &sdpeerpb.CallFrame_Body{Body: chunk}})
	if !last {
		c.flush()
	}
	if c.streamFailed && c.attempt.tooLarge {
		return errNoReceiver
	}
	return nil
}

func refusalFrame(err error) *sdpeerpb.CallFrame {
	var refusal *savorydeal.Refusal
	if !errors.As(err, &refusal) {
		refusal = &savorydeal.Refusal{
			Outcome: savorydeal.OutcomeUnknown,
			Reason:  savorydeal.ReasonTargetFailed,
			Detail:  err.Error(),
		}
	}
	return &sdpeerpb.CallFrame{Frame: &sdpeerpb.CallFrame_Refusal{Refusal: sdwire.EncodeRefusal(*refusal)}}
}

// ServeFetch is the sdlink.Handler of fetches. It waits until the attempt has ended
// and sends its recorded answer.
func (s *Server) ServeFetch(ctx context.Context, stream *sdlink.Stream) {
	var frame sdpeerpb.CallFrame
	if err := stream.Read(&frame); err != nil || frame.GetFetch() == nil {
		return
	}
	fetched, ok := s.Attempts.find(frame.GetFetch().GetTryId())
	if !ok {
		_ = stream.Send(refusalFrame(&savorydeal.Refusal{
			Outcome: savorydeal.OutcomeNotRun,
			Reason:  savorydeal.ReasonLinkLost,
			Detail:  "the call did not arrive before its link was lost",
		}))
		return
	}
	defer fetched.addFetches(-1)
	select {
	case <-fetched.done:
	case <-ctx.Done():
		return
	}
	if fetched.tooLarge {
		_ = stream.Send(refusalFrame(&savorydeal.Refusal{
			Outcome: savorydeal.OutcomeUnknown,
			Reason:  savorydeal.ReasonLinkLost,
			Detail:  "the call has run, but its answer was too large to be kept after its link was lost",
		}))
		return
	}
	for _, recorded := range fetched.frames {
		if err := stream.Write(recorded); err != nil {
			return
		}
	}
}
