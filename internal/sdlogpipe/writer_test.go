package sdlogpipe_test

import (
	"bufio"
	"fmt"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorydeal/savorydeal/internal/sdlogpipe"
)

const (
	// patience bounds what a test waits for the writer's goroutine.
	patience = 5 * time.Second
	// lineBytes and lines fill pipe and buffer many times over.
	lineBytes = 200
	lines     = 20_000
	// writeBound is far above what a line costs and far below what a reader
	// that is gone would make it wait.
	writeBound = time.Second
)

func writeMany(w *sdlogpipe.Writer) time.Duration {
	began := time.Now()
	for i := range lines {
		_, _ = fmt.Fprintf(w, "%0*d\n", lineBytes-1, i)
	}
	return time.Since(began)
}

func pipe(t *testing.T) (read, write *os.File) {
	t.Helper()
	read, write, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = read.Close(); _ = write.Close() })
	return read, write
}

// Lines come out whole and in order, also those written just before the end.
func TestLinesComeOut(t *testing.T) {
	is := is.New(t)
	var out strings.Builder
	w := sdlogpipe.New(&out)
	for i := range 100 {
		_, err := fmt.Fprintf(w, "line %d\n", i)
		is.NoErr(err)
	}
	w.Close(patience)
	got := strings.Split(strings.TrimSpace(out.String()), "\n")
	is.Equal(len(got), 100)
	is.Equal(got[99], "line 99")
	is.Equal(w.Dropped(), int64(0))
}

// A pipe that nobody reads costs lines, which are counted, and no time.
func TestFullPipe(t *testing.T) {
	is := is.New(t)
	_, write := pipe(t)
	w := sdlogpipe.New(write)
	is.True(writeMany(w) < writeBound)
	is.True(w.Dropped() > 0)
	began := time.Now()
	w.Close(50 * time.Millisecond)
	is.True(time.Since(began) < writeBound)
}

// A pipe whose reader has gone is counted as failed writes and ends nothing.
func TestClosedPipe(t *testing.T) {
	is := is.New(t)
	read, write := pipe(t)
	is.NoErr(read.Close())
	w := sdlogpipe.New(write)
	_, err := fmt.Fprintln(w, "nobody hears this")
	is.NoErr(err)
	for end := time.Now().Add(patience); w.Failed() == 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	is.True(w.Failed() > 0)
	w.Close(patience)
}

// A slow reader gets whole lines, and those that it gets and those that were
// dropped are all.
func TestSlowReader(t *testing.T) {
	is := is.New(t)
	read, write := pipe(t)
	w := sdlogpipe.New(write)
	got := make(chan int)
	go func() {
		scanner := bufio.NewScanner(read)
		count := 0
		for scanner.Scan() {
			if len(scanner.Text()) != lineBytes-1 {
				break
			}
			if count++; count%500 == 0 {
				time.Sleep(5 * time.Millisecond)
			}
		}
		got <- count
	}()
	is.True(writeMany(w) < writeBound)
	w.Close(patience)
	is.NoErr(write.Close())
	is.Equal(int64(<-got)+w.Dropped(), int64(lines))
	is.True(w.Dropped() > 0)
}

// chunks keeps each write apart.
type chunks struct {
	mu   sync.Mutex
	each []string
}

func (c *chunks) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.each = append(c.each, string(p))
	return len(p), nil
}

// Every write is of whole lines, and no longer than a pipe takes at once unless
// it is one line.
func TestWritesAreOfWholeLines(t *testing.T) {
	is := is.New(t)
	out := &chunks{}
	w := sdlogpipe.New(out)
	for i := range 200 {
		_, err := fmt.Fprintf(w, "%s\n", strings.Repeat("x", 10+37*i%900))
		is.NoErr(err)
	}
	_, err := fmt.Fprintf(w, "%s\nlast\n", strings.Repeat("y", 9000))
	is.NoErr(err)
	w.Close(patience)
	written := 0
	for _, chunk := range out.each {
		is.True(strings.HasSuffix(chunk, "\n"))
		is.True(len(chunk) <= 4096 || strings.Count(chunk, "\n") == 1)
		written += strings.Count(chunk, "\n")
	}
	is.Equal(written, 202)
}
