package sdhttp

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"syscall"
	"time"
)

// upload is a large request that is written while its answer is read.
type upload struct {
	conn net.Conn
	// done is closed at the end of the write; err is its error.
	done chan struct{}
	err  error
}

// startUpload writes the head and the body of a request in the background.
func startUpload(conn net.Conn, head, body []byte) *upload {
	u := &upload{conn: conn, done: make(chan struct{})}
	go func() {
		defer close(u.done)
		if _, u.err = conn.Write(head); u.err == nil {
			_, u.err = conn.Write(body)
		}
	}()
	return u
}

// isComplete reports whether the request is completely sent.
func (u *upload) isComplete() bool {
	select {
	case <-u.done:
		return u.err == nil
	default:
		return false
	}
}

// connFailure ends the write and returns the error with which the connection has failed, nil
// if it has not. The kernel reports such an error once: if the write gets it, reads report an
// end of the stream, as if the server had closed the connection.
func (u *upload) connFailure() error {
	_ = u.conn.SetWriteDeadline(time.Unix(1, 0))
	<-u.done
	switch {
	case u.err == nil, errors.Is(u.err, os.ErrDeadlineExceeded):
		return nil
	case errors.Is(u.err, syscall.EPIPE):
		return nil // the reset followed an end of the stream
	}
	return u.err
}

// unframedBody is the body of an answer without a length, which ends with its connection.
type unframedBody struct {
	io.ReadCloser
	sending *upload
}

// Read reports an end of the stream only if the connection has not failed.
func (b *unframedBody) Read(data []byte) (int, error) {
	n, err := b.ReadCloser.Read(data)
	if errors.Is(err, io.EOF) {
		if failure := b.sending.connFailure(); failure != nil {
			return n, fmt.Errorf("the connection failed before the end of the answer: %w", failure)
		}
	}
	return n, err
}
