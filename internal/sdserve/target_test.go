package sdserve

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorydeal/savorydeal"
	"github.com/savorydeal/savorydeal/internal/sdchain"
	"github.com/savorydeal/savorydeal/internal/sdheader"
)

// rawTarget is a target on loopback that answers each request with its path. It returns
// the run token in its answers if tagged is set, and refuses all requests as not run if
// refusing is set. If repeating is set, it writes each answer once more in place of the
// next one on its connection.
type rawTarget struct {
	tagged, refusing, repeating bool

	// interim and fields, if set, are written before each answer and at the beginning of its
	// fields.
	interim, fields atomic.Value

	address  string
	conns    atomic.Int64
	requests atomic.Int64
}

func (r *rawTarget) start(t *testing.T) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	r.address = listener.Addr().String()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			r.conns.Add(1)
			go r.serve(conn)
		}
	}()
}

func (r *rawTarget) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	last := ""
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		r.requests.Add(1)
		tag := ""
		if r.tagged {
			tag = fmt.Sprintf("%s: %s\r\n", sdheader.Chain, request.Header.Get(sdheader.Chain))
		}
		status := "200 OK"
		if r.refusing {
			status = fmt.Sprintf("503 Service Unavailable\r\n%s: %s", sdheader.Outcome, savorydeal.OutcomeNotRun)
		}
		interim, _ := r.interim.Load().(string)
		fields, _ := r.fields.Load().(string)
		answer := fmt.Sprintf("%sHTTP/1.1 %s\r\n%sContent-Length: %d\r\n\r\n%s", interim, status, tag+fields, len(request.URL.Path), request.URL.Path)
		if r.repeating && last != "" {
			answer = last
		}
		last = answer
		if _, err := io.WriteString(conn, answer); err != nil || request.Close {
			return
		}
	}
}

// call sends one call and returns the body of its answer.
func (r *rawTarget) call(t *testing.T, client *targetClient, number int) (string, *savorydeal.Refusal) {
	t.Helper()
	call := savorydeal.Call{Service: "s", Method: http.MethodGet, Path: fmt.Sprintf("/%d", number)}
	token := sdchain.RunToken(fmt.Sprintf("token-%d", number))
	response, refusal := client.do(context.Background(), r.address, token, call, http.NoBody, time.Now().Add(time.Second))
	if refusal != nil {
		return "", refusal
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return string(body), nil
}

// Guards against a target that writes an answer once more, late, on a connection in use
// again: the next caller must not get it, nor hear that its call has not run.
func TestRepeatedAnswerIsNotTheAnswerToTheNextCall(t *testing.T) {
	for _, target := range []*rawTarget{
		{repeating: true}, {repeating: true, tagged: true}, {repeating: true, refusing: true}, {repeating: true, refusing: true, tagged: true},
	} {
		t.Run(fmt.Sprintf("tagged=%t,refusing=%t", target.tagged, target.refusing), func(t *testing.T) {
			is := is.New(t)
			target.start(t)
			client := newTargetClient()
			refused := 0
			for number := range 10 {
				body, refusal := target.call(t, client, number)
				if refusal != nil {
					is.Equal(refusal.Outcome, savorydeal.OutcomeUnknown)
					is.True(strings.Contains(refusal.Detail, sdheader.Chain))
					refused++
					continue
				}
				is.Equal(body, fmt.Sprintf("/%d", number))
			}
			is.Equal(target.requests.Load(), int64(10)) // none is sent twice
			is.Equal(refused > 0, target.tagged)        // the fault did fire
		})
	}
}

// A target that returns the run token gets its calls on connections that are kept; any
// other gets a new connection for each.
func TestConnectionIsKeptToTargetThatReturnsTheRunToken(t *testing.T) {
	for _, tagged := range []bool{false, true} {
		t.Run(fmt.Sprintf("tagged=%t", tagged), func(t *testing.T) {
			is := is.New(t)
			target := &rawTarget{tagged: tagged}
			target.start(t)
			client := newTargetClient()
			for number := range 10 {
				body, refusal := target.call(t, client, number)
				is.True(refusal == nil)
				is.Equal(body, fmt.Sprintf("/%d", number))
			}
			want := int64(10)
			if tagged {
				want = 2 // the first answer shows that the token is returned
			}
			is.Equal(target.conns.Load(), want)
		})
	}
}

// Guards against an answer that breaks off, within its head or its body, and looks
// complete: cut at each byte, by a close or a reset, it ends with an error.
func TestAnswerThatBreaksOffIsNeverComplete(t *testing.T) {
	for name, answer := range map[string]string{
		"length":  "HTTP/1.1 200 OK\r\nA: b\r\nContent-Length: 12\r\n\r\nhello, world",
		"chunked": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nA: b\r\n\r\n5\r\nhello\r\n7\r\n, world\r\n0\r\n\r\n",
	} {
		for _, reset := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s,reset=%t", name, reset), func(t *testing.T) {
				is := is.New(t)
				listener, err := net.Listen("tcp", "127.0.0.1:0")
				is.NoErr(err)
				t.Cleanup(func() { _ = listener.Close() })
				client := newTargetClient()
				for cut := range len(answer) + 1 {
					go func() {
						conn, err := listener.Accept()
						if err != nil {
							return
						}
						_, _ = http.ReadRequest(bufio.NewReader(conn))
						_, _ = io.WriteString(conn, answer[:cut])
						if reset && cut < len(answer) {
							_ = conn.(*net.TCPConn).SetLinger(0)
						}
						_ = conn.Close()
					}()
					call := savorydeal.Call{Service: "s", Method: http.MethodGet, Path: "/"}
					response, refusal := client.do(context.Background(), listener.Addr().String(), "token", call, http.NoBody, time.Now().Add(time.Second))
					if refusal != nil {
						is.Equal(refusal.Outcome, savorydeal.OutcomeUnknown)
						is.True(cut < len(answer))
						continue
					}
					is.True(!unframed(response))
					_, err := io.ReadAll(response.Body)
					_ = response.Body.Close()
					is.Equal(err == nil, cut == len(answer))
				}
			})
		}
	}
}

