package sdcluster_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorydeal/savorydeal/internal/sdcluster"
	"github.com/savorydeal/savorydeal/platform"
)

// Guards against requests that are taken late in a graceful stop, on a connection that is
// always in use, and are cut without an answer at its end: what might not end in time is
// refused before it is passed on.
func TestLateRequestsOfStopAreNotCut(t *testing.T) {
	is := is.New(t)
	slow := plan()
	slow.Grace = 6 * time.Second
	slow.Services[0].ServiceTime = 1200 * time.Millisecond
	slow.Services[0].Slots = 100
	cluster, ctx := startPlan(t, slow)
	stopping := cluster.VMs[2] // beside another service than the one called
	signalled := time.Now()
	stopped := make(chan error, 1)
	go func() { stopped <- stopping.StopNode() }()
	time.Sleep(2 * time.Second)

	conn, err := net.Dial("tcp", stopping.CallerAddress())
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	sentAt := make(map[string]time.Time)
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		for i := range 200 {
			id := fmt.Sprint("late-", i)
			_, err := fmt.Fprintf(conn, "POST /sign/%s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\nContent-Length: 0\r\n\r\n",
				id, sdcluster.Host, platform.Headers().RequestID, id)
			if err != nil {
				return
			}
			sentAt[id] = time.Now()
			time.Sleep(80 * time.Millisecond)
		}
	}()
	var statuses []int
	for reader := bufio.NewReader(conn); ; {
		answer, err := http.ReadResponse(reader, nil)
		if err != nil {
			break
		}
		if _, err := io.Copy(io.Discard, answer.Body); err != nil {
			break
		}
		statuses = append(statuses, answer.StatusCode)
	}
	_ = conn.Close()
	<-sent
	is.NoErr(<-stopped)
	is.NoErr(ctx.Err())
	runs := runsOf(cluster)
	late := 0
	for i := range 200 {
		id := fmt.Sprint("late-", i)
		if sentAt[id].Sub(signalled) < 3*time.Second {
			continue
		}
		ran, answered := len(runs[id]) > 0, i < len(statuses)
		if ran && !answered {
			t.Errorf("request %s, sent %v after the stop signal, ran and got no answer", id, sentAt[id].Sub(signalled))
		}
		if answered {
			late++
			is.True(statuses[i] != http.StatusServiceUnavailable || !ran)
		}
	}
	is.True(late > 0) // the connection was in use late in the stop
}
