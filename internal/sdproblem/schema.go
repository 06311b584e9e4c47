package sdproblem

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"regexp"
	"strings"

	"github.com/ogen-go/ogen/ogenerrors"
	"github.com/ogen-go/ogen/validate"

	"github.com/savorydeal/savorydeal"
)

// schemaBody is the JSON form of a schema error.
type schemaBody struct {
	Type    string `json:"type"`
	Title   string `json:"title"`
	Status  int    `json:"status"`
	Detail  string `json:"detail"`
	Field   string `json:"field,omitempty"`
	Remedy  string `json:"remedy"`
	Outcome string `json:"outcome"`
}

// WriteSchemaError answers an API request that does not match its schema. Such
// a request is rejected before its handler is called, so that its outcome is
// always not_run.
func WriteSchemaError(_ context.Context, w http.ResponseWriter, _ *http.Request, err error) {
	status := ogenerrors.ErrorCode(err)
	encoded, encodeErr := json.Marshal(schemaBody{
		Type:    typePrefix + string(savorydeal.ReasonBadRequest),
		Title:   http.StatusText(status),
		Status:  status,
		Detail:  err.Error(),
		Field:   schemaField(err),
		Remedy:  schemaRemedy(status),
		Outcome: string(savorydeal.OutcomeNotRun),
	})
	if encodeErr != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", ContentType)
	w.WriteHeader(status)
	_, _ = w.Write(encoded)
}

func schemaRemedy(status int) string {
	if status == http.StatusUnsupportedMediaType {
		return "send the body as application/json"
	}
	return "correct the field to match the schema; see detail"
}

// decodeFieldPattern matches the field names in a decoder error. The decoder
// names them from the outermost to the innermost.
var decodeFieldPattern = regexp.MustCompile(`decode field "([^"]+)"`)

// schemaField returns the path of the invalid field, such as "policy.timeout",
// or "" if the error names none.
func schemaField(err error) string {
	var parameter *ogenerrors.DecodeParamError
	if errors.As(err, &parameter) {
		return parameter.Name
	}
	var path []string
	for _, match := range decodeFieldPattern.FindAllStringSubmatch(err.Error(), -1) {
		path = append(path, match[1])
	}
	var invalid *validate.Error
	if errors.As(err, &invalid) && len(invalid.Fields) > 0 {
		path = append(path, invalid.Fields[0].Name)
	}
	return strings.Join(path, ".")
}
