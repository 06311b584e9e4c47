package sdstandapp

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/savorydeal/savorydeal"
)

// Failure is a fault that a target injects into its handling of a request.
type Failure string

// Values of Failure.
const (
	FailureNone Failure = ""
	// FailureError runs the request and answers with status 500.
	FailureError Failure = "error"
	// FailureLostAnswer runs the request and closes the connection without an
	// answer.
	FailureLostAnswer Failure = "lost"
	// FailureTruncatedAnswer runs the request and sends one byte less than the
	// answer's Content-Length.
	FailureTruncatedAnswer Failure = "cut"
	// FailureExtraAnswer runs the request and sends its answer twice.
	FailureExtraAnswer Failure = "extra"
	// FailureCrash runs the request and closes the target's listener and
	// connections in place of the answer.
	FailureCrash Failure = "crash"
	// FailureStatusLow and FailureStatusHigh run the request and send the answer with a
	// status that HTTP does not know; the value is the status.
	FailureStatusLow  Failure = "000"
	FailureStatusHigh Failure = "600"
	// FailureBlankInName and FailureLineFeed run the request and send the answer with a malformed
	// line in its head, which holds the value.
	FailureBlankInName Failure = "Content-Length : 1"
	FailureLineFeed    Failure = "\nA: b"
	// FailureReset runs the request before it has received all of it. It sends the beginning of
	// an answer without a length and resets the connection.
	FailureReset Failure = "reset"
	// FailureShed refuses the request with status 503 and the header that marks
	// it as not run.
	FailureShed Failure = "shed"
)

// rawAnswer returns the bytes of an answer with a status and fields of its head.
func rawAnswer(edge savorydeal.EdgeHeaders, id, status, fields, body string) string {
	return fmt.Sprintf("HTTP/1.1 %s x\r\n%s: %s\r\n%s: signed-%s\r\n%s\r\n\r\n%s", status, edge.RequestID, id, edge.Signature, id, fields, body)
}

// resetDelay is the time in which the node can read an answer before its connection is reset.
const resetDelay = 2 * time.Millisecond

// writeRaw sends the bytes on the connection and closes or resets it.
func writeRaw(w http.ResponseWriter, answer string, reset bool) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	_, _ = io.WriteString(conn, answer)
	if reset {
		time.Sleep(resetDelay)
		_ = conn.(*net.TCPConn).SetLinger(0)
	}
}
