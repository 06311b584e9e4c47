package sdwire

import (
	"time"

	"github.com/savorydeal/savorydeal"
	"github.com/savorydeal/savorydeal/internal/sdpeerpb"
)

// EncodeCall converts a call to its wire type.
func EncodeCall(call savorydeal.Call) *sdpeerpb.CallHead {
	return &sdpeerpb.CallHead{
		TryId:         call.AttemptID,
		Service:       call.Service,
		Operation:     encodeOperation(call),
		Method:        call.Method,
		Path:          call.Path,
		Headers:       encodeHeaders(call.Headers),
		Key:           call.Key,
		BodyDigest:    call.BodyDigest[:],
		ContentLength: call.ContentLength,
		Chain:         encodeChain(call.Chain),
		TimeoutNs:     int64(call.Timeout),
		PolicyVersion: call.PolicyVersion,
		Fingerprint:   call.Fingerprint,
	}
}

// DecodeCall converts a call from its wire type. Missing fields become zero values.
func DecodeCall(head *sdpeerpb.CallHead) savorydeal.Call {
	call := savorydeal.Call{
		AttemptID:     head.GetTryId(),
		Service:       head.GetService(),
		Operation:     decodeOperation(head.GetOperation()),
		Method:        head.GetMethod(),
		Path:          head.GetPath(),
		Headers:       decodeHeaders(head.GetHeaders()),
		Key:           head.GetKey(),
		ContentLength: head.GetContentLength(),
		Chain:         decodeChain(head.GetChain()),
		Timeout:       time.Duration(head.GetTimeoutNs()),
		PolicyVersion: head.GetPolicyVersion(),
		Fingerprint:   head.GetFingerprint(),
		KeyRetention:  time.Duration(head.GetOperation().GetKeyRetentionNs()),
	}
	copy(call.BodyDigest[:], head.GetBodyDigest())
	return call
}

func encodeOperation(call savorydeal.Call) *sdpeerpb.Operation {
	return &sdpeerpb.Operation{
		Name:           call.Operation.Name,
		Class:          string(call.Operation.Class),
		Idempotent:     call.Operation.Idempotent,
		Keyless:        string(call.Operation.Keyless),
		MaxBodyBytes:   call.Operation.MaxBodyBytes,
		TargetRefusals: call.Operation.TargetRefusals,
		KeyRetentionNs: int64(call.KeyRetention),
	}
}

func decodeOperation(operation *sdpeerpb.Operation) savorydeal.Operation {
	return savorydeal.Operation{
		Name:           operation.GetName(),
		Class:          savorydeal.Class(operation.GetClass()),
		Idempotent:     operation.GetIdempotent(),
		Keyless:        savorydeal.Keyless(operation.GetKeyless()),
		MaxBodyBytes:   operation.GetMaxBodyBytes(),
		TargetRefusals: operation.GetTargetRefusals(),
	}
}

func encodeChain(chain savorydeal.Chain) *sdpeerpb.Chain {
	return &sdpeerpb.Chain{
		RequestId:      chain.RequestID,
		Class:          string(chain.Class),
		Rank:           chain.Rank,
		Depth:          uint32(chain.Depth),
		RetriesGranted: uint32(chain.RetriesGranted),
		Caller:         chain.Caller,
	}
}

func decodeChain(chain *sdpeerpb.Chain) savorydeal.Chain {
	return savorydeal.Chain{
		RequestID:      chain.GetRequestId(),
		Class:          savorydeal.Class(chain.GetClass()),
		Rank:           chain.GetRank(),
		Depth:          int(chain.GetDepth()),
		RetriesGranted: int(chain.GetRetriesGranted()),
		Caller:         chain.GetCaller(),
	}
}

func encodeHeaders(headers []savorydeal.Header) []*sdpeerpb.Header {
	encoded := make([]*sdpeerpb.Header, 0, len(headers))
	for _, header := range headers {
		encoded = append(encoded, &sdpeerpb.Header{Name: header.Name, Value: header.Value})
	}
	return encoded
}

func decodeHeaders(headers []*sdpeerpb.Header) []savorydeal.Header {
	decoded := make([]savorydeal.Header, 0, len(headers))
	for _, header := range headers {
		decoded = append(decoded, savorydeal.Header{Name: header.GetName(), Value: header.GetValue()})
	}
	return decoded
}

