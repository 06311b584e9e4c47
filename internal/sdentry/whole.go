package sdentry

import (
	"fmt"

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
