// Package sdlogpipe keeps a log from holding up those who write to it: lines
// wait in a bounded buffer and one goroutine writes them out together.
package sdlogpipe

import (
	"bytes"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// bufferBytes bounds the lines that wait. A node writes some 10 KB a second
	// in calm; this holds several seconds of a day of trouble.
	bufferBytes = 512 << 10
	// gatherFor is the time between two writes: lines that come together go out
	// in one system call.
	gatherFor = 20 * time.Millisecond
	// writeBytes bounds one write: a pipe takes so much at once or not at all,
	// so that a collector of several programs never sees a line in two parts.
	writeBytes = 4096
)

// Writer is the buffer in front of an output. Each Write is one line or more,
// and never waits for the output.
type Writer struct {
	out io.Writer

	mu      sync.Mutex
	waiting bytes.Buffer
	wake    chan struct{}
	done    chan struct{}
	closed  bool

	dropped atomic.Int64
	failed  atomic.Int64
}

// New returns a writer to out. Close ends it.
func New(out io.Writer) *Writer {
	w := &Writer{out: out, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go w.run()
	return w
}

// Write takes lines. Those that find the buffer full are dropped and counted:
// a reader that is slow or gone costs lines, not time.
func (w *Writer) Write(lines []byte) (int, error) {
	w.mu.Lock()
	if w.closed || w.waiting.Len()+len(lines) > bufferBytes {
		w.mu.Unlock()
		w.dropped.Add(int64(bytes.Count(lines, []byte{'\n'})))
		return len(lines), nil
	}
	w.waiting.Write(lines)
	w.mu.Unlock()
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return len(lines), nil
}

// Dropped is the number of lines that found no room.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Failed is the number of writes that the output refused; their lines are lost.
func (w *Writer) Failed() int64 { return w.failed.Load() }

// Close writes what waits, for at most the time, and ends the writer.
func (w *Writer) Close(within time.Duration) {
	w.mu.Lock()
	w.closed = true
	w.mu.Unlock()
	select {
	case w.wake <- struct{}{}:
	default:
	}
	select {
	case <-w.done:
	case <-time.After(within):
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
		lines, w.waiting = w.waiting, lines
		w.mu.Unlock()
		w.flush(lines.Bytes())
		if closed {
			return
		}
		time.Sleep(gatherFor)
	}
}

// flush writes whole lines, as many at once as a pipe takes together.
func (w *Writer) flush(lines []byte) {
	for len(lines) > 0 {
		end := len(lines)
		if end > writeBytes {
			end = 1 + bytes.LastIndexByte(lines[:writeBytes], '\n')
			if end == 0 {
				// One line that is longer goes out alone.
				end = 1 + bytes.IndexByte(lines, '\n')
			}
		}
		if end == 0 {
			end = len(lines)
		}
		if _, err := w.out.Write(lines[:end]); err != nil {
			// A log has nowhere else to tell of this; the count is a metric.
			w.failed.Add(1)
			return
		}
		lines = lines[end:]
	}
}
