// Package sdentry is the HTTP front end of a node: it turns HTTP requests into
// calls, and their answers or refusals into HTTP responses.
package sdentry

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/savorydeal/savorydeal"
	"github.com/savorydeal/savorydeal/internal/sdbody"
	"github.com/savorydeal/savorydeal/internal/sdchain"
	"github.com/savorydeal/savorydeal/internal/sdheader"
	"github.com/savorydeal/savorydeal/internal/sdmemory"
	"github.com/savorydeal/savorydeal/internal/sdpolicy"
	"github.com/savorydeal/savorydeal/internal/sdproblem"
)

// Side is the origin of the requests that an entry serves.
type Side string

const (
	// SideOuter serves callers from outside the VM. The entry ignores their
	// Savorydeal-Chain header.
	SideOuter Side = "outer"
	// SideInner serves the onward calls of this VM's target. A call without the
	// token of an active run in its Savorydeal-Chain header gets no retries.
	SideInner Side = "inner"
)

// Entry is the http.Handler of one side. All fields but KeyPrefix and Bodies are required;
// Runs is used on the inner side only.
type Entry struct {
	Side     Side
	Clock    savorydeal.Clock
	Log      hclog.Logger
	Policies func() *sdpolicy.Table
	Runs     *sdchain.RunTable
	// Next forwards the calls that the entry accepts.
	Next savorydeal.Forwarder
	// NewRequestID returns a unique identifier.
	NewRequestID func() string
	// Observe is called once at the end of each request, unless the answer was
	// truncated or the request only asked for a key prefix.
	Observe func(Observation)
	// KeyPrefix returns a prefix for idempotency keys; this node owns the keys
	// that start with it. It returns "" if there is none at present. A nil
	// KeyPrefix offers no prefixes.
	KeyPrefix func() string
	// Bodies bounds the memory of the bodies of keyed calls; nil sets no bound.
	Bodies *sdmemory.Budget

	// bodyStallTimeout replaces defaultBodyStallTimeout in tests.
	bodyStallTimeout time.Duration
}

// Observation describes one request that has ended.
type Observation struct {
	Side    Side
	Service string
	Class   savorydeal.Class
	Outcome savorydeal.Outcome
	Reason  savorydeal.Reason
	// Latency is the time from the arrival of the request to the end of its
	// response.
	Latency time.Duration
}

var _ http.Handler = (*Entry)(nil)

// ServeHTTP forwards one request and writes its answer or refusal.
func (e *Entry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	started := e.Clock.Now()
	if e.offerKeyPrefix(w, r) {
		return
	}
	call, parent, refusal := e.newCall(r)
	if refusal == nil {
		refusal = e.forward(w, r, call, parent)
	}
	outcome, reason := savorydeal.OutcomeAnswered, savorydeal.Reason("")
	if refusal != nil {
		sdproblem.Write(w, call.Chain.RequestID, *refusal)
		outcome, reason = refusal.Outcome, refusal.Reason
	}
	e.Observe(Observation{
		Side:    e.Side,
		Service: call.Service,
		Class:   call.Chain.Class,
		Outcome: outcome,
		Reason:  reason,
		Latency: e.Clock.Now().Sub(started),
	})
}

// offerKeyPrefix sets the key prefix header of the response. It reports true if
// the request asked for the prefix only; the response is then complete.
func (e *Entry) offerKeyPrefix(w http.ResponseWriter, r *http.Request) bool {
	if e.KeyPrefix == nil {
		return false
	}
	prefix := e.KeyPrefix()
	if prefix != "" {
		w.Header().Set(sdheader.KeyPrefix, prefix)
	}
	if r.Method != http.MethodGet || r.URL.Path != sdheader.KeyPrefixPath {
		return false
	}
	if prefix == "" {
		w.WriteHeader(http.StatusServiceUnavailable)
		return true
	}
	w.Header().Set("Content-Type", "text/plain")
	_, _ = io.WriteString(w, prefix)
	return true
}

// newCall builds the call of a request. The returned run is the one that made the
// request, or nil for the first call of a chain.
func (e *Entry) newCall(r *http.Request) (savorydeal.Call, *sdchain.Run, *savorydeal.Refusal) {
	request, refusal := parseRequest(r)
	call := savorydeal.Call{Service: request.service}
	call.Chain.RequestID = e.NewRequestID()
	if refusal != nil {
		return call, nil, refusal
	}
	policyRecord, ok := e.Policies().Policy(request.service)
	if !ok {
		return call, nil, refusalBeforeOwner(request.key, savorydeal.ReasonUnknownService,
			"service "+request.service+" has no policy; add one, or correct the Host or "+sdheader.Service+" header")
	}
	operation, ok := sdpolicy.Match(policyRecord.Policy, r.Method, r.URL.Path)
	if !ok {
		return call, nil, refusalBeforeOwner(request.key, savorydeal.ReasonNoOperation,
			"no operation of service "+request.service+" matches "+r.Method+" "+r.URL.Path)
	}
	parent := e.parentRun(request)
	call = e.completeCall(call, request, policyRecord, operation, parent)
	call.Method = r.Method
	call.Path = r.URL.RequestURI()
	call.ContentLength = r.ContentLength
	refusal = checkCall(call)
	return call, parent, refusal
}

func (e *Entry) parentRun(request request) *sdchain.Run {
	if e.Side != SideInner {
		return nil
	}
	run, ok := e.Runs.Find(sdchain.RunToken(request.runToken))
	if !ok {
		return nil
	}
	run.MarkOnward()
	return run
}

