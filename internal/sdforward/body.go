package sdforward

import (
	"errors"
	"fmt"
	"io"

	"github.com/savorydeal/savorydeal/internal/sdbody"
	"github.com/savorydeal/savorydeal/internal/sdlink"
	"github.com/savorydeal/savorydeal/internal/sdpeerpb"
	"github.com/savorydeal/savorydeal/internal/sdwire"
)

// sendBody sends a request's body in messages and returns its length in bytes.
func sendBody(conn *sdwire.Conn, body io.Reader, expected int64) (int64, error) {
	return sdbody.CopyChunks(body, expected, func(chunk []byte, last bool) error {
		frame := &sdpeerpb.CallFrame{Frame: &sdpeerpb.CallFrame_Body{Body: chunk}}
		if err := conn.Write(frame); err != nil {
			return err
		}
		if last {
			return nil
		}
		return conn.Flush()
	})
}

// maxBufferedChunks limits the body chunks buffered for a call that is not
// reading its body yet. Reading ahead lets the node detect that the sender has
// closed the stream.
const maxBufferedChunks = 8

// errSenderClosed is the error of a body that its sender did not complete.
var errSenderClosed = errors.New("sender closed the stream before the end of the body")

// requestBody is the body of a call that arrives on a stream. A goroutine
// reads ahead, so that the end of the stream is detected even while nothing
// reads the body.
type requestBody struct {
	chunks chan []byte
	// done is closed by Close.
	done chan struct{}
	// streamEnded is closed when the stream has ended.
	streamEnded chan struct{}
	unread      []byte
	// err is the error after the last chunk, io.EOF for a complete body. It is
	// set before chunks is closed.
	err error
}

// newRequestBody starts to read the body of the stream's call. onEnd is called
// once, after the stream has ended.
func newRequestBody(stream *sdlink.Stream, onEnd func()) *requestBody {
	body := &requestBody{
		chunks:      make(chan []byte, maxBufferedChunks),
		done:        make(chan struct{}),
		streamEnded: make(chan struct{}),
	}
	go body.readAhead(stream, onEnd)
	return body
}

func (b *requestBody) readAhead(stream *sdlink.Stream, onEnd func()) {
	b.err = b.readChunks(stream)
	close(b.chunks)
	if errors.Is(b.err, io.EOF) {
		// The request is complete. This read waits until the sender closes the
		// stream, which it does when it has the answer or its caller cancels.
		var frame sdpeerpb.CallFrame
		_ = stream.Read(&frame)
	}
	close(b.streamEnded)
	onEnd()
}

func (b *requestBody) readChunks(stream *sdlink.Stream) error {
	for {
		var frame sdpeerpb.CallFrame
		if err := stream.Read(&frame); err != nil {
			return errSenderClosed
		}
		switch content := frame.GetFrame().(type) {
		case *sdpeerpb.CallFrame_Body:
			select {
			case b.chunks <- content.Body:
			case <-b.done:
				return errSenderClosed
			}
		case *sdpeerpb.CallFrame_BodyEnd:
			return io.EOF
		default:
			return fmt.Errorf("peer sent %T, expected a body chunk or the body end", content)
		}
	}
}

// Read reads the next bytes of the body.
func (b *requestBody) Read(p []byte) (int, error) {
	for len(b.unread) == 0 {
		chunk, ok := <-b.chunks
		if !ok {
			return 0, b.err
		}
		b.unread = chunk
	}
	n := copy(p, b.unread)
	b.unread = b.unread[n:]
	return n, nil
}

// Close discards the rest of the body. It must be called only once.
func (b *requestBody) Close() error {
	close(b.done)
	return nil
}
