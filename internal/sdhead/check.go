// Package sdhead checks the heads of HTTP/1.1 answers as their bytes are received. The parser of
// net/http repairs malformed lines in ways that change which fields a head has, and so where
// the body ends.
package sdhead

import (
	"bytes"
	"errors"
	"fmt"

	"golang.org/x/net/http/httpguts"
)

// ErrMalformed is the error of a head with a line that is no header field of HTTP/1.1.
var ErrMalformed = errors.New("malformed head of an answer")

// maxQuotedBytes bounds the part of a line that an error quotes.
const maxQuotedBytes = 64

// Check checks the head of one answer and those of the interim answers (1xx) before it. The
// zero value expects the beginning of the first. It is not safe for concurrent use.
type Check struct {
	// partial is the beginning of a line whose end is not received yet.
	partial []byte
	// lines is the number of complete lines of the present head.
	lines int
	// interim is true if the present head is that of an interim answer.
	interim bool
	// complete is true at the end of the final answer's head.
	complete bool
	err      error
}

// Add checks the bytes that were received next, up to the end of the final answer's head; what
// follows is ignored. From the end of a malformed line on, it returns an error that wraps
// ErrMalformed each time: a parser that reads ahead may drop an error once.
func (c *Check) Add(received []byte) error {
	for !c.complete && c.err == nil {
		end := bytes.IndexByte(received, '\n')
		if end < 0 {
			c.partial = append(c.partial, received...)
			return nil
		}
		line := received[:end]
		if len(c.partial) > 0 {
			line = append(c.partial, line...)
			c.partial = c.partial[:0]
		}
		received = received[end+1:]
		if err := c.endLine(line); err != nil {
			c.err = fmt.Errorf("%w: line %d: %q", err, c.lines+1, line[:min(len(line), maxQuotedBytes)])
		}
	}
	return c.err
}

// endLine checks a line without its line feed.
func (c *Check) endLine(line []byte) error {
	content, ended := bytes.CutSuffix(line, []byte("\r"))
	switch {
	case !ended:
		return ErrMalformed
	case c.lines == 0:
		_, status, _ := bytes.Cut(content, []byte(" "))
		c.interim = bytes.HasPrefix(bytes.TrimLeft(status, " "), []byte("1"))
	case len(content) == 0:
		c.lines = 0
		c.complete = !c.interim
		return nil
	case !isField(content):
		return ErrMalformed
	}
	c.lines++
	return nil
}

// isField reports whether the line is a header field, apart from its value, which net/http
// checks. A line that begins with a blank and continues the one before (obs-fold of RFC 9112) is
// none: nothing tells it from a field with a malformed name.
func isField(line []byte) bool {
	name, _, found := bytes.Cut(line, []byte(":"))
	return found && httpguts.ValidHeaderFieldName(string(name))
}
