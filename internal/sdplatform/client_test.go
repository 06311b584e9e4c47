package sdplatform_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorydeal/savorydeal/internal/sdplatform"
)

// serveRaw starts a store on loopback that serves each connection with the function. It
// returns its URL.
func serveRaw(t *testing.T, serve func(net.Conn, *bufio.Reader)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				serve(conn, bufio.NewReader(conn))
			}()
		}
	}()
	return "http://" + listener.Addr().String()
}

// Guards against a store that writes an answer once more, late: it must not become the
// answer to the next call.
func TestRepeatedAnswerOfStoreIsNotTheAnswerToTheNextCall(t *testing.T) {
	is := is.New(t)
	url := serveRaw(t, func(conn net.Conn, reader *bufio.Reader) {
		last := ""
		for {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			answer := last
			if answer == "" {
				object := fmt.Sprintf(`{"kind":"policy","name":%q,"version":1,"deleted":false,"value":""}`, path.Base(request.URL.Path))
				answer = fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(object), object)
			}
			last = answer
			if _, err := io.WriteString(conn, answer); err != nil || request.Close {
				return
			}
		}
	})
	client, err := sdplatform.New(url)
	is.NoErr(err)
	for _, name := range []string{"a", "b", "c"} {
		object, err := client.Get(context.Background(), "policy", name)
		is.NoErr(err)
		is.Equal(object.Name, name)
	}
}

// connectionBuffers returns the most bytes that a connection on loopback holds between a
// sender and a receiver that no longer reads: the largest buffers of the kernel, and one
// write.
func connectionBuffers(t *testing.T) int64 {
	t.Helper()
	total := int64(1 << 20)
	for _, name := range []string{"tcp_rmem", "tcp_wmem"} {
		text, err := os.ReadFile("/proc/sys/net/ipv4/" + name)
		if err != nil {
			t.Fatal(err)
		}
		var least, initial, most int64
		if _, err := fmt.Sscan(string(text), &least, &initial, &most); err != nil {
			t.Fatal(err)
		}
		total += most
	}
	return total
}

// Guards against a store that sends bytes without end in the head or the body of an
// answer: memory stays bounded, and the call fails before its timeout.
func TestEndlessAnswerOfStoreIsCutOff(t *testing.T) {
	buffered := connectionBuffers(t)
	for name, c := range map[string]struct {
		start string
		// limit is what the client reads at most.
		limit int64
	}{
		"head": {"HTTP/1.1 200 OK\r\nA: ", 1 << 20},
		"body": {"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n{\"value\":\"", 64 << 20},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			sent := make(chan int64, 1)
			url := serveRaw(t, func(conn net.Conn, reader *bufio.Reader) {
				if _, err := http.ReadRequest(reader); err != nil {
					return
				}
				total := int64(0)
				_, err := io.WriteString(conn, c.start)
				for block := bytes.Repeat([]byte("x"), 64<<10); err == nil; {
					var n int
					n, err = conn.Write(block)
					total += int64(n)
				}
				sent <- total
			})
			client, err := sdplatform.New(url)
			is.NoErr(err)
			began := time.Now()
			_, err = client.Get(context.Background(), "policy", "a")
			is.True(err != nil)
			is.True(time.Since(began) < 3*time.Second) // the call's timeout
			if total := <-sent; total > c.limit+buffered {
				t.Errorf("%d bytes were sent, the client reads %d at most and the connection holds %d", total, c.limit, buffered)
			}
		})
	}
}
