package sdhttp_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"

	"github.com/savorydeal/savorydeal/internal/sdhttp"
)

// unframedHead begins an answer that ends with its connection.
const unframedHead = "HTTP/1.1 200 OK\r\nId: a\r\n\r\n"

// upload sends a request whose body exceeds what the buffers of a connection hold to a server
// that begins to answer at once, and returns the body of the answer. end is called with the
// server's connection after the answer was written, and with a channel that is closed when the
// client has the answer.
func upload(t *testing.T, answer string, end func(*net.TCPConn, <-chan struct{})) (string, error) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	answered, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		_, _ = io.ReadFull(conn, make([]byte, 1000))
		_, _ = io.WriteString(conn, answer)
		end(conn.(*net.TCPConn), answered)
		_ = conn.Close()
	}()
	defer func() { <-ended }()
	defer close(answered)
	pool := &sdhttp.Pool{Address: listener.Addr().String(), DialTimeout: testTimeout, IdleTimeout: testTimeout}
	request := &sdhttp.Request{Method: http.MethodPost, Host: "h", Target: "/", Header: http.Header{}, Body: make([]byte, 16<<20)}
	response, err := pool.Do(context.Background(), request, time.Now().Add(testTimeout), false, hasID("a"))
	if err != nil {
		return "", err
	}
	if response.Remainder == nil {
		return string(response.Body), nil
	}
	defer response.Remainder.Close()
	rest, err := io.ReadAll(response.Remainder)
	return string(response.Body) + string(rest), err
}

// awaitEndOfStream waits until the other side has received the end of the stream.
func awaitEndOfStream(conn *net.TCPConn) {
	const finWait2 = 5 // state of the connection in the kernel
	raw, err := conn.SyscallConn()
	for state := uint8(0); err == nil && state != finWait2; time.Sleep(time.Millisecond) {
		err = raw.Control(func(fd uintptr) {
			if info, infoErr := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); infoErr == nil {
				state = info.State
			}
		})
	}
}

// Guards against an answer without a length that looks complete although its connection was
// reset: while the request is still being written, the kernel may report the reset to the
// write only, and an end of the stream to the read.
func TestResetDuringUploadDoesNotEndTheAnswer(t *testing.T) {
	const runs = 60 // which of the two gets the reset varies
	for _, size := range []int{0, 100, 2 << 20} {
		t.Run(fmt.Sprintf("%d bytes", size), func(t *testing.T) {
			delivered := 0
			for range runs {
				_, err := upload(t, unframedHead+strings.Repeat("x", size), func(conn *net.TCPConn, _ <-chan struct{}) {
					time.Sleep(2 * time.Millisecond) // the client reads what was sent
					_ = conn.SetLinger(0)
				})
				if err == nil {
					delivered++
					continue
				}
				var failure *sdhttp.RequestError
				if size <= 1<<20 && (!errors.As(err, &failure) || !failure.Sent || !failure.ResponseStarted || failure.Answer == nil) {
					t.Errorf("error %v, want that of an answer which was not received completely", err)
				}
			}
			if delivered > 0 {
				t.Errorf("%d of %d answers were taken for complete", delivered, runs)
			}
		})
	}
}

// Guards against the opposite: an answer without a length that ends in order, with the write
// side of its connection, is complete while the request is still being written. It is
// delivered at once, whether or not the server goes on reading.
func TestEndOfStreamDuringUploadEndsTheAnswer(t *testing.T) {
	for name, end := range map[string]func(*net.TCPConn, <-chan struct{}){
		"server reads on":      func(conn *net.TCPConn, _ <-chan struct{}) { _, _ = io.Copy(io.Discard, conn) },
		"server reads no more": func(_ *net.TCPConn, answered <-chan struct{}) { <-answered },
		// The request's bytes that the server has not read reset the connection.
		"server closes": func(conn *net.TCPConn, _ <-chan struct{}) { awaitEndOfStream(conn) },
	} {
		for _, size := range []int{0, 100, 2 << 20} {
			t.Run(fmt.Sprintf("%s,%d bytes", name, size), func(t *testing.T) {
				is := is.New(t)
				for range 10 {
					began := time.Now()
					body, err := upload(t, unframedHead+strings.Repeat("x", size), func(conn *net.TCPConn, answered <-chan struct{}) {
						_ = conn.CloseWrite()
						end(conn, answered)
					})
					is.NoErr(err)
					is.Equal(len(body), size)
					is.True(time.Since(began) < testTimeout/2)
				}
			})
		}
	}
}
