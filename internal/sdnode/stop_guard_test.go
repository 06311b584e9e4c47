package sdnode

import (
	"context"
	"errors"
	"io"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/savorydeal/savorydeal"
)

// countingCarrier counts what it is given.
type countingCarrier struct{ calls int }

func (c *countingCarrier) Carry(context.Context, savorydeal.Call, io.ReadCloser) (savorydeal.Answer, error) {
	c.calls++
	return savorydeal.Answer{}, nil
}

// A key that comes after the hand-over may be a repeat of one that has run: it
// runs no more here, and the refusal does not say that it has not run.
func TestKeyedCallAfterTheHandOverIsUnknown(t *testing.T) {
	is := is.New(t)
	var stop stopState
	stop.init()
	next := &countingCarrier{}
	guard := stop.guardKeyed(next)
	_, err := guard.Carry(context.Background(), savorydeal.Call{}, io.NopCloser(strings.NewReader("")))
	is.NoErr(err)
	stop.refuseKeyed.Store(true)
	_, err = guard.Carry(context.Background(), savorydeal.Call{}, io.NopCloser(strings.NewReader("")))
	var refusal *savorydeal.Refusal
	is.True(errors.As(err, &refusal))
	is.Equal(refusal.Outcome, savorydeal.OutcomeUnknown)
	is.Equal(next.calls, 1)
}
