package sdsidecar

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorydeal/savorydeal"
	"github.com/savorydeal/savorydeal/internal/sdhttp"
	"github.com/savorydeal/savorydeal/internal/sdpeerheader"
	"github.com/savorydeal/savorydeal/internal/sdpoison"
	"github.com/savorydeal/savorydeal/platform"
)

// startRepeatingTarget starts a target that refuses the first request, and on the same
// connection writes that refusal once more in place of the next answer. On other
// connections it runs requests. It returns its address.
func startRepeatingTarget(t *testing.T) string {
	t.Helper()
	names := platform.Headers()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	serve := func(conn net.Conn, first bool) {
		defer func() { _ = conn.Close() }()
		reader := bufio.NewReader(conn)
		refusal := ""
		for {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			id := request.Header.Get(names.RequestID)
			answer := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: s\r\nContent-Length: 2\r\n\r\nok", names.RequestID, id, names.Signature)
			if first && refusal == "" {
				refusal = fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\n%s: %s\r\n%s: 1\r\nContent-Length: 0\r\n\r\n", names.RequestID, id, names.NotRun)
			}
			if first {
				answer = refusal
			}
			if _, err := conn.Write([]byte(answer)); err != nil {
				return
			}
		}
	}
	go func() {
		for first := true; ; first = false {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(conn, first)
		}
	}()
	return listener.Addr().String()
}

// Guards against a false "not run": a target that refuses a request and gets it again may
// write its earlier refusal once more while it runs the request.
func TestRepeatedRefusalIsNotTheAnswerToTheNextAttempt(t *testing.T) {
	is := is.New(t)
	node := testNode(t)
	node.target.pool.Address = startRepeatingTarget(t)
	announceTarget(node, savorydeal.TargetStart{Identity: "i-1", Started: 100})
	call := sdpeerheader.Call{Service: "s", Route: "r", Remaining: time.Second, MaxWait: time.Second}
	var outcomes []sdpeerheader.Outcome
	for range 2 {
		request := &sdhttp.Request{Method: http.MethodGet, Host: "h", Target: "/", Header: http.Header{}, ReceivedAt: time.Now()}
		request.Header.Set(node.headers.RequestID, "x")
		_, reply := node.target.serve(context.Background(), call, request)
		outcomes = append(outcomes, reply.Outcome)
	}
	is.Equal(outcomes, []sdpeerheader.Outcome{sdpeerheader.OutcomeNotRun, sdpeerheader.OutcomeRan})
}

// Guards against a refusal that counts as proof that a request does not crash targets: a
// full target has not run it, and the nodes of the service would let it through again.
func TestRefusalDoesNotClearCrashes(t *testing.T) {
	is := is.New(t)
	node := testNode(t)
	node.target.pool.Address = startRepeatingTarget(t)
	announceTarget(node, savorydeal.TargetStart{Identity: "i-1", Started: 100})
	request := &sdhttp.Request{Method: http.MethodGet, Host: "h", Target: "/", Header: http.Header{}, ReceivedAt: time.Now()}
	request.Header.Set(node.headers.RequestID, "x")
	call := sdpeerheader.Call{Service: "s", Route: "r", Remaining: time.Second, MaxWait: time.Second}
	is.True(node.poison.RecordCrash(node.clock.Now(), sdpoison.Crash{Fingerprint: fingerprintOf(call, request), Service: "s", Node: "n2"}))
	for i, want := range []sdpeerheader.Outcome{sdpeerheader.OutcomeNotRun, sdpeerheader.OutcomeRan} {
		_, reply := node.target.serve(context.Background(), call, request)
		is.Equal(reply.Outcome, want)
		is.Equal(node.poison.Empty(), i == 1) // an answer of a run does clear them
	}
}

// Guards against clients that fill the memory with long request IDs: 4,096 of them of 15 KB
// were kept after the target had refused them.
func TestRefusedRequestsKeepNoLongIDs(t *testing.T) {
	const idBytes = 15 << 10
	is := is.New(t)
	refused := newRefusedRequests()
	heap := func() int64 {
		var stats runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&stats)
		return int64(stats.HeapAlloc)
	}
	before := heap()
	for i := range maxRefusedIDs {
		refused.add(fmt.Sprint(i, strings.Repeat("x", idBytes)))
	}
	grown := heap() - before
	is.True(refused.contains(fmt.Sprint(0, strings.Repeat("x", idBytes))))
	if most := int64(2 << 20); grown > most {
		t.Errorf("%d refused requests take %d bytes, want at most %d", maxRefusedIDs, grown, most)
	}
}

// The memory of refused requests is bounded; the latest ones stay.
func TestRefusedRequestsAreBounded(t *testing.T) {
	is := is.New(t)
	refused := newRefusedRequests()
	for i := range 3 * maxRefusedIDs {
		refused.add(fmt.Sprint(i))
		refused.add(fmt.Sprint(i))
	}
	is.Equal(len(refused.ids), maxRefusedIDs)
	is.True(refused.contains(fmt.Sprint(3*maxRefusedIDs - 1)))
	is.True(refused.contains(fmt.Sprint(2 * maxRefusedIDs)))
	is.True(!refused.contains(fmt.Sprint(2*maxRefusedIDs - 1)))
}
