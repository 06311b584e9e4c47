// Package sdstandcaller is a small stand-in for a caller, for tests and the
// benchmark program. It sends requests to one node and reads their outcome.
package sdstandcaller

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/savorydeal/savorydeal"
	"github.com/savorydeal/savorydeal/internal/sdheader"
	"github.com/savorydeal/savorydeal/internal/sdstandtarget"
)

// Request is one request of a caller. An empty LedgerID, Key or Caller sends no
// header.
type Request struct {
	LedgerID string
	Service  string
	Method   string
	Path     string
	Key      string
	Caller   string
	Body     string
	// Timeout is sent as the remaining time, in milliseconds; zero sends none.
	Timeout time.Duration
}

// Result is the outcome of a request. Status is 0 if no response arrived.
type Result struct {
	// Err is set if no complete response was received.
	Err    error
	Status int
	// Outcome is OutcomeAnswered if the response has no outcome header, and empty
	// if Err is set.
	Outcome savorydeal.Outcome
	Reason  savorydeal.Reason
	Header  http.Header
	Body    string
	Latency time.Duration
}

// Complete reports whether the caller received a complete answer from the target
// with a status below 500.
func (r Result) Complete() bool {
	return r.Err == nil && r.Outcome == savorydeal.OutcomeAnswered && r.Status < http.StatusInternalServerError
}

// Caller sends requests to one node.
type Caller struct {
	address string
	client  *http.Client
	// keyPrefix is the last key prefix that the node sent. The node owns the keys
	// that begin with it: it decides whether a request with such a key runs. It is
	// nil before the first one.
	keyPrefix atomic.Pointer[string]
}

// New returns a caller that sends to the node at the address and keeps up to the
// given number of idle connections.
func New(address string, connections int) *Caller {
	transport := &http.Transport{MaxIdleConnsPerHost: connections, DisableCompression: true}
	return &Caller{address: address, client: &http.Client{Transport: transport}}
}

// Close closes idle connections.
func (c *Caller) Close() {
	c.client.CloseIdleConnections()
}

// Send sends one request, without retries, and reads its complete answer.
func (c *Caller) Send(ctx context.Context, request Request) Result {
	started := time.Now()
	result := c.send(ctx, request)
	result.Latency = time.Since(started)
	return result
}

func (c *Caller) send(ctx context.Context, request Request) Result {
	r, err := http.NewRequestWithContext(ctx, request.Method, "http://"+c.address+request.Path, strings.NewReader(request.Body))
	if err != nil {
		return Result{Err: fmt.Errorf("build request: %w", err)}
	}
	// Without GetBody, net/http cannot retry the request by itself.
	r.GetBody = nil
	r.Host = request.Service
	setHeaders(r.Header, request)
	response, err := c.client.Do(r)
	if err != nil {
		return Result{Err: fmt.Errorf("send request: %w", err)}
	}
	defer response.Body.Close()
	c.storeKeyPrefix(response.Header)
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return Result{Err: fmt.Errorf("read answer: %w", err), Status: response.StatusCode}
	}
	outcome := savorydeal.Outcome(response.Header.Get(sdheader.Outcome))
	if outcome == "" {
		outcome = savorydeal.OutcomeAnswered
	}
	return Result{
		Status:  response.StatusCode,
		Outcome: outcome,
		Reason:  savorydeal.Reason(response.Header.Get(sdheader.Reason)),
		Header:  response.Header,
		Body:    string(body),
	}
}

func setHeaders(header http.Header, request Request) {
	set := func(name, value string) {
		if value != "" {
			header.Set(name, value)
		}
	}
	set(sdstandtarget.HeaderLedgerID, request.LedgerID)
	set(sdheader.Key, request.Key)
	set(sdheader.Caller, request.Caller)
	if request.Timeout > 0 {
		set(sdheader.DeadlineMS, fmt.Sprint(request.Timeout.Milliseconds()))
	}
}
