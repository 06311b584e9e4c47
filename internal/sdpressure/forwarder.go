package sdpressure

import (
	"context"
	"errors"
	"io"

	"github.com/savorydeal/savorydeal"
)

// Forwarder consults the Shedder before a request starts, and reports to it the
// levels in answers and refusals. It never refuses the onward calls of a run, since
// work has already been spent on their request.
type Forwarder struct {
	Clock   savorydeal.Clock
	Shedder *Shedder
	Next    savorydeal.Forwarder
	// AdmitAll turns refusals off, for benchmarks without this mechanism.
	AdmitAll bool
}

var _ savorydeal.Forwarder = (*Forwarder)(nil)

// Forward refuses the call as not run, or forwards it to Next.
func (f *Forwarder) Forward(ctx context.Context, call savorydeal.Call, body io.ReadCloser) (savorydeal.Answer, error) {
	firstNode := call.Chain.Depth == 0
	if firstNode && !f.AdmitAll {
		now := f.Clock.Now()
		call.Chain.Rank = f.Shedder.Rank(now, call.Chain)
		if admitted, level := f.Shedder.Admit(now, call.Service, call.Operation.Name, call.Chain); !admitted {
			_ = body.Close()
			return savorydeal.Answer{}, f.refusal(level)
		}
	}
	answer, err := f.Next.Forward(ctx, call, body)
	if err != nil {
		return savorydeal.Answer{}, f.observeRefusal(call, err)
	}
	answer.Body = &observedBody{ReadCloser: answer.Body, forwarder: f, call: call, end: answer.End}
	return answer, nil
}

func (f *Forwarder) refusal(level int) *savorydeal.Refusal {
	return &savorydeal.Refusal{
		Outcome:    savorydeal.OutcomeNotRun,
		Reason:     savorydeal.ReasonOverloaded,
		Detail:     "a service on the path of this request is overloaded; wait and send it again",
		RetryAfter: f.Shedder.RetryAfter(level),
		End:        &savorydeal.AnswerEnd{},
	}
}

// observeRefusal reports the levels in a refusal to the Shedder. At the first node
// of a request that was refused because of overload, it also replaces the wait for
// the caller by one that grows with the level.
func (f *Forwarder) observeRefusal(call savorydeal.Call, err error) error {
	var refusal *savorydeal.Refusal
	if !errors.As(err, &refusal) || refusal.End == nil {
		return err
	}
	f.Shedder.Observe(f.Clock.Now(), call.Service, call.Operation.Name, *refusal.End)
	if call.Chain.Depth > 0 || !IsOverload(refusal.Reason) {
		return err
	}
	jittered := *refusal
	jittered.RetryAfter = f.Shedder.RetryAfter(refusal.End.Signal.DropLevel)
	return &jittered
}

// IsOverload reports whether a reason means that a call was refused because of
// overload.
func IsOverload(reason savorydeal.Reason) bool {
	switch reason {
	case savorydeal.ReasonOverloaded, savorydeal.ReasonQueueFull, savorydeal.ReasonEvicted:
		return true
	default:
		return false
	}
}

// observedBody reports the levels in an answer's end to the Shedder once the body
// is complete.
type observedBody struct {
	io.ReadCloser
	forwarder *Forwarder
	call      savorydeal.Call
	end       *savorydeal.AnswerEnd
}

// Read reads the answer's body.
func (b *observedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		b.forwarder.Shedder.Observe(b.forwarder.Clock.Now(), b.call.Service, b.call.Operation.Name, *b.end)
	}
	return n, err
}
