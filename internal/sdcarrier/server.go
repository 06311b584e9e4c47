package sdcarrier

import (
	"context"
	"errors"
	"fmt"
	"io"

	"github.com/hashicorp/go-hclog"

	"github.com/savorydeal/savorydeal"
	"github.com/savorydeal/savorydeal/internal/sdlink"
	"github.com/savorydeal/savorydeal/internal/sdpeerpb"
	"github.com/savorydeal/savorydeal/internal/sdwire"
)

// bufferedParts bounds the body parts held for a call that is not reading its
// body yet. Reading ahead lets the node notice a caller that has gone.
const bufferedParts = 8

// errCallerGone is the error of a body whose caller has closed the stream.
var errCallerGone = errors.New("caller has gone")

// Server hands calls that arrive on streams to a carrier.
type Server struct {
	Carrier savorydeal.Carrier
	Log     hclog.Logger
}

// Serve is the sdlink.Handler of calls.
func (s *Server) Serve(ctx context.Context, stream *sdlink.Stream) {
	var frame sdpeerpb.CallFrame
	if err := stream.Read(&frame); err != nil {
		s.Log.Debug("call ended before its head", "peer", string(stream.Peer.Node), "error", err)
		return
	}
	head := frame.GetCall()
	if head == nil {
		s.Log.Warn("stream refused: no call head", "peer", string(stream.Peer.Node))
		return
	}
	call := sdwire.DecodeCall(head)
	ctx, cancel := context.WithTimeout(ctx, call.Timeout)
	defer cancel()
	body := newRequestBody(stream, cancel)
	answer, err := s.Carrier.Carry(ctx, call, body)
	if err != nil {
		sendRefusal(stream, err)
		return
	}
	if err := sendAnswer(stream, answer); err != nil {
		// Without an end frame the peer takes the answer as cut short.
		s.Log.Debug("answer not delivered", "try_id", call.TryID, "error", err)
	}
}

func sendRefusal(stream *sdlink.Stream, err error) {
	var refusal *savorydeal.Refusal
	if !errors.As(err, &refusal) {
		refusal = &savorydeal.Refusal{
			Outcome: savorydeal.OutcomeUnknown,
			Reason:  savorydeal.ReasonTargetFailed,
			Detail:  err.Error(),
		}
	}
	frame := &sdpeerpb.CallFrame{Frame: &sdpeerpb.CallFrame_Refusal{Refusal: sdwire.EncodeRefusal(*refusal)}}
	_ = stream.Send(frame)
}

func sendAnswer(stream *sdlink.Stream, answer savorydeal.Answer) error {
	defer answer.Body.Close()
	head := &sdpeerpb.CallFrame{Frame: &sdpeerpb.CallFrame_Answer{Answer: sdwire.EncodeAnswerHead(answer)}}
	if err := stream.Write(head); err != nil {
		return err
	}
	counted := &countingReader{r: answer.Body}
	if err := sendBody(stream.Conn, counted); err != nil {
		return err
	}
	end := *answer.End
	end.BodyBytes = counted.n
	last := &sdpeerpb.CallFrame{Frame: &sdpeerpb.CallFrame_AnswerEnd{AnswerEnd: sdwire.EncodeAnswerEnd(end)}}
	return stream.Send(last)
}

type countingReader struct {
	r io.Reader
	n int64
}

func (c *countingReader) Read(p []byte) (int, error) {
	n, err := c.r.Read(p)
	c.n += int64(n)
	return n, err
}

// requestBody is the body of a call that arrives on a stream. A goroutine
// reads ahead, so that the end of the stream cancels the call also while
// nobody reads the body.
type requestBody struct {
	parts chan []byte
	done  chan struct{}
	part  []byte
	// end is set before parts is closed.
	end error
}

func newRequestBody(stream *sdlink.Stream, cancel context.CancelFunc) *requestBody {
	body := &requestBody{parts: make(chan []byte, bufferedParts), done: make(chan struct{})}
	go body.readAhead(stream, cancel)
	return body
}

func (b *requestBody) readAhead(stream *sdlink.Stream, cancel context.CancelFunc) {
	b.end = b.pump(stream)
	close(b.parts)
	if errors.Is(b.end, io.EOF) {
		// The request is complete. The peer sends nothing more until it
		// closes the stream, after the answer or because its caller left.
		var frame sdpeerpb.CallFrame
		_ = stream.Read(&frame)
	}
	cancel()
}

func (b *requestBody) pump(stream *sdlink.Stream) error {
	for {
		var frame sdpeerpb.CallFrame
		if err := stream.Read(&frame); err != nil {
			return errCallerGone
		}
		switch kind := frame.GetFrame().(type) {
		case *sdpeerpb.CallFrame_Body:
			select {
			case b.parts <- kind.Body:
			case <-b.done:
				return errCallerGone
			}
		case *sdpeerpb.CallFrame_BodyEnd:
			return io.EOF
		default:
			return fmt.Errorf("peer sent a %T within a body", kind)
		}
	}
}

// Read reads the next bytes of the body.
func (b *requestBody) Read(p []byte) (int, error) {
	for len(b.part) == 0 {
		part, ok := <-b.parts
		if !ok {
			return 0, b.end
		}
		b.part = part
	}
	n := copy(p, b.part)
	b.part = b.part[n:]
	return n, nil
}

// Close gives up the rest of the body. It is called once.
func (b *requestBody) Close() error {
	close(b.done)
	return nil
}
