package sdbenchstop

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/savorydeal/savorydeal"
)

const notRunHead = "HTTP/1.1 503 Service Unavailable\r\nSavorydeal-Outcome: not_run\r\nSavorydeal-Reason: stopping\r\nContent-Length: 0\r\n\r\n"

// serve answers each request of each connection with the next text and closes
// the connection after an empty one.
func serve(t *testing.T, answers ...string) string {
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
			reader := bufio.NewReader(conn)
			for len(answers) > 0 {
				if _, err := http.ReadRequest(reader); err != nil {
					break
				}
				text := answers[0]
				answers = answers[1:]
				_, _ = io.WriteString(conn, text)
				if !strings.HasSuffix(text, "\n") {
					break
				}
			}
			_ = conn.Close()
		}
	}()
	return listener.Addr().String()
}

func answered(id string) string {
	body := fmt.Sprintf("%s POST %s\n", service, id)
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// The measure has to see what it counts.
func TestCallerTellsCutRequestsFromRefusedOnes(t *testing.T) {
	whole := answered("stall-0")
	for _, test := range []struct {
		name                string
		answers             []string
		whole, cut, refused int
	}{
		{"whole answer", []string{whole}, 1, 0, 0},
		{"refused, then answered", []string{notRunHead, whole}, 1, 0, 1},
		{"connection closed without an answer", []string{""}, 0, 1, 0},
		{"answer cut short", []string{whole[:len(whole)-4]}, 0, 1, 0},
		{"another's answer", []string{answered("stall-1")}, 0, 1, 0},
		{"refusal that does not say not run", []string{strings.Replace(notRunHead, "not_run", "unknown", 1)}, 0, 1, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			c := &caller{name: "stall", nodes: []string{serve(t, test.answers...)}, tally: newTally()}
			c.request(0)
			is.Equal(c.tally.whole[savorydeal.ClassCritical], test.whole)
			is.Equal(c.tally.cut, test.cut)
			is.Equal(c.tally.refused[savorydeal.ClassCritical], test.refused)
			is.Equal(c.tally.reasons["stopping"], test.refused)
		})
	}
}

func TestCallerGoesOnToTheNextNode(t *testing.T) {
	is := is.New(t)
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	_ = closed.Close()
	c := &caller{name: "stall", nodes: []string{closed.Addr().String(), serve(t, answered("stall-0"))}, tally: newTally()}
	c.request(0)
	is.Equal(c.tally.unreached, 1)
	is.Equal(c.tally.whole[savorydeal.ClassCritical], 1)
	is.Equal(c.tally.cut, 0)
}
