package sdbody

import (
	"errors"
	"fmt"
	"io"
	"sync"
)

// ChunkBytes is the size of the buffer with which CopyChunks copies bodies.
const ChunkBytes = 32 << 10

var chunkPool = sync.Pool{New: func() any {
	chunk := make([]byte, ChunkBytes)
	return &chunk
}}

// CopyChunks calls send for each chunk of the body and returns the number of
// bytes read. last is true for the chunk that reaches expectedLength (-1 if not
// known), so that send can leave it in its buffer and the end of the body goes out
// in the same write. send must not keep the chunk.
func CopyChunks(body io.Reader, expectedLength int64, send func(chunk []byte, last bool) error) (int64, error) {
	chunk := chunkPool.Get().(*[]byte)
	defer chunkPool.Put(chunk)
	var sent int64
	for {
		n, err := body.Read(*chunk)
		sent += int64(n)
		if n > 0 {
			if err := send((*chunk)[:n], sent == expectedLength); err != nil {
				return sent, err
			}
		}
		if errors.Is(err, io.EOF) {
			return sent, nil
		}
		if err != nil {
			return sent, fmt.Errorf("read body: %w", err)
		}
	}
}
