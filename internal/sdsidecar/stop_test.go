package sdsidecar

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorydeal/savorydeal/internal/sdhttp"
	"github.com/savorydeal/savorydeal/internal/sdpeerheader"
)

// Guards against calls of other nodes that are taken late in a graceful stop and are cut at
// its end: one that might outlast the stop is returned as not run, and goes to another node.
func TestCallThatOutlastsStopIsNotRun(t *testing.T) {
	const grace = 6 * time.Second
	for _, c := range []struct {
		name           string
		elapsed, given time.Duration
		depth          int
		reason         string
	}{
		{"no stop", -1, 10 * time.Second, 0, reasonNoTarget},
		{"early", time.Second, 10 * time.Second, 0, reasonNoTarget},
		{"late, ends in time", 3 * time.Second, 2 * time.Second, 0, reasonNoTarget},
		{"late, may not end in time", 3 * time.Second, 4 * time.Second, 0, reasonStopping},
		{"late, call of a run in progress", 3 * time.Second, 4 * time.Second, 1, reasonNoTarget},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			node := testNode(t)
			if c.elapsed >= 0 {
				node.stop.Store(newStopSchedule(time.Now().Add(-c.elapsed), grace))
			}
			call := sdpeerheader.Call{Service: "s", Route: "r", Remaining: c.given, Depth: c.depth}
			response := node.handlePeer(context.Background(), &sdhttp.Request{
				Method: http.MethodGet, Target: "/", Header: http.Header{sdpeerheader.CallHeader: {call.Encode()}}, ReceivedAt: time.Now(),
			})
			reply, err := sdpeerheader.DecodeReply(response.Header.Get(sdpeerheader.ReplyHeader))
			is.NoErr(err)
			is.Equal(reply.Outcome, sdpeerheader.OutcomeNotRun)
			is.Equal(reply.Reason, c.reason)
		})
	}
}
