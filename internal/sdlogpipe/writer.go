// Package sdlogpipe writes log lines without blocking the code that logs. Lines
// wait in a bounded buffer, which one goroutine writes to the output in batches.
package sdlogpipe

import (
	"bytes"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxBufferedBytes bounds the buffered lines. A node logs about 10 KB/s in normal
	// operation; the buffer holds several seconds of the much higher rate during an
	// incident.
	maxBufferedBytes = 512 << 10
	// writeInterval is the pause after each flush of the buffer, so that lines
	// written in quick succession share a system call.
	writeInterval = 20 * time.Millisecond
	// maxWriteBytes bounds one write. Writes to a pipe of up to this size are atomic,
	// so that a reader of the output of several processes gets every line in one
	// piece.
	maxWriteBytes = 4096
)

// Writer buffers lines for an output. It is safe for concurrent use.
type Writer struct {
	out io.Writer

	mu       sync.Mutex
	buffered bytes.Buffer
	wake     chan struct{}
	done     chan struct{}
	closed   bool

	dropped atomic.Int64
	failed  atomic.Int64
}

// New returns a Writer that writes to out, and starts its goroutine, which Close ends.
func New(out io.Writer) *Writer {
	w := &Writer{out: out, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go w.run()
	return w
}

// Write buffers one or more complete lines and never waits for the output. If the
// buffer has no space left or the Writer is closed, it drops the lines, counts them
// and returns no error.
func (w *Writer) Write(lines []byte) (int, error) {
	w.mu.Lock()
	if w.closed || w.buffered.Len()+len(lines) > maxBufferedBytes {
		w.mu.Unlock()
		w.dropped.Add(int64(bytes.Count(lines, []byte{'\n'})))
		return len(lines), nil
	}
	w.buffered.Write(lines)
	w.mu.Unlock()
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return len(lines), nil
}

// Dropped returns the number of lines dropped by Write.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Failed returns the number of failed writes to the output. The lines of a failed
// write, and those after it in the same flush, are lost.
func (w *Writer) Failed() int64 { return w.failed.Load() }

// Close stops the goroutine once it has written the buffered lines, and waits for
// that up to the timeout. Later lines are dropped.
func (w *Writer) Close(timeout time.Duration) {
	w.mu.Lock()
	w.closed = true
	w.mu.Unlock()
	select {
	case w.wake <- struct{}{}:
	default:
	}
	select {
	case <-w.done:
	case <-time.After(timeout):
	}
}

func (w *Writer) run() {
	defer close(w.done)
	var lines bytes.Buffer
	for {
		<-w.wake
		w.mu.Lock()
		closed := w.closed
		lines.Reset()
		lines, w.buffered = w.buffered, lines
		w.mu.Unlock()
		w.flush(lines.Bytes())
		if closed {
			return
		}
		time.Sleep(writeInterval)
	}
}

// flush writes complete lines, in writes of up to maxWriteBytes.
func (w *Writer) flush(lines []byte) {
	for len(lines) > 0 {
		end := len(lines)
		if end > maxWriteBytes {
			end = 1 + bytes.LastIndexByte(lines[:maxWriteBytes], '\n')
			if end == 0 {
				// A line longer than maxWriteBytes is written alone.
				end = 1 + bytes.IndexByte(lines, '\n')
			}
		}
		if end == 0 {
			end = len(lines)
		}
		if _, err := w.out.Write(lines[:end]); err != nil {
			// The log itself cannot report this. The count is exported as a metric.
			w.failed.Add(1)
			return
		}
		lines = lines[end:]
	}
}
