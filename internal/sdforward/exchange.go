package sdforward

import (
	"context"
	"fmt"
	"io"
	"sync"

	"github.com/savorydeal/savorydeal"
	"github.com/savorydeal/savorydeal/internal/sdinvariant"
	"github.com/savorydeal/savorydeal/internal/sdlink"
	"github.com/savorydeal/savorydeal/internal/sdpeerpb"
	"github.com/savorydeal/savorydeal/internal/sdwire"
)

// exchange is one call, or one fetch of its answer, on one stream.
type exchange struct {
	stream *sdlink.Stream
	// stopContextWatch prevents the end of the context from closing the stream.
	stopContextWatch func() bool
	closeOnce        sync.Once
}

func newExchange(ctx context.Context, stream *sdlink.Stream) *exchange {
	e := &exchange{stream: stream}
	e.stopContextWatch = context.AfterFunc(ctx, e.close)
	return e
}

// close ends the stream. A peer that is still running the call cancels it.
func (e *exchange) close() {
	e.closeOnce.Do(func() { _ = e.stream.Abort() })
}

func (e *exchange) sendRequest(call savorydeal.Call, body io.ReadCloser) {
	defer body.Close()
	head := &sdpeerpb.CallFrame{Frame: &sdpeerpb.CallFrame_Call{Call: sdwire.EncodeCall(call)}}
	if err := e.stream.Write(head); err != nil {
		return
	}
	if _, err := sendBody(e.stream.Conn, body, call.ContentLength); err != nil {
		if !e.stream.LinkLost() {
			e.close()
		}
		return
	}
	end := &sdpeerpb.CallFrame{Frame: &sdpeerpb.CallFrame_BodyEnd{BodyEnd: &sdpeerpb.BodyEnd{}}}
	_ = e.stream.Send(end)
}

// readAnswer reads the head of the answer to the attempt.
func (e *exchange) readAnswer(attemptID string) (savorydeal.Answer, error) {
	if err := e.stream.ReadOpen(); err != nil {
		return savorydeal.Answer{}, err
	}
	var frame sdpeerpb.CallFrame
	if err := e.stream.Read(&frame); err != nil {
		return savorydeal.Answer{}, err
	}
	switch content := frame.GetFrame().(type) {
	case *sdpeerpb.CallFrame_Refusal:
		refusal := sdwire.DecodeRefusal(content.Refusal)
		return savorydeal.Answer{}, &refusal
	case *sdpeerpb.CallFrame_Answer:
		answeredID := content.Answer.GetTryId()
		sdinvariant.AnswerToOwnRequest.Check(answeredID == attemptID, func() string { return "sent attempt " + attemptID + ", received the answer to " + answeredID })
		if answeredID != attemptID {
			return savorydeal.Answer{}, fmt.Errorf("peer answered attempt %q, expected the answer to attempt %q", answeredID, attemptID)
		}
		answer := sdwire.DecodeAnswerHead(content.Answer)
		answer.End = &savorydeal.AnswerEnd{}
		return answer, nil
	default:
		return savorydeal.Answer{}, fmt.Errorf("peer sent %T, expected an answer head or a refusal", content)
	}
}

// answerBody reads the body of an answer. It ends with io.EOF only if the peer
// has sent the answer end and the length in it matches.
type answerBody struct {
	call   *pendingCall
	end    *savorydeal.AnswerEnd
	unread []byte
	// delivered counts the bytes that Read has returned.
	delivered int64
	// skip is the number of bytes of a fetched answer still to be skipped,
	// because Read returned them before the link was lost.
	skip int64
	err  error
}

// Read reads the next bytes of the answer.
func (b *answerBody) Read(p []byte) (int, error) {
	for len(b.unread) == 0 && b.err == nil {
		b.err = b.readNext()
	}
	if len(b.unread) > 0 {
		n := copy(p, b.unread)
		b.unread = b.unread[n:]
		b.delivered += int64(n)
		return n, nil
	}
	return 0, b.err
}

func (b *answerBody) readNext() error {
	var frame sdpeerpb.CallFrame
	if err := b.call.exchange.stream.Read(&frame); err != nil {
		return b.resume(err)
	}
	switch content := frame.GetFrame().(type) {
	case *sdpeerpb.CallFrame_Body:
		b.acceptChunk(content.Body)
		return nil
	case *sdpeerpb.CallFrame_AnswerEnd:
		*b.end = sdwire.DecodeAnswerEnd(content.AnswerEnd)
		if b.end.BodyBytes != b.delivered {
			return fmt.Errorf("answer has %d bytes, its end announces %d: %w", b.delivered, b.end.BodyBytes, io.ErrUnexpectedEOF)
		}
		return io.EOF
	default:
		return fmt.Errorf("answer truncated: peer sent %T: %w", content, io.ErrUnexpectedEOF)
	}
}

// acceptChunk makes a chunk available to Read, without the bytes to be skipped.
func (b *answerBody) acceptChunk(chunk []byte) {
	skipped := min(b.skip, int64(len(chunk)))
	b.skip -= skipped
	b.unread = chunk[skipped:]
}

// resume fetches the answer again after a lost link and continues after the last
// byte that Read has returned.
func (b *answerBody) resume(cause error) error {
	if !b.call.startFetch(cause) {
		return fmt.Errorf("answer truncated: %w", io.ErrUnexpectedEOF)
	}
	if _, err := b.call.exchange.readAnswer(b.call.attemptID); err != nil {
		return fmt.Errorf("fetch the rest of the answer after the link was lost: %w", io.ErrUnexpectedEOF)
	}
	b.skip = b.delivered
	return nil
}

// Close ends the exchange.
func (b *answerBody) Close() error {
	b.call.exchange.stopContextWatch()
	b.call.exchange.close()
	return nil
}
