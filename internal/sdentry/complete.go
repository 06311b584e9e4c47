package sdentry

import (
	"fmt"

	"github.com/savorydeal/savorydeal"
	"github.com/savorydeal/savorydeal/internal/sdinvariant"
)

// checkComplete checks that the caller was sent as many bytes as the answer end
// announces. BodyBytes is zero, and nothing is checked, if the answer did not
// arrive over a link.
func checkComplete(call savorydeal.Call, end *savorydeal.AnswerEnd, sent int64) {
	complete := end.BodyBytes == 0 || end.BodyBytes == sent
	sdinvariant.WholeAnswer.Check(complete, func() string {
		return fmt.Sprintf("request %s: the answer was passed on as complete after %d of %d bytes", call.Chain.RequestID, sent, end.BodyBytes)
	})
}