// Guards against bytes without end in place of the head of an answer: memory stays
// bounded, and the call fails before its deadline.
func TestEndlessHeadOfAnswerIsCutOff(t *testing.T) {
	const maxSent = 16 << 20 // the limit of a head and the buffers of the connection
	for name, text := range map[string][2]string{
		"no line end":     {"x", "x"},
		"status line":     {"HTTP/1.1 200 ", "x"},
		"one header":      {"HTTP/1.1 200 OK\r\nA: ", "x"},
		"headers":         {"HTTP/1.1 200 OK\r\n", "A: b\r\n"},
		"interim answers": {"", "HTTP/1.1 103 Early Hints\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			t.Cleanup(func() { _ = listener.Close() })
			sent := make(chan int, 1)
			go func() {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				defer func() { _ = conn.Close() }()
				_, _ = http.ReadRequest(bufio.NewReader(conn))
				_, err = io.WriteString(conn, text[0])
				total := 0
				for block := strings.Repeat(text[1], 1000); err == nil; {
					var n int
					n, err = io.WriteString(conn, block)
					total += n
				}
				sent <- total
			}()
			call := savorydeal.Call{Service: "s", Method: http.MethodGet, Path: "/"}
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			_, refusal := newTargetClient().do(ctx, listener.Addr().String(), "token", call, http.NoBody, time.Now().Add(5*time.Second))
			is.True(refusal != nil)
			is.Equal(refusal.Outcome, savorydeal.OutcomeUnknown)
			is.NoErr(ctx.Err())
			is.True(<-sent < maxSent)
		})
	}
}

// Guards against an answer with a status that is none, such as 000, that reaches the caller
// as an answer: the call may have run.
func TestAnswerWithInvalidStatusIsNoAnswer(t *testing.T) {
	for status, valid := range map[string]bool{"000": false, "099": false, "101": false, "600": false, "999": false, "200": true, "599": true} {
		t.Run(status, func(t *testing.T) {
			is := is.New(t)
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			t.Cleanup(func() { _ = listener.Close() })
			go func() {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				_, _ = http.ReadRequest(bufio.NewReader(conn))
				_, _ = io.WriteString(conn, "HTTP/1.1 "+status+" Text\r\nContent-Length: 2\r\n\r\nok")
			}()
			call := savorydeal.Call{Service: "s", Method: http.MethodGet, Path: "/"}
			response, refusal := newTargetClient().do(context.Background(), listener.Addr().String(), "token", call, http.NoBody, time.Now().Add(time.Second))
			is.Equal(refusal == nil, valid)
			if valid {
				_ = response.Body.Close()
				return
			}
			is.Equal(refusal.Outcome, savorydeal.OutcomeUnknown)
		})
	}
}

// Guards against an answer without a length that looks complete although its connection was
// reset while the request was being written.
func TestResetDuringUploadDoesNotEndTheAnswer(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	t.Cleanup(func() { _ = listener.Close() })
	for range 20 { // whether the reset is reported to the write or to the read varies
		go func() {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			_, _ = io.ReadFull(conn, make([]byte, 1000))
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\nhello")
			time.Sleep(2 * time.Millisecond) // the client reads what was sent
			_ = conn.(*net.TCPConn).SetLinger(0)
			_ = conn.Close()
		}()
		body := bytes.NewReader(make([]byte, 16<<20)) // more than the buffers of a connection hold
		call := savorydeal.Call{Service: "s", Method: http.MethodPost, Path: "/", ContentLength: body.Size()}
		response, refusal := newTargetClient().do(context.Background(), listener.Addr().String(), "token", call, io.NopCloser(body), time.Now().Add(time.Second))
		if refusal != nil {
			is.Equal(refusal.Outcome, savorydeal.OutcomeUnknown)
			continue
		}
		is.True(unframed(response)) // Server.Forward refuses it
		_ = response.Body.Close()
	}
}

// Guards against an answer with a malformed head that reaches the caller. The call may have run,
// and the target counts as failed, not as crashed.
func TestAnswerWithMalformedHeadIsNoAnswer(t *testing.T) {
	for name, line := range map[string]string{
		"none": "X: v\r\n", "blank in the name": "X Y: v\r\n", "blank after the name": "X : v\r\n", "blank before the name": " X: v\r\n",
		"tab before the name": "\tX: v\r\n", "control byte in the name": "X\x01Y: v\r\n", "line feed before the name": "\nX: v\r\n",
	} {
		for _, interim := range []string{"", "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n"} {
			t.Run(name+interim, func(t *testing.T) {
				is := is.New(t)
				target := &rawTarget{tagged: true}
				target.start(t)
				client := newTargetClient()
				for number := range 4 { // the last on a connection that is kept
					if number == 3 {
						target.interim.Store(interim)
						target.fields.Store("Content-Length: 2\r\nA: b\r\n" + line)
					}
					body, refusal := target.call(t, client, number)
					if number < 3 || name == "none" {
						is.True(refusal == nil)
						is.Equal(body, fmt.Sprintf("/%d", number))
						continue
					}
					if refusal == nil {
						t.Fatalf("%q was delivered with the body %q", line, body)
					}
					is.Equal(refusal.Outcome, savorydeal.OutcomeUnknown)
					is.Equal(refusal.Reason, savorydeal.ReasonTargetFailed)
				}
				is.Equal(target.conns.Load(), int64(2))
			})
		}
	}
}
