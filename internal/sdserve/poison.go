package sdserve

import (
	"context"
	"time"

	"github.com/savorydeal/savorydeal"
)

// PoisonHooks connects a Server to the detection of requests that crash their
// targets. Any hook may be nil; the zero value refuses no request.
type PoisonHooks struct {
	// Check returns the refusal of a call that must not run, or nil if it may.
	Check func(now time.Time, call savorydeal.Call) *savorydeal.Refusal
	// OnCrash is called when the connection to the target broke during a call,
	// with the time that the call had run. It returns once other nodes have
	// received the report or a timeout has passed; only then does the caller get
	// its refusal.
	OnCrash func(call savorydeal.Call, ranFor time.Duration)
	// OnSuccess is called when the target has answered a call completely.
	OnSuccess func(call savorydeal.Call)
}

func (p PoisonHooks) check(now time.Time, call savorydeal.Call) *savorydeal.Refusal {
	if p.Check == nil {
		return nil
	}
	return p.Check(now, call)
}

func (p PoisonHooks) succeeded(call savorydeal.Call) {
	if p.OnSuccess != nil {
		p.OnSuccess(call)
	}
}

// SetPoisonHooks sets the hooks. It must be called before the first Forward.
func (s *Server) SetPoisonHooks(hooks PoisonHooks) {
	s.poison = hooks
}

// WastedRuns returns how many runs since the start have ended on the target
// after their caller had disconnected or their deadline had passed.
func (s *Server) WastedRuns() int64 {
	return s.wasted.Load()
}

// reportFailure counts or reports a run that ended without an answer. It is
// called before the caller gets its refusal.
func (e *execution) reportFailure(reason savorydeal.Reason) {
	switch reason {
	case savorydeal.ReasonTargetCrashed:
		if e.server.poison.OnCrash != nil {
			e.server.poison.OnCrash(e.call, e.server.clock.Now().Sub(e.started))
		}
	case savorydeal.ReasonCanceled, savorydeal.ReasonDeadline:
		e.server.wasted.Add(1)
	}
}

// reportBrokenAnswer reports a run whose answer ended before it was complete.
func (e *execution) reportBrokenAnswer(ctx context.Context) {
	if ctx.Err() != nil {
		e.reportFailure(savorydeal.ReasonCanceled)
		return
	}
	e.reportFailure(savorydeal.ReasonTargetCrashed)
}
