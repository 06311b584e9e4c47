package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"time"
)

func init() { cases["smuggle"] = smuggle }

// smuggle sends requests whose body holds the text of another request. The header line with
// the body's length has a space before the colon, which HTTP/1.1 does not allow.
func smuggle(record string, trouble bool) int {
	const machines, rounds = 3, 12
	w := newWorld(record)
	for i := range machines {
		w.addMachine([]string{"howrah", "kolkata", "hooghly"}[i%3], "catalogue")
	}
	w.store.operatorPut("config", "main", smallConfig())
	for _, m := range w.machines {
		m.start()
	}
	w.awaitReady(10 * time.Second)
	for _, m := range w.machines {
		m.up = w.startUpstream(m, fmt.Sprintf("i-%08x", 0x1000+m.index), 20*time.Millisecond)
	}
	time.Sleep(4 * time.Second)
	sent := map[string]bool{}
	for i := range rounds {
		m := w.machines[i%machines]
		id, inner := fmt.Sprintf("%016x", 0xa0+i), fmt.Sprintf("%016x", 0xb000+i)
		body := "GET /leny950/2f HTTP/1.1\r\nHost: hulo84.example\r\nSavorydeal-Request-Id: " + inner + "\r\nSavorydeal-Timeout-Ms: 5000\r\n\r\n"
		length := "Content-Length: "
		if trouble {
			length = "Content-Length : "
		}
		sent[id] = true
		conn, err := net.Dial("tcp", m.outbound())
		check(err)
		_, err = fmt.Fprintf(conn, "POST /puka111/2f HTTP/1.1\r\nHost: jepu9.example\r\nSavorydeal-Request-Id: %s\r\nSavorydeal-Timeout-Ms: 5000\r\n%s%d\r\n\r\n%s", id, length, len(body), body)
		check(err)
		_ = conn.SetReadDeadline(time.Now().Add(time.Second))
		reader := bufio.NewReader(conn)
		for answers := 1; ; answers++ {
			response, err := http.ReadResponse(reader, nil)
			if err != nil {
				break
			}
			text := make([]byte, max(0, response.ContentLength))
			_, _ = reader.Read(text)
			w.note("node %d, one request sent (%s): answer %d has status %d, id %q, signature %q, body %q", m.index, id, answers, response.StatusCode,
				response.Header.Get("Savorydeal-Request-Id"), response.Header.Get("Savorydeal-Response-Signature"), text)
		}
		_ = conn.Close()
	}
	w.mu.Lock()
	runs, unasked := len(w.runs), 0
	for _, r := range w.runs {
		if !sent[r.id] {
			unasked++
		}
	}
	w.mu.Unlock()
	w.note("requests sent %d, run %d, of which with an id that no client sent: %d", len(sent), runs, unasked)
	fmt.Printf("requests sent %d, run %d, of which with an id that no client sent: %d\n", len(sent), runs, unasked)
	if unasked > 0 {
		return 1
	}
	return 0
}
