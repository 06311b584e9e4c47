package sdcli

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/jx"
	"github.com/matryer/is"

	"github.com/savorydeal/savorydeal/internal/sdcommand"
	"github.com/savorydeal/savorydeal/internal/sdgolden"
	"github.com/savorydeal/savorydeal/internal/sdoperatorapi"
)

// fakeNode answers like a node. If fail is set, PutPolicy returns it as the error.
type fakeNode struct {
	sdoperatorapi.UnimplementedHandler
	fail    *sdoperatorapi.ProblemStatusCode
	lagging []string
	changes []sdoperatorapi.PolicyChange
}

func record(version int64) *sdoperatorapi.PolicyRecord {
	return &sdoperatorapi.PolicyRecord{
		Service: "orders", Version: version, ChangeID: "change-0001",
		ChangedAt: time.Date(2026, 10, 1, 8, 0, 0, 0, time.UTC),
		Policy: sdoperatorapi.NewOptPolicy(sdoperatorapi.Policy{
			Service: "orders",
			Operations: []sdoperatorapi.Operation{{
				Name: "order", Methods: []string{"POST"}, PathPrefix: "/orders", Class: "high",
				MaxRetries: sdoperatorapi.NewOptInt(2), TimeoutMs: sdoperatorapi.NewOptInt64(1500),
			}},
		}),
	}
}

func (n *fakeNode) GetPolicy(context.Context, sdoperatorapi.GetPolicyParams) (*sdoperatorapi.PolicyRecord, error) {
	return record(7), nil
}

func (n *fakeNode) ListPolicies(context.Context) (*sdoperatorapi.PolicyList, error) {
	return &sdoperatorapi.PolicyList{Policies: []sdoperatorapi.PolicyRecord{*record(7)}}, nil
}

func (n *fakeNode) GetPolicyHistory(context.Context, sdoperatorapi.GetPolicyHistoryParams) (*sdoperatorapi.PolicyHistory, error) {
	return &sdoperatorapi.PolicyHistory{Service: "orders", Changes: []sdoperatorapi.PolicyRecord{*record(7), *record(4)}}, nil
}

func (n *fakeNode) PutPolicy(_ context.Context, req *sdoperatorapi.PolicyChange, _ sdoperatorapi.PutPolicyParams) (*sdoperatorapi.PolicyRecord, error) {
	if n.fail != nil {
		return nil, n.fail
	}
	n.changes = append(n.changes, *req)
	return record(8), nil
}

func (n *fakeNode) WaitInForce(context.Context, sdoperatorapi.WaitInForceParams) (*sdoperatorapi.InForce, error) {
	return &sdoperatorapi.InForce{
		Service: "orders", Version: 8, InForce: 5, LaggingCount: len(n.lagging), Lagging: n.lagging,
		UnreachableCount: 1, Unreachable: []string{"10.0.0.9:7000"},
	}, nil
}

func (n *fakeNode) GetStatus(context.Context) (*sdoperatorapi.Status, error) {
	return &sdoperatorapi.Status{
		Node: "10.0.0.7:7000", DataCentre: "ub-1", Region: "ub", Version: "0.1.0",
		Service: sdoperatorapi.NewOptString("orders"), TargetState: "ready", NodesAlive: 6, Policies: 1,
		PlatformReachable: sdoperatorapi.NewOptBool(true),
	}, nil
}

func (n *fakeNode) ListNodes(context.Context) (*sdoperatorapi.NodeList, error) {
	return &sdoperatorapi.NodeList{Nodes: []sdoperatorapi.Node{{
		Node: "10.0.0.7:7000", DataCentre: "ub-1", Region: "ub", State: "alive",
		Service: sdoperatorapi.NewOptString("orders"), TargetState: sdoperatorapi.NewOptString("ready"),
		PeerAddress: "10.0.0.7:7000",
	}}}, nil
}

func (n *fakeNode) GetDump(context.Context) (sdoperatorapi.Dump, error) {
	return sdoperatorapi.Dump{"target": jx.Raw(`{"state":"ready"}`)}, nil
}

func (n *fakeNode) NewError(_ context.Context, err error) *sdoperatorapi.ProblemStatusCode {
	if problem, ok := err.(*sdoperatorapi.ProblemStatusCode); ok { //nolint:errorlint // the handler returns it unwrapped
		return problem
	}
	return problemOf(http.StatusInternalServerError, "unknown", err.Error())
}

