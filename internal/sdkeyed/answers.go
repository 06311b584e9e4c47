package sdkeyed

import (
	"bytes"
	"context"
	"errors"
	"sync"

	"github.com/savorydeal/savorydeal"
	"github.com/savorydeal/savorydeal/internal/sdkeys"
	"github.com/savorydeal/savorydeal/internal/sdmemory"
)

// LimitAnswers bounds the memory of answers that are too large to be stored for
// resends. It must be called before the first call of Forward.
func (o *Owner) LimitAnswers(budget *sdmemory.Budget) {
	o.answers = budget
}

var errNoMemoryForAnswer = errors.New("other answers that their callers have not read take the memory for this one")

// reserveAnswer waits until there is room for the body of an answer. It takes the room
// for all of the body at once: if bodies grew into it in turn, they could wait for each
// other. The run has ended or is about to, so that the answer is not refused for want
// of room before the call's deadline.
func (o *Owner) reserveAnswer(ctx context.Context, answer savorydeal.Answer) (release func(), err error) {
	size := answer.ContentLength
	if size < 0 || size > maxAnswerBytes {
		size = maxAnswerBytes
	}
	if size <= sdkeys.MaxStoredAnswerBytes {
		return func() {}, nil
	}
	if !o.answers.Wait(ctx, size) {
		_ = answer.Body.Close()
		return func() {}, errNoMemoryForAnswer
	}
	return sync.OnceFunc(func() { o.answers.Return(size) }), nil
}

// noMemoryRefusal refuses a call whose body has no room. An earlier attempt with its key
// may have run.
func noMemoryRefusal(err error) *savorydeal.Refusal {
	return &savorydeal.Refusal{
		Outcome: savorydeal.OutcomeUnknown,
		Reason:  savorydeal.ReasonOverloaded,
		Detail:  "this attempt has not run: " + err.Error(),
	}
}

// heldAnswer is the body of an answer in memory. Close returns the memory.
type heldAnswer struct {
	*bytes.Reader
	release func()
}

// Close returns the memory of the answer to the budget.
func (a *heldAnswer) Close() error {
	a.release()
	return nil
}
