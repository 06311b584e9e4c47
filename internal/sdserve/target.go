package sdserve

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/savorydeal/savorydeal"
	"github.com/savorydeal/savorydeal/internal/sdchain"
	"github.com/savorydeal/savorydeal/internal/sdhead"
	"github.com/savorydeal/savorydeal/internal/sdheader"
)

const (
	targetDialTimeout = time.Second
	targetIdleTimeout = 30 * time.Second
	maxHeaderBytes    = 64 << 10
)

// targetClient sends calls to the target over loopback HTTP/1.1. On a connection that is
// used again, an answer that the target writes twice could be taken for that to the next
// call. Connections are therefore kept only to a target that returns the run token in its
// answers, by which they are told apart.
type targetClient struct {
	transport *http.Transport
	// returnsToken is true if the target's last answer carried the token of its run.
	returnsToken atomic.Bool
}

func newTargetClient() *targetClient {
	return &targetClient{transport: &http.Transport{
		DialContext:            dialTarget,
		DisableCompression:     true,
		MaxIdleConnsPerHost:    1024,
		IdleConnTimeout:        targetIdleTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}}
}

// dialTarget opens a connection to the target that checks the heads of its answers.
func dialTarget(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: targetDialTimeout}
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, fmt.Errorf("connect to the target: %w", err)
	}
	return &sdhead.Conn{Conn: conn}, nil
}

// singleUseBody hides the body's type from net/http, so that the transport
// cannot replay it: an automatic retry would be a second run that is not
// counted.
type singleUseBody struct {
	io.ReadCloser
}

// do sends the call and returns the target's answer or a refusal. The refusal
// is not_run only if there was no connection to the target, so that no byte of
// the request can have reached it.
func (c *targetClient) do(ctx context.Context, address string, token sdchain.RunToken, call savorydeal.Call, body io.ReadCloser, deadline time.Time) (*http.Response, *savorydeal.Refusal) {
	var connected, reused atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		info.Conn.(*sdhead.Conn).ExpectAnswer()
		connected.Store(true)
		reused.Store(info.Reused)
	}}
	request, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), call.Method, "http://"+address+call.Path, singleUseBody{body})
	if err != nil {
		_ = body.Close()
		return nil, notRun(savorydeal.ReasonBadRequest, fmt.Sprintf("invalid method or path: %v", err))
	}
	request.ContentLength = call.ContentLength
	request.Host = call.Service
	request.Close = !c.returnsToken.Load()
	setHeaders(request, token, call, deadline)
	response, err := c.transport.RoundTrip(request)
	if errors.Is(err, sdhead.ErrMalformed) {
		return nil, &savorydeal.Refusal{
			Outcome: savorydeal.OutcomeUnknown,
			Reason:  savorydeal.ReasonTargetFailed,
			Detail:  fmt.Sprintf("%v; make the target send header fields as RFC 9112 defines them", err),
		}
	}
	if err == nil && (response.StatusCode < http.StatusOK || response.StatusCode > maxStatus) {
		_ = response.Body.Close()
		return nil, &savorydeal.Refusal{
			Outcome: savorydeal.OutcomeUnknown,
			Reason:  savorydeal.ReasonTargetFailed,
			Detail:  fmt.Sprintf("the target's answer has the status %03d; make the target answer with one from 200 to %d", response.StatusCode, maxStatus),
		}
	}
	if err == nil {
		return c.checkToken(response, token, reused.Load())
	}
	if !connected.Load() {
		return nil, notRun(failureReason(ctx), fmt.Sprintf("the target cannot be reached: %v", err))
	}
	reason := failureReason(ctx)
	if reason == savorydeal.ReasonTargetFailed {
		reason = savorydeal.ReasonTargetCrashed
	}
	return nil, &savorydeal.Refusal{
		Outcome: savorydeal.OutcomeUnknown,
		Reason:  reason,
		Detail:  fmt.Sprintf("the target did not answer: %v", err),
	}
}

// maxStatus is the highest status of an answer.
const maxStatus = 599

// checkToken returns the answer unless it may be one to an earlier call: it came on a
// connection that was used before, without the token of this run.
func (c *targetClient) checkToken(response *http.Response, token sdchain.RunToken, reused bool) (*http.Response, *savorydeal.Refusal) {
	own := response.Header.Get(sdheader.Chain) == string(token)
	returned := c.returnsToken.Swap(own)
	if own {
		return response, nil
	}
	if !reused {
		if returned {
			c.transport.CloseIdleConnections()
		}
		return response, nil
	}
	_ = response.Body.Close()
	c.transport.CloseIdleConnections()
	return nil, &savorydeal.Refusal{
		Outcome: savorydeal.OutcomeUnknown,
		Reason:  savorydeal.ReasonTargetFailed,
		Detail: fmt.Sprintf("the target's answer has %s %q, not the one of its request; make the target return that header in all answers or in none, and answer each request once",
			sdheader.Chain, response.Header.Get(sdheader.Chain)),
	}
}

func failureReason(ctx context.Context) savorydeal.Reason {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return savorydeal.ReasonDeadline
	case ctx.Err() != nil:
		return savorydeal.ReasonCanceled
	}
	return savorydeal.ReasonTargetFailed
}

func setHeaders(request *http.Request, token sdchain.RunToken, call savorydeal.Call, deadline time.Time) {
	for _, header := range call.Headers {
		request.Header.Add(header.Name, header.Value)
	}
	if call.Key != "" {
		request.Header.Set(sdheader.Key, call.Key)
	}
	request.Header.Set(sdheader.Chain, string(token))
	request.Header.Set(sdheader.RequestID, call.Chain.RequestID)
	remaining := time.Until(deadline).Milliseconds()
	request.Header.Set(sdheader.DeadlineMS, strconv.FormatInt(max(1, remaining), 10))
}

// unframed reports whether the answer is delimited only by the close of the
// connection. A truncated answer of this kind looks complete.
func unframed(response *http.Response) bool {
	if response.ContentLength >= 0 || len(response.TransferEncoding) > 0 {
		return false
	}
	return response.Body != http.NoBody
}
