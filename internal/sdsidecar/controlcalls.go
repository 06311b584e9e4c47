package sdsidecar

import (
	"context"
	"net/http"
	"time"

	"github.com/savorydeal/savorydeal/internal/sdhttp"
)

// Paths of the control calls between nodes.
const (
	membersPath = "/members"
	configPath  = "/config"
	// configCheckPath is the path of the question whether a configuration is the newest.
	configCheckPath = "/config-check"
)

// acceptAny accepts any response as the answer to the request.
func acceptAny(http.Header) bool { return true }

func (n *Node) callPeer(ctx context.Context, address, method, target string, body []byte) (*sdhttp.Response, error) {
	request := &sdhttp.Request{
		Method: method, Host: address, Target: target, Header: http.Header{}, Body: body, Control: true, Bytes: n.controlBytes(address, target),
	}
	return n.peers.peer(address).pool.Do(ctx, request, time.Now().Add(exchangeTimeout), false, acceptAny)
}

// handleControlCall handles the control calls of other nodes: exchanges of membership
// views, configuration fetches and checks, crash reports, departures and probes.
func (n *Node) handleControlCall(ctx context.Context, request *sdhttp.Request) *sdhttp.Response {
	var body []byte
	switch request.Target {
	case membersPath:
		if _, err := n.mergeView(ctx, request.Body, false); err != nil {
			return &sdhttp.Response{Status: http.StatusBadRequest}
		}
		_ = n.callControl(ctx, func(c *controlState) { body = n.encodeView(c) })
	case configPath:
		_ = n.callControl(ctx, func(c *controlState) { body = c.encodedConfig })
		if body == nil {
			return &sdhttp.Response{Status: http.StatusNotFound}
		}
	case configCheckPath:
		body = n.answerConfigCheck(ctx)
	case crashesPath:
		if request.Method == http.MethodGet {
			body = n.encodeCrashRecords()
			break
		}
		if err := n.handleCrashReport(request.Body); err != nil {
			return &sdhttp.Response{Status: http.StatusBadRequest}
		}
	case feedbackPath:
		if err := n.target.adoptFeedback(string(request.Body), request.ReceivedAt); err != nil {
			return &sdhttp.Response{Status: http.StatusBadRequest}
		}
	case departuresPath:
		var err error
		if body, err = n.handleDepartures(ctx, request.Body); err != nil {
			return &sdhttp.Response{Status: http.StatusBadRequest}
		}
	case alivePath:
	default:
		return &sdhttp.Response{Status: http.StatusNotFound}
	}
	return &sdhttp.Response{Status: http.StatusOK, Body: body}
}