func problemOf(status int, outcome, detail string) *sdoperatorapi.ProblemStatusCode {
	return &sdoperatorapi.ProblemStatusCode{StatusCode: status, Response: sdoperatorapi.Problem{
		Type: "about:blank", Title: http.StatusText(status), Status: status,
		Detail: sdoperatorapi.NewOptString(detail), Outcome: sdoperatorapi.NewOptString(outcome),
	}}
}

// run runs the command line against the node and returns the exit code, standard
// output and standard error.
func run(t *testing.T, node *fakeNode, stdin string, arguments ...string) (int, string, string) {
	t.Helper()
	handler, err := sdoperatorapi.NewServer(node)
	if err != nil {
		t.Fatal(err)
	}
	server := httptest.NewServer(handler)
	defer server.Close()
	environment := func(name string) (string, bool) { return server.Listener.Addr().String(), name == envAdmin }
	var stdout, stderr bytes.Buffer
	code := Run(arguments, environment, strings.NewReader(stdin), &stdout, &stderr)
	return code, stdout.String(), stderr.String()
}

const policyJSON = `{"service":"orders","operations":[{"name":"order","methods":["POST"],"path_prefix":"/orders","class":"high","idempotent":false}]}`

func TestOutputMatchesGoldenFiles(t *testing.T) {
	for name, arguments := range map[string][]string{
		"list":         {"policy", "list"},
		"get":          {"policy", "get", "orders"},
		"get_json":     {"policy", "get", "orders", "--output", "json"},
		"history":      {"policy", "history", "orders"},
		"put":          {"policy", "put", "--change-id", "change-0002"},
		"status":       {"status"},
		"nodes":        {"nodes"},
		"nodes_json":   {"nodes", "-o", "json"},
		"dump":         {"dump"},
		"wait_in_json": {"policy", "wait", "orders", "--output", "json"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			code, stdout, stderr := run(t, &fakeNode{lagging: []string{}}, policyJSON, arguments...)
			is.Equal(code, sdcommand.ExitOK)
			sdgolden.Expect(t, name, stdout+"--- stderr\n"+stderr)
		})
	}
}

func TestExitCodeForOutcomeOfChange(t *testing.T) {
	for _, test := range []struct {
		name string
		node *fakeNode
		text string
		code int
	}{
		{"accepted and in force", &fakeNode{lagging: []string{}}, policyJSON, sdcommand.ExitOK},
		{"conflict", &fakeNode{fail: problemOf(409, "not_run", "policy orders has version 9")}, policyJSON, sdcommand.ExitConflict},
		{"outcome unknown", &fakeNode{fail: problemOf(502, "unknown", "the answer was lost")}, policyJSON, sdcommand.ExitUnknown},
		{"platform down", &fakeNode{fail: problemOf(503, "not_run", "the platform is down")}, policyJSON, sdcommand.ExitFailed},
		{"not in force in time", &fakeNode{lagging: []string{"10.0.0.8:7000"}}, policyJSON, sdcommand.ExitLagging},
		{"truncated policy", &fakeNode{}, `{"service":`, sdcommand.ExitUsage},
		{"policy over the limit", &fakeNode{lagging: []string{}}, policyJSON + strings.Repeat(" ", 1<<20), sdcommand.ExitUsage},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			code, _, _ := run(t, test.node, test.text, "policy", "put", "--wait", "1ms")
			is.Equal(code, test.code)
		})
	}
}

func TestChangeExpectsNewestVersionByDefault(t *testing.T) {
	is := is.New(t)
	node := &fakeNode{lagging: []string{}}
	file := filepath.Join(t.TempDir(), "orders.json")
	is.NoErr(os.WriteFile(file, []byte(policyJSON), 0o600))
	code, _, _ := run(t, node, "", "policy", "put", file)
	is.Equal(code, sdcommand.ExitOK)
	is.Equal(node.changes[0].ExpectedVersion, int64(7))
	is.True(len(node.changes[0].ChangeID) >= 8)
	code, _, _ = run(t, node, "", "policy", "put", file, "--expected", "3", "--change-id", "change-0003")
	is.Equal(code, sdcommand.ExitOK)
	is.Equal(node.changes[1].ExpectedVersion, int64(3))
	is.Equal(node.changes[1].ChangeID, "change-0003")
}

func TestInvalidArguments(t *testing.T) {
	for _, arguments := range [][]string{
		{"policy", "get", "orders", "--output", "xml"},
		{"policy", "put", "/no/such/file"},
	} {
		is := is.New(t)
		code, _, stderr := run(t, &fakeNode{}, "", arguments...)
		is.Equal(code, sdcommand.ExitUsage)
		is.True(strings.HasPrefix(stderr, "savorydeal: "))
	}
}
