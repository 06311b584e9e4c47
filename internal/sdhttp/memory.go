package sdhttp

import (
	"errors"
	"io"
	"sync/atomic"
)

const (
	// freeBodyBytes is the size up to which each body is held whatever the bound of bodies
	// is: there are as many as there are connections. The bound of requests counts the
	// first freeBodyBytes of their bodies.
	freeBodyBytes = 64 << 10
	// freeAnswerBytes is the same for an answer that Pool.Do reads.
	freeAnswerBytes = 16 << 10
	// ordinaryRequestBytes is the memory up to which a request may use the whole bound of
	// requests; others may use largeRequestShare of it. So heads of very many fields leave
	// room for requests of ordinary clients, which take about 10 KB.
	ordinaryRequestBytes = 32 << 10
	largeRequestShare    = 0.75
	// maxUnwrittenBytes bounds the answers of one connection that are held because earlier
	// ones are not written yet. Beyond it, no further request is read from the connection.
	maxUnwrittenBytes = 1 << 20
)

// Memory bounds the bytes that servers and pools hold together. A nil Memory has no
// bound. It is safe for concurrent use.
type Memory struct {
	// limit is the bound of bodies beyond freeBodyBytes of each, requestLimit that of heads
	// of requests and the first freeBodyBytes of their bodies; 0 is none.
	limit, requestLimit int64
	used, requestUsed   atomic.Int64
}

// NewMemory returns a Memory with a bound in bytes, 0 for none.
func NewMemory(limit int64) *Memory {
	return &Memory{limit: limit}
}

// NewBoundedMemory returns a Memory that also bounds the heads of requests and the beginnings
// of their bodies.
func NewBoundedMemory(limit, requestLimit int64) *Memory {
	return &Memory{limit: limit, requestLimit: requestLimit}
}

// RequestsUsed returns the bytes of heads and beginnings of bodies that are held.
func (m *Memory) RequestsUsed() int64 {
	if m == nil {
		return 0
	}
	return m.requestUsed.Load()
}

// takeRequest counts further bytes of a request, of which held are counted already, if there
// is room for them. Otherwise it reports false.
func (m *Memory) takeRequest(bytes, held int64) bool {
	if m == nil {
		return true
	}
	limit := m.requestLimit
	if held+bytes > ordinaryRequestBytes {
		limit = int64(largeRequestShare * float64(limit))
	}
	if m.requestUsed.Add(bytes) <= limit || limit == 0 {
		return true
	}
	m.requestUsed.Add(-bytes)
	return false
}

func (m *Memory) giveRequest(bytes int64) {
	if m != nil {
		m.requestUsed.Add(-bytes)
	}
}

// requestsCrowded reports whether half of the bound of requests is used.
func (m *Memory) requestsCrowded() bool {
	return m != nil && m.requestLimit > 0 && m.requestUsed.Load() > m.requestLimit/2
}

// Used returns the bytes that are held.
func (m *Memory) Used() int64 {
	if m == nil {
		return 0
	}
	return m.used.Load()
}

// take counts further bytes if there is room for them. Otherwise it reports false.
func (m *Memory) take(bytes int64) bool {
	if m == nil {
		return true
	}
	if m.used.Add(bytes) <= m.limit || m.limit == 0 {
		return true
	}
	m.used.Add(-bytes)
	return false
}

// force counts bytes that are held already.
func (m *Memory) force(bytes int64) {
	if m != nil {
		m.used.Add(bytes)
	}
}

// give returns bytes that were counted.
func (m *Memory) give(bytes int64) { m.force(-bytes) }

// isFull reports whether there is no room for another body.
func (m *Memory) isFull() bool {
	return m != nil && m.limit > 0 && m.used.Load()+freeBodyBytes > m.limit
}

// heldBody is a body, or its beginning, and the bytes that were counted for it.
type heldBody struct {
	data    []byte
	counted int64
	// request is true for the body of a request. requestCounted are the bytes that the bound
	// of requests counts for the request, startCounted those of its body among them.
	request                      bool
	requestCounted, startCounted int64
	// whole is true if data is the whole body.
	whole bool
}

// free returns the size up to which the body is held whatever the bound of bodies is.
func (b *heldBody) free() int64 {
	if b.request {
		return freeBodyBytes
	}
	return freeAnswerBytes
}

// firstReadBytes is the size of the first read of a body of unknown length.
const firstReadBytes = 4 << 10

// heldAnswer is what Memory has counted for the answers that Pool.Do has read for a request of
// a Server. The server counts its answer in place of them, so that there is no moment at
// which an answer is held and not counted.
type heldAnswer struct {
	counted int64
}

// read reads a body to its end, to maximum bytes, or as long as there is room for it. length
// is its length, -1 if it is not known. The bytes counted have to be given back, also
// after an error.
func (m *Memory) read(r io.Reader, length, maximum int64) (heldBody, error) {
	return m.readBody(r, length, maximum, heldBody{})
}

// readRequest does the same for the body of a request for whose head bytes are counted.
func (m *Memory) readRequest(r io.Reader, length, maximum, headCounted int64) (heldBody, error) {
	return m.readBody(r, length, maximum, heldBody{request: true, requestCounted: headCounted})
}

func (m *Memory) readBody(r io.Reader, length, maximum int64, body heldBody) (heldBody, error) {
	if length >= 0 {
		maximum = min(maximum, length)
		if !m.grow(&body, maximum) && !m.grow(&body, min(maximum, body.free())) {
			return body, nil
		}
	}
	for {
		if length >= 0 && int64(len(body.data)) == length {
			body.whole = true
			return body, nil
		}
		if int64(len(body.data)) == maximum {
			return body, nil
		}
		if len(body.data) == cap(body.data) && !m.grow(&body, min(maximum, max(firstReadBytes, 2*int64(cap(body.data))))) {
			return body, nil
		}
		n, err := r.Read(body.data[len(body.data):cap(body.data)])
		body.data = body.data[:len(body.data)+n]
		switch {
		case errors.Is(err, io.EOF) && (length < 0 || int64(len(body.data)) == length):
			body.whole = true
			return body, nil
		case errors.Is(err, io.EOF):
			return body, io.ErrUnexpectedEOF
		case err != nil:
			return body, err
		}
	}
}

// grow makes room for a number of bytes in all and reports whether Memory has it.
func (m *Memory) grow(body *heldBody, capacity int64) bool {
	start, needed := int64(0), max(0, capacity-body.free())-body.counted
	if body.request {
		start = max(0, min(capacity, freeBodyBytes)-body.startCounted)
	}
	if start > 0 && !m.takeRequest(start, body.requestCounted) {
		return false
	}
	if needed > 0 && !m.take(needed) {
		m.giveRequest(start)
		return false
	}
	body.startCounted += start
	body.requestCounted += start
	body.counted += max(0, needed)
	data := make([]byte, len(body.data), capacity)
	copy(data, body.data)
	body.data = data
	return true
}