// EncodeAnswerHead converts the head of an answer to its wire type. The content
// length is sent plus one, so that a missing field means an unknown length (-1).
func EncodeAnswerHead(answer savorydeal.Answer) *sdpeerpb.AnswerHead {
	return &sdpeerpb.AnswerHead{
		Status:               int32(answer.Status),
		Headers:              encodeHeaders(answer.Headers),
		ContentLengthPlusOne: answer.ContentLength + 1,
	}
}

// DecodeAnswerHead converts the head of an answer from its wire type.
func DecodeAnswerHead(head *sdpeerpb.AnswerHead) savorydeal.Answer {
	return savorydeal.Answer{
		Status:        int(head.GetStatus()),
		Headers:       decodeHeaders(head.GetHeaders()),
		ContentLength: head.GetContentLengthPlusOne() - 1,
	}
}

// EncodeAnswerEnd converts the answer end to its wire type.
func EncodeAnswerEnd(end savorydeal.AnswerEnd) *sdpeerpb.AnswerEnd {
	encoded := &sdpeerpb.AnswerEnd{
		Signal:       encodeSignal(end.Signal),
		RetriesSpent: uint32(end.RetriesSpent),
		BodyBytes:    end.BodyBytes,
	}
	for _, level := range end.AdmissionLevels {
		encoded.Pressure = append(encoded.Pressure, &sdpeerpb.ServicePressure{
			Service:   level.Service,
			DropLevel: int32(level.DropLevel),
		})
	}
	return encoded
}

// DecodeAnswerEnd converts the answer end from its wire type.
func DecodeAnswerEnd(end *sdpeerpb.AnswerEnd) savorydeal.AnswerEnd {
	decoded := savorydeal.AnswerEnd{
		Signal:       decodeSignal(end.GetSignal()),
		RetriesSpent: int(end.GetRetriesSpent()),
		BodyBytes:    end.GetBodyBytes(),
	}
	for _, level := range end.GetPressure() {
		decoded.AdmissionLevels = append(decoded.AdmissionLevels, savorydeal.ServiceAdmissionLevel{
			Service:   level.GetService(),
			DropLevel: int(level.GetDropLevel()),
		})
	}
	return decoded
}

func encodeSignal(signal savorydeal.LoadSignal) *sdpeerpb.LoadSignal {
	return &sdpeerpb.LoadSignal{
		Running:   uint32(signal.Running),
		Queued:    uint32(signal.Queued),
		Limit:     uint32(signal.Limit),
		DelayNs:   int64(signal.Delay),
		DropLevel: int32(signal.DropLevel),
	}
}

func decodeSignal(signal *sdpeerpb.LoadSignal) savorydeal.LoadSignal {
	return savorydeal.LoadSignal{
		Running:   int(signal.GetRunning()),
		Queued:    int(signal.GetQueued()),
		Limit:     int(signal.GetLimit()),
		Delay:     time.Duration(signal.GetDelayNs()),
		DropLevel: int(signal.GetDropLevel()),
	}
}

// EncodeRefusal converts a refusal to its wire type.
func EncodeRefusal(refusal savorydeal.Refusal) *sdpeerpb.Refusal {
	encoded := &sdpeerpb.Refusal{
		Outcome:      string(refusal.Outcome),
		Reason:       string(refusal.Reason),
		Detail:       refusal.Detail,
		RetryAfterNs: int64(refusal.RetryAfter),
	}
	if refusal.End != nil {
		encoded.End = EncodeAnswerEnd(*refusal.End)
	}
	return encoded
}

// DecodeRefusal converts a refusal from its wire type. Any outcome but not_run
// becomes unknown: an outcome that a newer version introduced must never be taken
// to mean that the request has not run.
func DecodeRefusal(refusal *sdpeerpb.Refusal) savorydeal.Refusal {
	outcome := savorydeal.Outcome(refusal.GetOutcome())
	if outcome != savorydeal.OutcomeNotRun {
		outcome = savorydeal.OutcomeUnknown
	}
	decoded := savorydeal.Refusal{
		Outcome:    outcome,
		Reason:     savorydeal.Reason(refusal.GetReason()),
		Detail:     refusal.GetDetail(),
		RetryAfter: time.Duration(refusal.GetRetryAfterNs()),
	}
	if refusal.GetEnd() != nil {
		end := DecodeAnswerEnd(refusal.GetEnd())
		decoded.End = &end
	}
	return decoded
}
