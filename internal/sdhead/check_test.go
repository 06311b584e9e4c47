package sdhead_test

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/savorydeal/savorydeal/internal/sdgolden"
	"github.com/savorydeal/savorydeal/internal/sdhead"
)

// check checks an answer in pieces of a size. A malformed line has to be found again in what
// follows.
func check(answer string, size int) error {
	var c sdhead.Check
	for len(answer) > 0 {
		n := min(size, len(answer))
		err := c.Add([]byte(answer[:n]))
		if err != nil && (!errors.Is(err, sdhead.ErrMalformed) || c.Add([]byte("A: b\r\n\r\n")) == nil) {
			return fmt.Errorf("wrong error %w, or dropped later", err)
		}
		if err != nil {
			return err
		}
		answer = answer[n:]
	}
	return nil
}

// Guards against lines that net/http repairs: the golden file has what is found in the head of
// an answer with each of them, whole and byte by byte.
func TestMalformedLines(t *testing.T) {
	const head, end = "HTTP/1.1 200 OK\r\nA: b\r\n", "Content-Length: 2\r\n\r\nok"
	var found strings.Builder
	for _, line := range []string{
		"X: v\r\n", "X:\r\n", "X:v:w\r\n", "X:  v\t w \t\r\n", "!#$%&'*+-.^_`|~09azAZ: v\r\n", "X: \xff\r\n",
		"X Y: v\r\n", "X : v\r\n", " X: v\r\n", "Content-Length : 5\r\n", " Content-Length: 5\r\n", "Transfer-Encoding : chunked\r\n",
		"X\tY: v\r\n", "X\t: v\r\n", "\tX: v\r\n", "X\x01Y: v\r\n", "\x00X: v\r\n", "X\x7f: v\r\n", "X\rY: v\r\n", "\rX: v\r\n",
		"X\nY: v\r\n", "\nX: v\r\n", "X: v\nY: w\r\n", "X: v\n\r\n", ": v\r\n", "X\r\n", "\xffX: v\r\n", "X(: v\r\n", strings.Repeat("X ", 100) + ": v\r\n",
	} {
		answer := head + line + end
		whole := check(answer, len(answer))
		if inBytes := check(answer, 1); fmt.Sprint(inBytes) != fmt.Sprint(whole) {
			t.Errorf("%q: %v byte by byte, %v whole", line, inBytes, whole)
		}
		fmt.Fprintf(&found, "%q: %v\n", line, whole)
	}
	sdgolden.Expect(t, "malformed_lines", found.String())
}

// What follows the head of the final answer is not checked; the heads of interim answers are.
func TestOnlyHeadsAreChecked(t *testing.T) {
	const interim = "HTTP/1.1 103 Early Hints\r\nA: b\r\n"
	for _, c := range []struct {
		answer    string
		malformed bool
	}{
		{"HTTP/1.1 200\r\n\r\nX Y: v\r\n", false},
		{interim + "\r\nHTTP/1.1 204 No Content\r\n\r\n\n", false},
		{"HTTP/1.1  100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nX Y: v\r\n\r\n", true}, // net/http allows further blanks
		{interim + "X Y: v\r\n\r\n", true},
		{interim + "\r\nHTTP/1.1 200 OK\r\nX Y: v\r\n\r\n", true},
		{"HTTP/1.1 200 OK\nA: b\r\n\r\n", true},
	} {
		for size := 1; size <= len(c.answer); size++ {
			if err := check(c.answer, size); (err != nil) != c.malformed {
				t.Errorf("%q in pieces of %d bytes: %v", c.answer, size, err)
			}
		}
	}
}
