package sdpressure

import (
	"context"
	"errors"
	"io"

	"github.com/savorydeal/savorydeal"
)

// Carrier asks the door before a request begins and teaches it from answers.
// Calls below a running request pass: their work has been paid for.
type Carrier struct {
	Clock savorydeal.Clock
	Door  *Door
	Next  savorydeal.Carrier
	// Open lets every request begin; it is for measures.
	Open bool
}

var _ savorydeal.Carrier = (*Carrier)(nil)

// Carry refuses the call as not run, or passes it on.
func (c *Carrier) Carry(ctx context.Context, call savorydeal.Call, body io.ReadCloser) (savorydeal.Answer, error) {
	first := call.Chain.Depth == 0
	if first && !c.Open {
		now := c.Clock.Now()
		call.Chain.Rank = c.Door.Rank(now, call.Chain)
		if admitted, level := c.Door.Admit(now, call.Service, call.Operation.Name, call.Chain); !admitted {
			_ = body.Close()
			return savorydeal.Answer{}, c.refusal(level)
		}
	}
	answer, err := c.Next.Carry(ctx, call, body)
	if err != nil {
		return savorydeal.Answer{}, c.refused(call, err)
	}
	answer.Body = &learningBody{ReadCloser: answer.Body, carrier: c, call: call, end: answer.End}
	return answer, nil
}

func (c *Carrier) refusal(level int) *savorydeal.Refusal {
	return &savorydeal.Refusal{
		Outcome:    savorydeal.OutcomeNotRun,
		Reason:     savorydeal.ReasonOverloaded,
		Detail:     "a service on the path of this request is overloaded; wait and send it again",
		RetryAfter: c.Door.RetryAfter(level),
		End:        &savorydeal.AnswerEnd{},
	}
}

// refused learns from a refusal and asks the caller of a first call for a wait
// that grows with the pressure.
func (c *Carrier) refused(call savorydeal.Call, err error) error {
	var refusal *savorydeal.Refusal
	if !errors.As(err, &refusal) || refusal.End == nil {
		return err
	}
	c.Door.Learn(c.Clock.Now(), call.Service, call.Operation.Name, *refusal.End)
	if call.Chain.Depth > 0 || !OfOverload(refusal.Reason) {
		return err
	}
	spread := *refusal
	spread.RetryAfter = c.Door.RetryAfter(refusal.End.Signal.DropLevel)
	return &spread
}

// OfOverload reports whether a reason of refusal says that there was too much
// to do.
func OfOverload(reason savorydeal.Reason) bool {
	switch reason {
	case savorydeal.ReasonOverloaded, savorydeal.ReasonQueueFull, savorydeal.ReasonEvicted:
		return true
	default:
		return false
	}
}

// learningBody teaches the door once the answer is complete.
type learningBody struct {
	io.ReadCloser
	carrier *Carrier
	call    savorydeal.Call
	end     *savorydeal.AnswerEnd
}

// Read reads the answer's body.
func (b *learningBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		b.carrier.Door.Learn(b.carrier.Clock.Now(), b.call.Service, b.call.Operation.Name, *b.end)
	}
	return n, err
}
