package sdoperator_test

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/savorydeal/savorydeal/internal/sdclock"
	"github.com/savorydeal/savorydeal/internal/sdoperator"
	"github.com/savorydeal/savorydeal/internal/sdplatform"
	"github.com/savorydeal/savorydeal/internal/sdstandplatform"
)

const operationText = `{"name":"raise","methods":["POST"],"path_prefix":"/limits","class":"high","idempotent":false}`

func changeText(expected, changeID, operation string) string {
	return `{"expected_version":` + expected + `,"change_id":"` + changeID + `","policy":{"service":"limits","operations":[` + operation + `]}}`
}

// A change that does not fit is refused whole, with the field and a remedy.
func TestMalformedChangeIsRefusedWhole(t *testing.T) {
	for _, test := range []struct {
		name, method, path, contentType, body string
		status                                int
		field                                 string
	}{
		{"no JSON", "PUT", "/v1/policies/limits", "application/json", `{"expected_version":`, 400, ""},
		{"empty", "PUT", "/v1/policies/limits", "application/json", "", 400, ""},
		{"another content type", "PUT", "/v1/policies/limits", "text/plain", changeText("0", "change-1", operationText), 415, ""},
		{"version of words", "PUT", "/v1/policies/limits", "application/json", changeText(`"one"`, "change-1", operationText), 400, "expected_version"},
		{"version below zero", "PUT", "/v1/policies/limits", "application/json", changeText("-1", "change-1", operationText), 400, "expected_version"},
		{"short change id", "PUT", "/v1/policies/limits", "application/json", changeText("0", "c", operationText), 400, "change_id"},
		{
			"class of a wrong type", "PUT", "/v1/policies/limits", "application/json",
			changeText("0", "change-1", strings.Replace(operationText, `"high"`, "1", 1)), 400, "policy.operations.class",
		},
		{
			"unknown class", "PUT", "/v1/policies/limits", "application/json",
			changeText("0", "change-1", strings.Replace(operationText, "high", "urgent", 1)), 422, "operations[0].class",
		},
		{"service of another path", "PUT", "/v1/policies/payments", "application/json", changeText("0", "change-1", operationText), 422, "service"},
		{"service of another form", "GET", "/v1/policies/Limits", "", "", 400, "service"},
		{"no version to delete", "DELETE", "/v1/policies/limits?change_id=change-1", "", "", 400, "expected_version"},
		{
			"over the bound", "PUT", "/v1/policies/limits", "application/json",
			changeText("0", "change-1", strings.Replace(operationText, "raise", strings.Repeat("x", 600<<10), 1)), 400, "",
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			store, server := serveOperators(t)
			r, err := http.NewRequest(test.method, server.URL+test.path, strings.NewReader(test.body))
			is.NoErr(err)
			if test.contentType != "" {
				r.Header.Set("Content-Type", test.contentType)
			}
			response, err := server.Client().Do(r)
			is.NoErr(err)
			defer response.Body.Close()
			text, err := io.ReadAll(response.Body)
			is.NoErr(err)
			var problem struct{ Detail, Field, Remedy, Outcome string }
			is.NoErr(json.Unmarshal(text, &problem))
			is.Equal(response.StatusCode, test.status)
			is.Equal(response.Header.Get("Content-Type"), "application/problem+json")
			is.Equal(problem.Field, test.field)
			is.Equal(problem.Outcome, "not_run")
			is.True(problem.Detail != "" && problem.Remedy != "")
			is.Equal(store.Revision(), int64(0)) // nothing half-applied
		})
	}
}

func serveOperators(t *testing.T) (*sdstandplatform.Store, *httptest.Server) {
	t.Helper()
	store := sdstandplatform.NewStore()
	platform, err := sdstandplatform.NewServer(store)
	expectNoError(t, err)
	platformServer := httptest.NewServer(platform)
	t.Cleanup(platformServer.Close)
	client, err := sdplatform.New(platformServer.URL)
	expectNoError(t, err)
	handler, err := sdoperator.NewHandler(&fakeNode{}, client, sdclock.System{})
	expectNoError(t, err)
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return store, server
}
