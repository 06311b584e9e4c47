// Package sdcarrier takes calls over a link: the client is a
// savorydeal.Carrier that reaches another node, the server hands what arrives
// to a savorydeal.Carrier of this node. Bodies and answers stream with bounded
// memory.
package sdcarrier

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"

	"github.com/savorydeal/savorydeal"
	"github.com/savorydeal/savorydeal/internal/sdlink"
	"github.com/savorydeal/savorydeal/internal/sdpeerpb"
	"github.com/savorydeal/savorydeal/internal/sdwire"
)

// Client carries calls to one node.
type Client struct {
	Links   *sdlink.Links
	Address string
	Kind    sdlink.Kind
}

var _ savorydeal.Carrier = (*Client)(nil)

// Carry sends the call and waits for the head of the answer. Until the first
// byte is handed to the link the call has not run; after that only the other
// node's refusal can say so.
func (c *Client) Carry(ctx context.Context, call savorydeal.Call, body io.ReadCloser) (savorydeal.Answer, error) {
	stream, err := c.Links.Open(ctx, c.Address, c.Kind)
	if err != nil {
		_ = body.Close()
		return savorydeal.Answer{}, &savorydeal.Refusal{
			Outcome: savorydeal.OutcomeNotRun,
			Reason:  savorydeal.ReasonLinkLost,
			Detail:  err.Error(),
		}
	}
	exchange := &exchange{stream: stream}
	exchange.stopWatch = context.AfterFunc(ctx, exchange.close)
	go exchange.sendRequest(call, body)
	answer, err := exchange.readAnswer()
	if err != nil {
		exchange.close()
		return savorydeal.Answer{}, refusalOf(ctx, err)
	}
	return answer, nil
}

// refusalOf tells the other node's refusal from a link that broke.
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
		Detail:  fmt.Sprintf("no answer over the link: %v", err),
	}
}

// exchange is one call on one stream.
type exchange struct {
	stream    *sdlink.Stream
	stopWatch func() bool
	closeOnce sync.Once
}

// close ends the stream. A peer still at work on the call takes it as the
// caller's cancellation.
func (e *exchange) close() {
	e.closeOnce.Do(func() { _ = e.stream.Abort() })
}

func (e *exchange) sendRequest(call savorydeal.Call, body io.ReadCloser) {
	defer body.Close()
	head := &sdpeerpb.CallFrame{Frame: &sdpeerpb.CallFrame_Call{Call: sdwire.EncodeCall(call)}}
	if err := e.stream.Write(head); err != nil {
		return
	}
	if err := sendBody(e.stream.Conn, body); err != nil {
		e.close()
		return
	}
	end := &sdpeerpb.CallFrame{Frame: &sdpeerpb.CallFrame_BodyEnd{BodyEnd: &sdpeerpb.BodyEnd{}}}
	_ = e.stream.Send(end)
}

// sendBody writes the body in parts. A first part that is slow to come must
// not hold back what was written before, hence the flush at each part.
func sendBody(conn *sdwire.Conn, body io.Reader) error {
	part := make([]byte, sdwire.BodyChunkBytes)
	for {
		n, err := body.Read(part)
		if n > 0 {
			frame := &sdpeerpb.CallFrame{Frame: &sdpeerpb.CallFrame_Body{Body: part[:n]}}
			if err := conn.Send(frame); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("read body: %w", err)
		}
	}
}

func (e *exchange) readAnswer() (savorydeal.Answer, error) {
	if err := e.stream.ReadOpen(); err != nil {
		return savorydeal.Answer{}, err
	}
	var frame sdpeerpb.CallFrame
	if err := e.stream.Read(&frame); err != nil {
		return savorydeal.Answer{}, err
	}
	switch kind := frame.GetFrame().(type) {
	case *sdpeerpb.CallFrame_Refusal:
		refusal := sdwire.DecodeRefusal(kind.Refusal)
		return savorydeal.Answer{}, &refusal
	case *sdpeerpb.CallFrame_Answer:
		answer := sdwire.DecodeAnswerHead(kind.Answer)
		answer.End = &savorydeal.AnswerEnd{}
		answer.Body = &answerBody{exchange: e, end: answer.End}
		return answer, nil
	default:
		return savorydeal.Answer{}, fmt.Errorf("peer sent a %T where an answer was due", kind)
	}
}

// answerBody reads the body of an answer from its stream. It ends with io.EOF
// only if the peer has said that the answer is complete and its length agrees.
type answerBody struct {
	exchange *exchange
	end      *savorydeal.AnswerEnd
	part     []byte
	read     int64
	err      error
}

// Read reads the next bytes of the answer.
func (b *answerBody) Read(p []byte) (int, error) {
	for len(b.part) == 0 && b.err == nil {
		b.err = b.next()
	}
	if len(b.part) > 0 {
		n := copy(p, b.part)
		b.part = b.part[n:]
		b.read += int64(n)
		return n, nil
	}
	return 0, b.err
}

func (b *answerBody) next() error {
	var frame sdpeerpb.CallFrame
	if err := b.exchange.stream.Read(&frame); err != nil {
		return fmt.Errorf("answer cut short: %w", io.ErrUnexpectedEOF)
	}
	switch kind := frame.GetFrame().(type) {
	case *sdpeerpb.CallFrame_Body:
		b.part = kind.Body
		return nil
	case *sdpeerpb.CallFrame_AnswerEnd:
		*b.end = sdwire.DecodeAnswerEnd(kind.AnswerEnd)
		if b.end.BodyBytes != b.read {
			return fmt.Errorf("answer of %d bytes where %d were announced: %w", b.read, b.end.BodyBytes, io.ErrUnexpectedEOF)
		}
		return io.EOF
	default:
		return fmt.Errorf("answer cut short by a %T: %w", kind, io.ErrUnexpectedEOF)
	}
}

// Close ends the exchange.
func (b *answerBody) Close() error {
	b.exchange.stopWatch()
	b.exchange.close()
	return nil
}
