package sdentry

import (
	"fmt"
	"io"

	"github.com/savorydeal/savorydeal"
	"github.com/savorydeal/savorydeal/internal/sdinvariant"
)

// checkWhole takes the bytes that the caller was sent. An answer that has not
// crossed a link states no length.
func checkWhole(call savorydeal.Call, end *savorydeal.AnswerEnd, sent int64) {
	whole := end.BodyBytes == 0 || end.BodyBytes == sent
	sdinvariant.WholeAnswer.Check(whole, func() string {
		return fmt.Sprintf("request %s was sent %d bytes of %d as a whole answer", call.Chain.RequestID, sent, end.BodyBytes)
	})
}

type countingReader struct {
	r io.Reader
	n int64
}

// Read reads and counts.
func (c *countingReader) Read(p []byte) (int, error) {
	n, err := c.r.Read(p)
	c.n += int64(n)
	return n, err
}
