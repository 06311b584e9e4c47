package savorydeal

import (
	"context"
	"io"
	"time"
)

// Header is one HTTP header field.
type Header struct {
	Name  string
	Value string
}

// Chain holds the properties that a caller's request passes on to all calls that
// are made for it. The request and these calls form a chain.
type Chain struct {
	// RequestID identifies the first caller's request over the whole chain.
	RequestID string
	Class     Class
	// Rank is a hash of caller and request ID. Every hop uses it to choose
	// which calls of a class to drop, the lowest ranks first, so that all hops
	// drop the same requests.
	Rank uint32
	// Depth is the number of hops from the first node, where it is 0.
	Depth int
	// RetriesGranted is the number of retries that this call and all of its
	// downstream calls may use together.
	RetriesGranted int
	// Caller identifies the sender of the first request. Fairness is measured
	// per caller.
	Caller string
}

// Call is one attempt to send a request to one target.
type Call struct {
	// AttemptID identifies this attempt; every attempt of a call has its own.
	AttemptID string
	Service   string
	Operation Operation
	Method    string
	// Path is the escaped path, including the query.
	Path    string
	Headers []Header
	// Key is the idempotency key; empty if the call has none.
	Key string
	// BodyDigest is the hash of the whole body; zero for a streamed body.
	BodyDigest [32]byte
	// ContentLength is the size of the body in bytes, -1 if unknown.
	ContentLength int64
	Chain         Chain
	// Timeout is the time remaining until the deadline when the call was sent.
	// VMs exchange remaining time rather than wall-clock deadlines, which clock
	// skew would distort.
	Timeout       time.Duration
	PolicyVersion int64
	// KeyRetention is how long the key's record is kept after the call finished.
	KeyRetention time.Duration
	// Fingerprint identifies requests that are equal except for their key; see
	// sdpoison. It is zero until sddispatch has set it.
	Fingerprint uint64
	// Fence is the time on this node's clock at which the lease that allows the
	// call to run ends; it bounds the call's deadline. Zero means no such limit.
	// It is not sent to other nodes.
	Fence time.Time
	// Resend is true if the call repeats an earlier call of its caller. It then
	// adds nothing to the service's retry budget. It is not sent to other nodes.
	Resend bool
}

// LoadSignal is the load of a target, which its node sends with every answer.
type LoadSignal struct {
	// Running is the number of calls now executing on the target.
	Running int
	// Queued is the number of calls waiting for it.
	Queued int
	// Limit is the current concurrency limit.
	Limit int
	// Delay is the moving average of the time that started calls spent in the
	// queue.
	Delay time.Duration
	// DropLevel is the current admission level; 0 admits every call. See
	// sdpressure for its scale.
	DropLevel int
}

// AnswerEnd holds what a node sends after the body of an answer, like the
// trailers of HTTP.
type AnswerEnd struct {
	Signal LoadSignal
	// RetriesSpent is the part of Chain.RetriesGranted that this call and its
	// downstream calls have used.
	RetriesSpent int
	// BodyBytes is the length of the complete body.
	BodyBytes int64
	// AdmissionLevels lists the admission levels of the downstream services
	// that the call has reached.
	AdmissionLevels []ServiceAdmissionLevel
}

// ServiceAdmissionLevel is the last known admission level of one service.
// DropLevel has the scale of LoadSignal.DropLevel.
type ServiceAdmissionLevel struct {
	Service   string
	DropLevel int
}

// Answer is a target's answer to a call.
type Answer struct {
	Status  int
	Headers []Header
	// ContentLength is the size of the body in bytes, -1 if unknown.
	ContentLength int64
	// Body returns io.EOF only if the complete body was received.
	Body io.ReadCloser
	// End is complete once Body has returned io.EOF.
	End *AnswerEnd
}

// Forwarder sends a call to its next hop, which is another node or the target on
// this VM, and returns the answer. The error is a *Refusal if there is no
// answer. A Forwarder reads the body at most once and closes it.
type Forwarder interface {
	Forward(ctx context.Context, call Call, body io.ReadCloser) (Answer, error)
}
