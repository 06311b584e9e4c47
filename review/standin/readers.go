package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// readerClients is the number of clients that ask for large answers, a fifth of a zone's
	// clients in the site file.
	readerClients = 16
	// readerGap is the time between two requests of one of them, readerPause the time for
	// which it does not read.
	readerGap   = 150 * time.Millisecond
	readerPause = 4 * time.Second
	// readerRequests is the number of requests that one sends on a connection.
	readerRequests = 28
	readerBytes    = 900_000
)

// readSlowly sends requests on one connection before the first has been answered, begins to
// read after pause, and reads all answers then. It returns one answer for each request, as far
// as the client has seen it; err is why the connection ended early.
func readSlowly(m *machine, pause time.Duration) (answers []answer, err error) {
	for i := range readerRequests {
		answers = append(answers, answer{id: newID(), kept: i > 0})
	}
	conn, err := net.DialTimeout("tcp", m.address(portOutbound), time.Second)
	if err != nil {
		return nil, err
	}
	defer func() { _ = conn.Close() }()
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetReadBuffer(64 << 10)
	}
	go func() {
		for i := range readerRequests {
			_, err := fmt.Fprintf(conn, "GET /list/1 HTTP/1.1\r\nHost: %s\r\nSavorydeal-Request-Id: %s\r\nSavorydeal-Timeout-Ms: 6000\r\n\r\n", host, answers[i].id)
			if err != nil {
				return
			}
			time.Sleep(readerGap)
		}
	}()
	time.Sleep(pause)
	_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
	reader := bufio.NewReader(conn)
	for i := range answers {
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			return withError(answers, i, err), err
		}
		body, err := io.ReadAll(response.Body)
		if err != nil {
			return withError(answers, i, err), err
		}
		answers[i].status, answers[i].bytes = response.StatusCode, len(body)
		answers[i].whole = response.Header.Get("Savorydeal-Response-Signature") == signature(body)
	}
	return answers, nil
}

// withError sets the error of the answers from the first one that is missing.
func withError(answers []answer, first int, err error) []answer {
	for i := first; i < len(answers); i++ {
		answers[i].err = err
	}
	return answers
}

// playReaders: clients of one machine ask for large answers, several at a time on a
// connection, and read slowly. Other clients of the machine send small requests.
func playReaders(w *world, trouble bool) ([]string, error) {
	small := behaviour{work: 200 * time.Millisecond, bytes: 2000}
	front, err := w.addMachine("howrah", "catalogue", behaviour{work: 60 * time.Millisecond, bytes: readerBytes})
	if err != nil {
		return nil, err
	}
	sound, err := w.addMachine("kolkata", "dispatch", small)
	if err != nil {
		return nil, err
	}
	if err := w.setConfig(7, []route{
		{"list", "/list/", "idempotent", "catalogue", 5, 2}, {"track", "/track/", "idempotent", "dispatch", 1, 1},
	}); err != nil {
		return nil, err
	}
	if err := w.startAll("/track/1"); err != nil {
		return nil, err
	}
	var group, watches sync.WaitGroup
	stop, stopWatches := make(chan struct{}), make(chan struct{})
	var kills, peak int
	watches.Go(func() { kills, peak = watchMemory(front, stopWatches) })
	var mu sync.Mutex
	var answers, slow []answer
	load(&group, front, 24, 20*time.Millisecond, stop, func(int) request {
		return request{method: http.MethodGet, path: "/track/1", timeout: 800 * time.Millisecond}
	}, func(a answer, q request) {
		w.record.add("client: %s %s %s -> kept connection %v, status %d, whole %v, error %v", a.id, q.method, q.path, a.kept, a.status, a.whole, a.err)
		mu.Lock()
		defer mu.Unlock()
		answers = append(answers, a)
	})
	pause := time.Duration(0)
	if trouble {
		pause = readerPause
	}
	for range 2 {
		var readers sync.WaitGroup
		for range readerClients {
			readers.Go(func() {
				read, err := readSlowly(front, pause)
				whole := 0
				for _, a := range read {
					if a.whole {
						whole++
					}
				}
				w.record.add("reader: %d of %d answers whole, error %v", whole, readerRequests, err)
				mu.Lock()
				defer mu.Unlock()
				slow = append(slow, read...)
			})
		}
		readers.Wait()
		time.Sleep(time.Second)
	}
	close(stop)
	group.Wait()
	close(stopWatches)
	watches.Wait()
	w.record.add("node of %s: at most %d MB of %d MB, killed %d times for it", front.name, peak, memoryMB, kills)
	return append(cutKept(w, answers, sound), cutKept(w, slow, front)...), nil
}
