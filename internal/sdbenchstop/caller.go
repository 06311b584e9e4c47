package sdbenchstop

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/savorydeal/savorydeal"
	"github.com/savorydeal/savorydeal/internal/sdheader"
	"github.com/savorydeal/savorydeal/internal/sdstandtarget"
)

const (
	requestTimeout = 10 * time.Second
	// maxSends bounds the times that a caller sends one request: the first time and
	// again after each failed connection or refusal with the outcome not_run.
	maxSends = 20
	// resendPause is the time that a caller waits after a refusal or a failed
	// connection.
	resendPause = 20 * time.Millisecond
)

// tally counts the outcomes of all callers' requests. It is safe for concurrent
// use.
type tally struct {
	mu sync.Mutex
	// complete counts requests with a complete answer, by class.
	complete map[savorydeal.Class]int
	// refused counts refusals with the outcome not_run, by class.
	refused map[savorydeal.Class]int
	// reasons counts refusals by reason.
	reasons map[savorydeal.Reason]int
	// failedConnections counts connections that could not be opened; no byte of
	// the request was sent.
	failedConnections int
	// cut counts requests without a complete answer of which the caller does not
	// know whether they have run.
	cut int
	// cutCauses describes the first maxCutCauses of them.
	cutCauses []string
	// abandoned counts requests that were refused, or whose connection failed, all
	// maxSends times.
	abandoned int
}

const maxCutCauses = 5

func newTally() *tally {
	return &tally{
		complete: make(map[savorydeal.Class]int),
		refused:  make(map[savorydeal.Class]int),
		reasons:  make(map[savorydeal.Reason]int),
	}
}

// sendOutcome is the outcome of sending a request once.
type sendOutcome string

const (
	sendComplete   sendOutcome = "whole"
	sendNotRun     sendOutcome = "not_run"
	sendConnFailed sendOutcome = "unreached"
	sendCut        sendOutcome = "cut"
)

func (t *tally) count(class savorydeal.Class, outcome sendOutcome, reason savorydeal.Reason, cause string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch outcome {
	case sendComplete:
		t.complete[class]++
	case sendNotRun:
		t.refused[class]++
		t.reasons[reason]++
	case sendConnFailed:
		t.failedConnections++
	case sendCut:
		t.cut++
		if len(t.cutCauses) < maxCutCauses {
			t.cutCauses = append(t.cutCauses, cause)
		}
	}
}

func (t *tally) abandon() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.abandoned++
}

// caller sends one request after the other on one persistent connection. It does
// not use the client of net/http, which resends some failed requests on its own
// and so hides cut requests.
type caller struct {
	name string
	// nodes holds the addresses of all nodes, next the index (modulo their number)
	// of the one to connect to.
	nodes []string
	next  int
	// pause is the time between two requests.
	pause time.Duration
	tally *tally

	conn   net.Conn
	reader *bufio.Reader
}

// run sends requests until ctx ends. A request in progress is completed.
func (c *caller) run(ctx context.Context) {
	defer c.closeConnection()
	for i := 0; ctx.Err() == nil; i++ {
		c.request(i)
		select {
		case <-time.After(c.pause):
		case <-ctx.Done():
		}
	}
}

// request sends the i-th request until it has a complete answer, may have run or
// has been sent maxSends times. Every bookingInterval-th request is a booking.
func (c *caller) request(i int) {
	class, method := savorydeal.ClassLow, http.MethodGet
	if i%bookingInterval == 0 {
		class, method = savorydeal.ClassCritical, http.MethodPost
	}
	id := fmt.Sprintf("%s-%d", c.name, i)
	for range maxSends {
		outcome, reason, cause := c.send(method, id)
		c.tally.count(class, outcome, reason, cause)
		switch outcome {
		case sendComplete, sendCut:
			return
		case sendNotRun, sendConnFailed:
			c.closeConnection()
			c.next++
			time.Sleep(resendPause)
		}
	}
	c.tally.abandon()
}

func (c *caller) closeConnection() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

func (c *caller) dial() error {
	if c.conn != nil {
		return nil
	}
	conn, err := net.DialTimeout("tcp", c.nodes[c.next%len(c.nodes)], time.Second)
	if err != nil {
		return err
	}
	c.conn, c.reader = conn, bufio.NewReader(conn)
	return nil
}

// send sends a request once and returns its outcome, the reason given in the
// response and the description of a cut request.
func (c *caller) send(method, id string) (sendOutcome, savorydeal.Reason, string) {
	if err := c.dial(); err != nil {
		return sendConnFailed, "", ""
	}
	_ = c.conn.SetDeadline(time.Now().Add(requestTimeout))
	if _, err := io.WriteString(c.conn, requestHead(method, id, c.name)); err != nil {
		defer c.closeConnection()
		return sendCut, "", fmt.Sprintf("%s: write request: %v", id, err)
	}
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		defer c.closeConnection()
		return sendCut, "", fmt.Sprintf("%s: read response header: %v", id, err)
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		defer c.closeConnection()
		return sendCut, "", fmt.Sprintf("%s: read response body: %v", id, err)
	}
	if response.Close {
		c.closeConnection()
	}
	return classify(response, string(body), method, id)
}

// classify distinguishes a complete answer of the target, a refusal with the
// outcome not_run, and everything else, which counts as cut.
func classify(response *http.Response, body, method, id string) (sendOutcome, savorydeal.Reason, string) {
	reason := savorydeal.Reason(response.Header.Get(sdheader.Reason))
	switch {
	case response.Header.Get(sdheader.Outcome) == string(savorydeal.OutcomeNotRun):
		return sendNotRun, reason, ""
	case response.StatusCode == http.StatusOK && body == fmt.Sprintf("%s %s %s\n", service, method, id):
		return sendComplete, "", ""
	}
	return sendCut, reason, fmt.Sprintf("%s: unexpected response: status %d, reason %q, body %q", id, response.StatusCode, reason, body)
}

// requestHead returns the request line and headers of a request. All but GET
// requests carry a key.
func requestHead(method, id, caller string) string {
	text := fmt.Sprintf("%s /stalls/7 HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %s\r\nContent-Length: 0\r\n",
		method, service, sdstandtarget.HeaderLedgerID, id, sdheader.Caller, caller)
	if method != http.MethodGet {
		text += fmt.Sprintf("%s: %s\r\n", sdheader.Key, id)
	}
	return text + "\r\n"
}
