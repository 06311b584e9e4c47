// Package sdbody buffers small request bodies for further attempts and copies
// large bodies in chunks, so that memory stays bounded.
package sdbody

import (
	"bytes"
	"errors"
	"fmt"
	"io"

	"github.com/savorydeal/savorydeal/internal/sdmemory"
)

// MaxReplayBytes is the size of the largest body that is kept for another
// attempt.
const MaxReplayBytes = 64 << 10

// ErrTooLarge means that a body exceeds the limit given to ReadLimited.
var ErrTooLarge = errors.New("body is larger than the limit")

// Body is a request body that can be opened more than once if it is at most
// MaxReplayBytes long. It is not safe for concurrent use.
type Body struct {
	// buffered is the beginning of the body, of at most MaxReplayBytes+1 bytes.
	buffered []byte
	// remainder is what follows buffered, unless complete.
	remainder io.ReadCloser
	// complete is true if buffered is the complete body.
	complete bool
	opened   bool
}

// New buffers the beginning of r. A body of at most MaxReplayBytes can be
// opened any number of times, a larger one once.
func New(r io.ReadCloser) (*Body, error) {
	buffered, err := io.ReadAll(io.LimitReader(r, MaxReplayBytes+1))
	if err != nil {
		_ = r.Close()
		return nil, fmt.Errorf("read request body: %w", err)
	}
	body := &Body{buffered: buffered, remainder: r}
	if len(buffered) <= MaxReplayBytes {
		body.complete = true
		_ = r.Close()
	}
	return body, nil
}

// Open returns the body from its start. It reports false if the body is too
// large to keep and an earlier attempt has opened it.
func (b *Body) Open() (io.ReadCloser, bool) {
	if b.complete {
		return io.NopCloser(bytes.NewReader(b.buffered)), true
	}
	if b.opened {
		return nil, false
	}
	b.opened = true
	return &onceBody{Reader: io.MultiReader(bytes.NewReader(b.buffered), b.remainder), remainder: b.remainder}, true
}

// Length returns the size of the body in bytes. It reports false if only the
// beginning of the body is buffered; the size is then that of the buffer.
func (b *Body) Length() (int64, bool) {
	return int64(len(b.buffered)), b.complete
}

// Prefix returns the first bytes of the body, at most MaxReplayBytes. The
// caller must not change them.
func (b *Body) Prefix() []byte {
	return b.buffered[:min(len(b.buffered), MaxReplayBytes)]
}

// CanReopen reports whether the next Open will succeed.
func (b *Body) CanReopen() bool {
	return b.complete || !b.opened
}

// onceBody is a body that is too large to be buffered: its buffered beginning,
// followed by the bytes that are still unread.
type onceBody struct {
	io.Reader
	remainder io.Closer
}

// Close closes the unread remainder.
func (b *onceBody) Close() error {
	return b.remainder.Close()
}

// ErrNoMemory means that a budget has no room for a body.
var ErrNoMemory = errors.New("the bodies of other requests take the memory for this one")

const (
	// heldCost is what a byte of a body takes while the body is read: the buffer that
	// grows and the one that it is copied from.
	heldCost = 2
	// freeBytes is the part of a body's cost that counts against no budget, so that
	// small bodies are read while large ones are refused.
	freeBytes = 16 << 10
)

// Held is a complete body in memory.
type Held struct {
	*bytes.Reader
	content []byte
}

// NewHeld returns a body of the content.
func NewHeld(content []byte) *Held {
	return &Held{Reader: bytes.NewReader(content), content: content}
}

// Close does nothing.
func (*Held) Close() error { return nil }

// ReadWithin reads a complete body of at most limit bytes, as far as the budget has
// room for it, and closes it. The caller must call release when it no longer holds the
// content. For a larger body the error is ErrTooLarge, without room ErrNoMemory. The
// content of a Held takes nothing from the budget.
func ReadWithin(r io.ReadCloser, limit int64, budget *sdmemory.Budget) (content []byte, release func(), err error) {
	if held, ok := r.(*Held); ok {
		content, err = ReadLimited(held, limit)
		return content, func() {}, err
	}
	defer r.Close()
	var taken int64
	release = func() { budget.Return(taken) }
	chunk := chunkPool.Get().(*[]byte)
	defer chunkPool.Put(chunk)
	for {
		n, err := r.Read(*chunk)
		length := int64(len(content) + n)
		if length > limit {
			return nil, release, ErrTooLarge
		}
		if cost := heldCost*length - freeBytes; cost > taken {
			if !budget.Take(cost - taken) {
				return nil, release, ErrNoMemory
			}
			taken = cost
		}
		content = append(content, (*chunk)[:n]...)
		if errors.Is(err, io.EOF) {
			return content, release, nil
		}
		if err != nil {
			return nil, release, fmt.Errorf("read body: %w", err)
		}
	}
}

// ReadLimited reads a complete body of at most limit bytes and closes it. For a
// larger body it returns ErrTooLarge. The content of a Held is not copied.
func ReadLimited(r io.ReadCloser, limit int64) ([]byte, error) {
	defer r.Close()
	if held, ok := r.(*Held); ok && held.Len() == len(held.content) {
		if int64(len(held.content)) > limit {
			return nil, ErrTooLarge
		}
		return held.content, nil
	}
	body, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err != nil {
		return nil, fmt.Errorf("read body: %w", err)
	}
	if int64(len(body)) > limit {
		return nil, ErrTooLarge
	}
	return body, nil
}
