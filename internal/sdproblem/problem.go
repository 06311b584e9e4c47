// Package sdproblem writes refusals and schema errors as
// application/problem+json (RFC 9457).
package sdproblem

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"

	"github.com/savorydeal/savorydeal"
	"github.com/savorydeal/savorydeal/internal/sdheader"
)

const (
	// ContentType is the media type of problem details.
	ContentType = "application/problem+json"
	typePrefix  = "urn:savorydeal:problem:"
)

// refusalBody is the JSON form of a refusal.
type refusalBody struct {
	Type      string `json:"type"`
	Title     string `json:"title"`
	Status    int    `json:"status"`
	Detail    string `json:"detail,omitempty"`
	Outcome   string `json:"outcome"`
	Reason    string `json:"reason"`
	RequestID string `json:"request_id,omitempty"`
}

// Status returns the HTTP status code of a refusal.
func Status(refusal savorydeal.Refusal) int {
	switch refusal.Reason {
	case savorydeal.ReasonBadRequest, savorydeal.ReasonKeyRequired:
		return http.StatusBadRequest
	case savorydeal.ReasonUnknownService, savorydeal.ReasonNoOperation:
		return http.StatusNotFound
	case savorydeal.ReasonKeyConflict, savorydeal.ReasonAnswerNotHeld, savorydeal.ReasonKeyExpired:
		return http.StatusConflict
	case savorydeal.ReasonBodyTooLarge:
		return http.StatusRequestEntityTooLarge
	case savorydeal.ReasonDeadline:
		return http.StatusGatewayTimeout
	case savorydeal.ReasonPoison:
		return http.StatusUnprocessableEntity
	}
	if refusal.Outcome == savorydeal.OutcomeUnknown {
		return http.StatusBadGateway
	}
	return http.StatusServiceUnavailable
}

// Write answers a request with a refusal. Outcome and reason are sent both as
// headers and in the body. An empty requestID is left out.
func Write(w http.ResponseWriter, requestID string, refusal savorydeal.Refusal) {
	status := Status(refusal)
	header := w.Header()
	header.Set("Content-Type", ContentType)
	header.Set(sdheader.Outcome, string(refusal.Outcome))
	header.Set(sdheader.Reason, string(refusal.Reason))
	if requestID != "" {
		header.Set(sdheader.RequestID, requestID)
	}
	if refusal.RetryAfter > 0 {
		seconds := int(math.Ceil(refusal.RetryAfter.Seconds()))
		header.Set(sdheader.RetryAfter, strconv.Itoa(seconds))
	}
	encoded, err := json.Marshal(refusalBody{
		Type:      typePrefix + string(refusal.Reason),
		Title:     http.StatusText(status),
		Status:    status,
		Detail:    refusal.Detail,
		Outcome:   string(refusal.Outcome),
		Reason:    string(refusal.Reason),
		RequestID: requestID,
	})
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	header.Set("Content-Length", strconv.Itoa(len(encoded)))
	w.WriteHeader(status)
	_, _ = w.Write(encoded)
}
