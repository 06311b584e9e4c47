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
	// maxSends bounds the sendings of one request: the first, and repeats after
	// refusals that say that it has not run.
	maxSends = 20
	// resendPause lets a refused caller wait before its next try.
	resendPause = 20 * time.Millisecond
)

// tally is the callers' ledger.
type tally struct {
	mu sync.Mutex
	// whole counts requests with a whole answer, by class.
	whole map[savorydeal.Class]int
	// refused counts refusals that say that the request has not run, by class.
	refused map[savorydeal.Class]int
	// reasons counts refusals by reason.
	reasons map[savorydeal.Reason]int
	// unreached counts connections that were refused before a byte was sent.
	unreached int
	// cut counts requests without a whole answer whose caller cannot know
	// whether they have run.
	cut int
	// cuts holds the first few causes.
	cuts []string
	// abandoned counts requests that were refused on every sending.
	abandoned int
}

const maxCutsShown = 5

func newTally() *tally {
	return &tally{
		whole:   make(map[savorydeal.Class]int),
		refused: make(map[savorydeal.Class]int),
		reasons: make(map[savorydeal.Reason]int),
	}
}

// ending is what one sending came to.
type ending string

const (
	endingWhole     ending = "whole"
	endingNotRun    ending = "not_run"
	endingUnreached ending = "unreached"
	endingCut       ending = "cut"
)

func (t *tally) count(class savorydeal.Class, end ending, reason savorydeal.Reason, cause string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch end {
	case endingWhole:
		t.whole[class]++
	case endingNotRun:
		t.refused[class]++
		t.reasons[reason]++
	case endingUnreached:
		t.unreached++
	case endingCut:
		t.cut++
		if len(t.cuts) < maxCutsShown {
			t.cuts = append(t.cuts, cause)
		}
	}
}

func (t *tally) abandon() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.abandoned++
}

// caller sends one request after the other on one kept-alive connection. It
// does not use net/http's client, which repeats requests by itself and so
// hides those that were cut.
type caller struct {
	name  string
	nodes []string
	next  int
	pause time.Duration
	tally *tally

	conn   net.Conn
	reader *bufio.Reader
}

// run sends until ctx ends; the request under way is finished.
func (c *caller) run(ctx context.Context) {
	defer c.hangUp()
	for i := 0; ctx.Err() == nil; i++ {
		c.request(i)
		select {
		case <-time.After(c.pause):
		case <-ctx.Done():
		}
	}
}

// request sends one request until it is answered or may have run.
func (c *caller) request(i int) {
	class, method := savorydeal.ClassLow, http.MethodGet
	if i%bookingShare == 0 {
		class, method = savorydeal.ClassCritical, http.MethodPost
	}
	id := fmt.Sprintf("%s-%d", c.name, i)
	for range maxSends {
		end, reason, cause := c.send(method, id)
		c.tally.count(class, end, reason, cause)
		switch end {
		case endingWhole, endingCut:
			return
		case endingNotRun, endingUnreached:
			c.hangUp()
			c.next++
			time.Sleep(resendPause)
		}
	}
	c.tally.abandon()
}

func (c *caller) hangUp() {
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

func (c *caller) send(method, id string) (ending, savorydeal.Reason, string) {
	if err := c.dial(); err != nil {
		return endingUnreached, "", ""
	}
	_ = c.conn.SetDeadline(time.Now().Add(requestTimeout))
	if _, err := io.WriteString(c.conn, head(method, id, c.name)); err != nil {
		defer c.hangUp()
		return endingCut, "", fmt.Sprintf("%s: write: %v", id, err)
	}
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		defer c.hangUp()
		return endingCut, "", fmt.Sprintf("%s: read head: %v", id, err)
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		defer c.hangUp()
		return endingCut, "", fmt.Sprintf("%s: read body: %v", id, err)
	}
	if response.Close {
		c.hangUp()
	}
	return judge(response, string(body), method, id)
}

// judge tells a whole answer of the target from a refusal, and both from
// anything else.
func judge(response *http.Response, body, method, id string) (ending, savorydeal.Reason, string) {
	reason := savorydeal.Reason(response.Header.Get(sdheader.Reason))
	switch {
	case response.Header.Get(sdheader.Outcome) == string(savorydeal.OutcomeNotRun):
		return endingNotRun, reason, ""
	case response.StatusCode == http.StatusOK && body == fmt.Sprintf("%s %s %s\n", service, method, id):
		return endingWhole, "", ""
	}
	return endingCut, reason, fmt.Sprintf("%s: status %d, reason %q, body %q", id, response.StatusCode, reason, body)
}

func head(method, id, caller string) string {
	text := fmt.Sprintf("%s /stalls/7 HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %s\r\nContent-Length: 0\r\n",
		method, service, sdstandtarget.HeaderLedgerID, id, sdheader.Caller, caller)
	if method != http.MethodGet {
		text += fmt.Sprintf("%s: %s\r\n", sdheader.Key, id)
	}
	return text + "\r\n"
}
