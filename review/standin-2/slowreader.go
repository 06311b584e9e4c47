package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"
)

// largeBytes is the size of the large answer, a download.
const largeBytes = 16 << 20

// slowReader reads a large answer slowly and sends a further idempotent request, with a body
// and the header Expect, before the answer is complete.
func slowReader(record string, trouble bool) int {
	services := []string{"catalogue", "payments"}
	w, err := newWorld(record, []string{"catalogue", "payments", "payments"}, "howrah")
	if err != nil {
		return cannotRun(err)
	}
	defer w.close()
	w.store.setConfig(4, services, []route{
		{name: "statement", prefix: "/statement/", service: "payments", kind: "download", timeoutS: 6, aimS: 4, attempts: 2},
		{name: "browse", prefix: "/browse/", service: "catalogue", kind: "idempotent", timeoutS: 6, aimS: 1.5, attempts: 2},
	})
	large := make([]byte, largeBytes)
	for i := range large {
		large[i] = 'a' + byte(i%23)
	}
	for i, n := range w.nodes {
		_, err := n.startUpstream(fmt.Sprintf("i-%d", i+1), time.Now().UnixMilli(), func(u *upstream, r *http.Request) (int, []byte, bool) {
			time.Sleep(20 * time.Millisecond)
			if strings.HasPrefix(r.URL.Path, "/statement/") {
				return http.StatusOK, large, true
			}
			return http.StatusOK, []byte("answer of " + u.id), true
		})
		if err == nil {
			err = n.start()
		}
		if err != nil {
			return cannotRun(err)
		}
	}
	if err := w.awaitReady("/statement/1", "/browse/1"); err != nil {
		return cannotRun(err)
	}
	wrong := 0
	for round := range 10 {
		n := w.nodes[round%len(w.nodes)]
		mixed, err := w.readSlowly(n, large, trouble)
		if err != nil {
			return cannotRun(err)
		}
		if mixed {
			wrong++
		}
	}
	w.note("answers 200 with a signature, complete by their length, with other bytes than the upstream's: %d of 10", wrong)
	fmt.Println("wrong bodies:", wrong, "of 10")
	if wrong > 0 {
		return broken
	}
	return held
}

// readSlowly sends both requests on one connection and reports whether the first answer looks
// complete and holds other bytes than the upstream's.
func (w *world) readSlowly(n *node, large []byte, trouble bool) (bool, error) {
	conn, err := net.Dial("tcp", n.outbound())
	if err != nil {
		return false, err
	}
	defer func() { _ = conn.Close() }()
	_ = conn.(*net.TCPConn).SetReadBuffer(64 << 10)
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	first, second := fmt.Sprintf("%016x", rand.Uint64()), fmt.Sprintf("%016x", rand.Uint64())
	_, err = fmt.Fprintf(conn, "GET /statement/1 HTTP/1.1\r\nHost: %s\r\nSavorydeal-Request-Id: %s\r\nSavorydeal-Timeout-Ms: 6000\r\n\r\n", host, first)
	if err != nil {
		return false, err
	}
	sendSecond := func() error {
		const body = "festival wicks"
		_, err := fmt.Fprintf(conn, "PUT /browse/1 HTTP/1.1\r\nHost: %s\r\nSavorydeal-Request-Id: %s\r\nSavorydeal-Timeout-Ms: 6000\r\nContent-Length: %d\r\nExpect: 100-continue\r\n\r\n", host, second, len(body))
		if err == nil {
			time.Sleep(100 * time.Millisecond) // it waits a moment and then sends the body
			_, err = io.WriteString(conn, body)
		}
		return err
	}
	reader := bufio.NewReader(conn)
	response, err := http.ReadResponse(reader, &http.Request{Method: http.MethodGet})
	if err != nil {
		return false, err
	}
	var body bytes.Buffer
	if trouble {
		for sent := false; err == nil; {
			_, err = io.CopyN(&body, response.Body, 512<<10)
			if !sent {
				sent = true
				if err := sendSecond(); err != nil {
					return false, err
				}
			}
			time.Sleep(20 * time.Millisecond)
		}
	} else {
		_, err = io.Copy(&body, response.Body)
	}
	complete := err == nil || errors.Is(err, io.EOF)
	signature := response.Header.Get("Savorydeal-Response-Signature")
	same := bytes.Equal(body.Bytes(), large)
	at := bytes.Index(body.Bytes(), []byte("HTTP/1.1 100 Continue\r\n\r\n"))
	w.note("GET /statement/1 %s sent to %s: status %d, signature %q, Content-Length %d, %d bytes read, complete %t, the upstream's bytes %t, 100 Continue at byte %d", first, n.name,
		response.StatusCode, signature, response.ContentLength, body.Len(), complete, same, at)
	if !trouble {
		if err := sendSecond(); err != nil {
			return false, err
		}
	}
	status := "no answer in the protocol"
	for range 2 {
		next, err := http.ReadResponse(reader, &http.Request{Method: http.MethodPut})
		if err != nil {
			status += " (" + err.Error() + ")"
			break
		}
		if next.StatusCode != http.StatusContinue {
			status = fmt.Sprint(next.StatusCode, " of ", next.Header.Get("Savorydeal-Request-Id"))
			break
		}
	}
	w.note("PUT /browse/1 %s sent on the same connection: %s", second, status)
	return response.StatusCode == http.StatusOK && signature != "" && complete && !same, nil
}