func (e *Entry) completeCall(call savorydeal.Call, request request, policyRecord savorydeal.PolicyRecord, operation savorydeal.Operation, parent *sdchain.Run) savorydeal.Call {
	call.Operation = operation
	call.Headers = request.headers
	call.Key = request.key
	call.PolicyVersion = policyRecord.Version
	call.KeyRetention = policyRecord.Policy.KeyRetention
	call.Timeout = operation.Timeout
	if request.timeout > 0 {
		call.Timeout = min(call.Timeout, request.timeout)
	}
	if parent == nil {
		call.Chain.Class = operation.Class
		call.Chain.Caller = request.caller
		call.Chain.Rank = sdchain.Rank(request.caller, call.Chain.RequestID)
		if e.Side == SideOuter {
			call.Chain.RetriesGranted = operation.MaxRetries
		}
		return call
	}
	call.Chain = parent.Chain
	call.Chain.Depth++
	call.Chain.RetriesGranted = 0
	call.Timeout = min(call.Timeout, parent.Deadline.Sub(e.Clock.Now()))
	return call
}

func checkCall(call savorydeal.Call) *savorydeal.Refusal {
	if call.ContentLength > call.Operation.MaxBodyBytes {
		return refusalBeforeOwner(call.Key, savorydeal.ReasonBodyTooLarge, "the body is larger than max_body_bytes of the operation")
	}
	keyRequired := !call.Operation.Idempotent && call.Operation.Keyless == savorydeal.KeylessRefuse
	if keyRequired && call.Key == "" {
		return notRunRefusal(savorydeal.ReasonKeyRequired,
			"operation "+call.Operation.Name+" is not idempotent; send an "+sdheader.Key+" header")
	}
	return nil
}

// forward forwards the call and writes its answer. It returns the refusal if
// there is no answer.
func (e *Entry) forward(w http.ResponseWriter, r *http.Request, call savorydeal.Call, parent *sdchain.Run) *savorydeal.Refusal {
	ctx, cancel := context.WithTimeout(r.Context(), call.Timeout)
	defer cancel()
	body, release, refusal := e.readBody(w, r, &call)
	defer release()
	if refusal != nil {
		return refusal
	}
	if parent != nil {
		call.Chain.RetriesGranted = parent.Budget.Grant()
	}
	answer, err := e.Next.Forward(ctx, call, body)
	if err != nil {
		refusal := refusalOf(err)
		updateParent(parent, call, refusal.End)
		return refusal
	}
	defer answer.Body.Close()
	complete := writeAnswer(w, call, answer)
	if !complete {
		updateParent(parent, call, nil)
		e.Log.Warn("answer truncated", "request_id", call.Chain.RequestID, "service", call.Service)
		// The status is already sent. Aborting the connection shows the caller
		// that the response is incomplete.
		panic(http.ErrAbortHandler)
	}
	updateParent(parent, call, answer.End)
	return nil
}

// updateParent returns unspent retries to the run that made the call and stores
// the admission levels that arrived with the answer.
func updateParent(parent *sdchain.Run, call savorydeal.Call, end *savorydeal.AnswerEnd) {
	if parent == nil || end == nil {
		return
	}
	parent.Budget.Return(call.Chain.RetriesGranted, end.RetriesSpent)
	parent.AddAdmissionLevel(savorydeal.ServiceAdmissionLevel{Service: call.Service, DropLevel: end.Signal.DropLevel})
	for _, level := range end.AdmissionLevels {
		parent.AddAdmissionLevel(level)
	}
}

func refusalOf(err error) *savorydeal.Refusal {
	var refusal *savorydeal.Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	return &savorydeal.Refusal{
		Outcome: savorydeal.OutcomeUnknown,
		Reason:  savorydeal.ReasonTargetFailed,
		Detail:  err.Error(),
	}
}

func notRunRefusal(reason savorydeal.Reason, detail string) *savorydeal.Refusal {
	return &savorydeal.Refusal{Outcome: savorydeal.OutcomeNotRun, Reason: reason, Detail: detail}
}

// refusalBeforeOwner returns the refusal of a call that has not reached the
// owner of its key. This attempt has not run, but an earlier one with the same
// key may have, under a policy version that this node does not have.
func refusalBeforeOwner(key string, reason savorydeal.Reason, detail string) *savorydeal.Refusal {
	refusal := notRunRefusal(reason, detail)
	if key != "" {
		refusal.Outcome = savorydeal.OutcomeUnknown
		refusal.Detail += "; an earlier attempt with this key may have run"
	}
	return refusal
}

// writeAnswer writes the answer and reports whether it was sent completely.
func writeAnswer(w http.ResponseWriter, call savorydeal.Call, answer savorydeal.Answer) bool {
	header := w.Header()
	for _, field := range answer.Headers {
		header.Add(field.Name, field.Value)
	}
	header.Set(sdheader.RequestID, call.Chain.RequestID)
	w.WriteHeader(answer.Status)
	sent, err := copyAnswer(w, answer)
	if err != nil {
		return false
	}
	checkComplete(call, answer.End, sent)
	return true
}

// copyAnswer writes the body of the answer and returns the number of bytes sent.
// It flushes after each chunk so that a streamed answer is not delayed, except
// after the chunk that completes the announced length.
func copyAnswer(w http.ResponseWriter, answer savorydeal.Answer) (int64, error) {
	controller := http.NewResponseController(w)
	return sdbody.CopyChunks(answer.Body, answer.ContentLength, func(chunk []byte, last bool) error {
		if _, err := w.Write(chunk); err != nil {
			return fmt.Errorf("write answer: %w", err)
		}
		if !last {
			_ = controller.Flush()
		}
		return nil
	})
}
