package sdhttp

import (
	"errors"
	"io"
	"sync/atomic"
)

const (
	// freeBodyBytes is the size up to which each body is held whatever the bound of Memory
	// is: there are as many as there are connections.
	freeBodyBytes = 64 << 10
	// maxUnwrittenBytes bounds the answers of one connection that are held because earlier
	// ones are not written yet. Beyond it, no further request is read from the connection.
	maxUnwrittenBytes = 1 << 20
)

// Memory bounds the bytes of bodies that servers and pools hold together. A nil Memory has no
// bound. It is safe for concurrent use.
type Memory struct {
	limit int64
	used  atomic.Int64
}

// NewMemory returns a Memory with a bound in bytes, 0 for none.
func NewMemory(limit int64) *Memory {
	return &Memory{limit: limit}
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
	// whole is true if data is the whole body.
	whole bool
}

// firstReadBytes is the size of the first read of a body of unknown length.
const firstReadBytes = 4 << 10

// read reads a body to its end, to maximum bytes, or as long as there is room for it. length
// is its length, -1 if it is not known. The bytes counted have to be given back, also
// after an error.
func (m *Memory) read(r io.Reader, length, maximum int64) (heldBody, error) {
	var body heldBody
	if length >= 0 {
		maximum = min(maximum, length)
		if !m.grow(&body, maximum) {
			m.grow(&body, min(maximum, freeBodyBytes))
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
	if needed := max(0, capacity-freeBodyBytes) - body.counted; needed > 0 {
		if !m.take(needed) {
			return false
		}
		body.counted += needed
	}
	data := make([]byte, len(body.data), capacity)
	copy(data, body.data)
	body.data = data
	return true
}
