package sdentry

import (
	"crypto/sha256"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/savorydeal/savorydeal"
	"github.com/savorydeal/savorydeal/internal/sdbody"
)

// defaultBodyStallTimeout is the longest time between two parts of a request's body.
const defaultBodyStallTimeout = 10 * time.Second

// timedBody ends a body whose sender stalls.
type timedBody struct {
	io.ReadCloser
	controller *http.ResponseController
	timeout    time.Duration
}

// Read reads the next bytes, for which the sender has the timeout.
func (b *timedBody) Read(p []byte) (int, error) {
	_ = b.controller.SetReadDeadline(time.Now().Add(b.timeout))
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		// The server reads on to detect that the caller has disconnected.
		_ = b.controller.SetReadDeadline(time.Time{})
	}
	return n, err
}

func nothing() {}

// readBody returns the body of the call. The body of a keyed call is read
// completely first, since the record of its key contains the body's digest. The
// caller must call release when the call has ended.
func (e *Entry) readBody(w http.ResponseWriter, r *http.Request, call *savorydeal.Call) (body io.ReadCloser, release func(), refusal *savorydeal.Refusal) {
	if r.Body == http.NoBody {
		body = r.Body
	} else {
		timed := &timedBody{ReadCloser: r.Body, controller: http.NewResponseController(w), timeout: e.bodyStallTimeout}
		if timed.timeout == 0 {
			timed.timeout = defaultBodyStallTimeout
		}
		body = http.MaxBytesReader(w, timed, call.Operation.MaxBodyBytes)
	}
	if call.Key == "" {
		return body, nothing, nil
	}
	content, release, err := sdbody.ReadWithin(body, call.Operation.MaxBodyBytes, e.Bodies)
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) || errors.Is(err, sdbody.ErrTooLarge) {
		return nil, release, refusalBeforeOwner(call.Key, savorydeal.ReasonBodyTooLarge, "the body is larger than max_body_bytes of the operation")
	}
	if errors.Is(err, sdbody.ErrNoMemory) {
		return nil, release, refusalBeforeOwner(call.Key, savorydeal.ReasonOverloaded, err.Error())
	}
	if err != nil {
		return nil, release, refusalBeforeOwner(call.Key, savorydeal.ReasonCanceled, "the body was not received completely: "+err.Error())
	}
	call.ContentLength = int64(len(content))
	call.BodyDigest = sha256.Sum256(content)
	return sdbody.NewHeld(content), release, nil
}
