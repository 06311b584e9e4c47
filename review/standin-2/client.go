package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

// request is one attempt of a client on a machine.
type request struct {
	id, method, path, body string
	deadline               time.Duration
	// leaveAfter is when the client closes its connection without waiting longer.
	leaveAfter time.Duration
	// quiet requests are not recorded.
	quiet bool
}

// answer is what the client got; status is 0 if the connection ended without an answer.
type answer struct {
	id, signature string
	status        int
	body          string
	sent, ended   time.Time
	retryAfter    string
	err           error
}

var transport = &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true, IdleConnTimeout: 8 * time.Second}

// send sends a request to the outbound address of a machine and waits for its end.
func (w *world) send(n *node, r request) answer {
	if r.method == "" {
		r.method = http.MethodGet
	}
	if r.deadline == 0 {
		r.deadline = 6 * time.Second
	}
	if r.id == "" {
		r.id = fmt.Sprintf("%016x", rand.Uint64())
	}
	a := answer{id: r.id, sent: time.Now()}
	wait := r.deadline
	if r.leaveAfter > 0 {
		wait = r.leaveAfter
	}
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	httpRequest, err := http.NewRequestWithContext(ctx, r.method, "http://"+n.outbound()+r.path, strings.NewReader(r.body))
	if err != nil {
		a.err = err
		return a
	}
	httpRequest.Host = host
	httpRequest.Header.Set("Savorydeal-Request-Id", r.id)
	httpRequest.Header.Set("Savorydeal-Timeout-Ms", fmt.Sprint(r.deadline.Milliseconds()))
	if len(w.store.tenants) > 0 {
		httpRequest.Header.Set("Authorization", "Bearer "+tenantKey)
	}
	response, err := transport.RoundTrip(httpRequest)
	if err == nil {
		var body []byte
		body, err = io.ReadAll(response.Body)
		_ = response.Body.Close()
		a.status, a.body, a.signature = response.StatusCode, string(body), response.Header.Get("Savorydeal-Response-Signature")
		a.retryAfter = response.Header.Get("Retry-After")
	}
	a.err, a.ended = err, time.Now()
	if !r.quiet {
		w.noteAt(a.sent, "%s %s %s sent to %s; answered %d after %.0f ms%s", r.method, r.path, r.id, n.name, a.status, float64(a.ended.Sub(a.sent).Microseconds())/1000, errorText(err))
	}
	return a
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return " (" + err.Error() + ")"
}
