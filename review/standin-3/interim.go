package main

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

func init() { cases["interim"] = interim }

// interim sends a large download and, on the same connection before it is answered, a further
// idempotent request with a body that announces itself by Expect: 100-continue.
func interim(record string, trouble bool) int {
	const (
		machines, rounds = 3, 12
		pieces, piece    = 40, 64 << 10
	)
	w := newWorld(record)
	for i := range machines {
		w.addMachine([]string{"howrah", "kolkata", "hooghly"}[i%3], "catalogue")
	}
	w.store.operatorPut("config", "main", smallConfig())
	for _, m := range w.machines {
		m.start()
	}
	w.awaitReady(10 * time.Second)
	download := bytes.Repeat([]byte("0123456789abcdef"), pieces*piece/16)
	digest := sha256.Sum256(download)
	for _, m := range w.machines {
		u := w.newUpstream(m, fmt.Sprintf("i-%08x", 0x1000+m.index), 20*time.Millisecond)
		u.serve = func(rw http.ResponseWriter, r *http.Request, _ []byte) {
			if r.URL.Path != "/leny950/large" {
				u.answer(rw, r)
				return
			}
			rw.Header().Set("Savorydeal-Request-Id", r.Header.Get("Savorydeal-Request-Id"))
			rw.Header().Set("Savorydeal-Response-Signature", fmt.Sprintf("%x", digest[:4]))
			rw.Header().Set("Content-Length", fmt.Sprint(len(download)))
			for i := range pieces { // it takes half a second
				if _, err := rw.Write(download[i*piece : (i+1)*piece]); err != nil {
					return
				}
				rw.(http.Flusher).Flush()
				time.Sleep(12 * time.Millisecond)
			}
		}
		u.start()
	}
	time.Sleep(4 * time.Second)
	wrong, complete := 0, 0
	for i := range rounds {
		m := w.machines[i%machines]
		id, second := fmt.Sprintf("%016x", 0xa0+i), fmt.Sprintf("%016x", 0xb0+i)
		conn, err := net.Dial("tcp", m.outbound())
		check(err)
		_, err = fmt.Fprintf(conn, "GET /leny950/large HTTP/1.1\r\nHost: hulo84.example\r\nSavorydeal-Request-Id: %s\r\nSavorydeal-Timeout-Ms: 5000\r\n\r\n", id)
		check(err)
		time.Sleep(300 * time.Millisecond)
		body, expect := "wicks", ""
		if trouble {
			expect = "Expect: 100-continue\r\n"
		}
		_, err = fmt.Fprintf(conn, "PUT /leny950/2f HTTP/1.1\r\nHost: hulo84.example\r\nSavorydeal-Request-Id: %s\r\nSavorydeal-Timeout-Ms: 5000\r\n%sContent-Length: %d\r\n\r\n", second, expect, len(body))
		check(err)
		if trouble {
			// A client that waits for 100 Continue sends its body after a while in any case.
			time.AfterFunc(time.Second, func() { _, _ = io.WriteString(conn, body) })
		} else {
			_, err = io.WriteString(conn, body)
			check(err)
		}
		_ = conn.SetReadDeadline(time.Now().Add(4 * time.Second))
		reader := bufio.NewReader(conn)
		response, err := http.ReadResponse(reader, nil)
		check(err)
		text, err := io.ReadAll(response.Body)
		right := bytes.Equal(text, download)
		if err == nil && response.StatusCode == http.StatusOK {
			complete++
			if !right {
				wrong++
			}
		}
		at := bytes.Index(text, []byte("HTTP/1.1"))
		w.note("node %d, %s: status %d, %d bytes, error %v, as the upstream sent it: %t, position of another message's text in it: %d", m.index, id, response.StatusCode, len(text), err, right, at)
		_ = conn.Close()
	}
	w.note("complete successes %d, of which with a body that isn't the upstream's: %d", complete, wrong)
	fmt.Printf("complete successes %d, of which with a body that isn't the upstream's: %d\n", complete, wrong)
	switch {
	case wrong > 0:
		return 1
	case complete == 0:
		return 2
	}
	return 0
}
