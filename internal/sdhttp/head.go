package sdhttp

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"strings"
)

const (
	// fieldBytes is the memory that one header field takes in addition to its bytes, and
	// headCopies the number of copies of a head: it is parsed, copied for the target's node
	// and for the target. A head of 16,384 bytes with 2,700 fields takes 0.8 MB.
	fieldBytes = 280
	headCopies = 3
)

// errHeadRefused is the error of a head for which Memory has no room.
var errHeadRefused = errors.New("no memory for the request head")

// replayReader returns the bytes of pending before those of the connection.
type replayReader struct {
	pending []byte
	conn    io.Reader
}

func (r *replayReader) Read(data []byte) (int, error) {
	if len(r.pending) == 0 {
		r.pending = nil
		return r.conn.Read(data)
	}
	n := copy(data, r.pending)
	r.pending = r.pending[n:]
	return n, nil
}

// headScan finds the end of a head, which is an empty line, and counts its lines.
type headScan struct {
	scanned, lines int
	complete       bool
}

// scan continues in the bytes received so far.
func (s *headScan) scan(received []byte) {
	for !s.complete {
		length := bytes.IndexByte(received[s.scanned:], '\n')
		if length < 0 {
			return
		}
		line := received[s.scanned : s.scanned+length]
		s.scanned += length + 1
		s.lines++
		s.complete = len(line) == 0 || len(line) == 1 && line[0] == '\r'
	}
}

// memoryBytes returns the memory that the parsed head takes.
func (s *headScan) memoryBytes() int64 {
	return int64(headCopies*s.scanned + fieldBytes*s.lines)
}

// awaitHead waits until a whole head has been received and leaves it in the reader: a parsed
// head can take fifty times its bytes, and this is known only at its end.
func (c *serverConn) awaitHead() (headScan, error) {
	var scan headScan
	for {
		received, _ := c.reader.Peek(c.reader.Buffered())
		if scan.scan(received); scan.complete {
			return scan, nil
		}
		if len(received) == readBufferBytes {
			return c.awaitLongHead(scan)
		}
		if _, err := c.reader.Peek(len(received) + 1); err != nil {
			return scan, unexpectedEnd(err)
		}
	}
}

// awaitLongHead does the same for a head that is longer than the reader's buffer.
func (c *serverConn) awaitLongHead(scan headScan) (headScan, error) {
	received := make([]byte, readBufferBytes, 2*readBufferBytes)
	_, _ = io.ReadFull(c.reader, received) // all of it is buffered
	for {
		if scan.scan(received); scan.complete {
			c.source.pending = append(received, c.source.pending...)
			return scan, nil
		}
		if len(received) == cap(received) {
			received = append(make([]byte, 0, 2*cap(received)), received...)
		}
		n, err := c.source.Read(received[len(received):cap(received)])
		received = received[:len(received)+n]
		if err != nil {
			return scan, unexpectedEnd(err)
		}
	}
}

func unexpectedEnd(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// readHead reads and parses a head and counts its memory in ex.
func (c *serverConn) readHead(limits Limits, ex *exchange) (*http.Request, error) {
	c.conn.limitReads(int64(limits.MaxHeaderBytes))
	defer c.conn.unlimitReads()
	scan, err := c.awaitHead()
	if err != nil {
		return nil, err
	}
	if !c.server.Memory.takeRequest(scan.memoryBytes(), 0) {
		return nil, errHeadRefused
	}
	ex.headHeld = scan.memoryBytes()
	return http.ReadRequest(c.reader)
}

// refuseHead answers a request whose head is not parsed, and closes the connection, since the
// end of the request is not known.
func (c *serverConn) refuseHead() {
	request := &Request{Header: http.Header{}}
	if line, err := c.reader.ReadSlice('\n'); err == nil || errors.Is(err, bufio.ErrBufferFull) {
		request.Method, request.Target, _ = strings.Cut(string(line[:min(len(line), maxRefusedLine)]), " ")
		request.Target, _, _ = strings.Cut(request.Target, " ")
	}
	ex := &exchange{busy: true, closeRequested: true}
	c.server.active.Add(1)
	if !c.enqueue(ex) {
		c.server.active.Add(-1)
		c.linger()
		return
	}
	c.handle(request, ex)
	_, _ = io.Copy(io.Discard, c.reader)
}

// maxRefusedLine is the part of a request line that Busy gets if the head is not parsed.
const maxRefusedLine = 256
