package sdsidecar

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"github.com/savorydeal/savorydeal"
	"github.com/savorydeal/savorydeal/internal/sdaccount"
	"github.com/savorydeal/savorydeal/internal/sdclock"
	"github.com/savorydeal/savorydeal/internal/sdhttp"
	"github.com/savorydeal/savorydeal/internal/sdpeerheader"
	"github.com/savorydeal/savorydeal/platform/platformtest"
)

// applyAccounts puts a configuration with the accounts in force.
func applyAccounts(t *testing.T, node *Node, version uint64, accounts ...savorydeal.Account) {
	t.Helper()
	route := func(name, prefix string, priority int) savorydeal.Route {
		return savorydeal.Route{
			Name: name, Host: "h", PathPrefix: prefix, Kind: savorydeal.RouteIdempotent, Timeout: time.Second, Priority: priority, MaxTargets: 1,
			Splits: []savorydeal.Split{{Service: "s", Weight: 1}}, Public: name == "public",
		}
	}
	raw, err := platformtest.EncodeConfig(savorydeal.RouteConfig{
		Version: version, Accounts: accounts, Services: []savorydeal.ServiceSpec{{Name: "s"}},
		Routes: []savorydeal.Route{route("look", "/look/", 1), route("public", "/public/", 2)},
		Limits: savorydeal.RequestLimits{MaxHeaderBytes: 1, MaxBodyBytes: 1, HeaderTimeout: 1e9, IdleTimeout: 1e9},
	})
	if err != nil {
		t.Fatal(err)
	}
	node.applyConfig(&node.control, raw, "test")
}

var accountA = savorydeal.Account{Name: "a", Keys: []string{"key-a"}, Priority: 1}

// accountNode returns a node with accountA whose checks of the configuration call check.
func accountNode(t *testing.T, check func(node *Node)) *Node {
	t.Helper()
	node := testNode(t)
	applyAccounts(t, node, 5, accountA)
	node.recordReport(&node.control, node.clock.Now())
	node.configCheck.check = func(context.Context) {
		if check != nil {
			check(node)
		}
	}
	return node
}

// identified returns a request after the steps up to identifyAccount, and its response.
func identified(node *Node, id, target string, header http.Header) (*request, *sdhttp.Response) {
	header = header.Clone()
	header.Set(node.headers.RequestID, id)
	r := &request{http: &sdhttp.Request{Host: "h", Target: target, Header: header, ReceivedAt: time.Now()}, id: id}
	for _, step := range []callerStep{(*Node).findRoute, (*Node).findRun, (*Node).setDeadline, (*Node).identifyAccount} {
		if response := step(node, context.Background(), r); response != nil {
			return r, response
		}
	}
	return r, nil
}

func bearer(key string) http.Header { return http.Header{sdaccount.Header: {"Bearer " + key}} }

// The route is looked up before the key, and a node without a configuration refuses keys
// as not run: its caller must not take a valid key for a withdrawn one.
func TestStatusBeforeTheKeyIsChecked(t *testing.T) {
	is := is.New(t)
	_, response := identified(testNode(t), "q", "/look/", http.Header{})
	is.Equal(response.Status, http.StatusServiceUnavailable)
	is.True(response.Header.Get("Retry-After") != "")
	_, response = identified(accountNode(t, nil), "q", "/none/", http.Header{})
	is.Equal(response.Status, http.StatusNotFound)
	_, response = identified(accountNode(t, nil), "q", "/look/", http.Header{})
	is.Equal(response.Status, http.StatusUnauthorized)
}

// Guards against keys that reach targets, and against callers that choose the account that
// targets see.
func TestAccountHeaders(t *testing.T) {
	is := is.New(t)
	node := accountNode(t, nil)
	node.runs.begin("run", &runInfo{account: "a", rank: 77, depth: 1, deadline: time.Now().Add(100 * time.Millisecond)})
	for _, c := range []struct {
		id, target, key, account string
		rank, depth              int
	}{
		{"q", "/look/", "key-a", "a", savorydeal.RoutePriorities + 1, 0},
		{"q", "/public/", "key-a", "", 2, 0},
		{"q", "/public/", "x", "", 2, 0},
		{"run.0", "/look/", "", "a", 77, 2},
		{"run.0", "/look/", "key-a", "a", 77, 2},
		{"run.0", "/public/", "x", "a", 77, 2},
	} {
		header := http.Header{node.headers.Account: {"forged"}}
		if c.key != "" {
			header.Set(sdaccount.Header, "Bearer "+c.key)
		}
		r, response := identified(node, c.id, c.target, header)
		is.Equal(response, nil)
		is.Equal(r.http.Header.Get(sdaccount.Header), "")
		is.Equal(r.http.Header.Get(node.headers.Account), c.account)
		is.Equal(r.accountName(), c.account)
		is.Equal(r.rank, c.rank)
		is.Equal(r.depth, c.depth)
		is.Equal(r.deadline.Before(time.Now().Add(200*time.Millisecond)), c.depth > 0)
	}
}

// Without accounts, requests need no key and headers pass unchanged, also at the target's
// node.
func TestHeadersPassWithoutAccounts(t *testing.T) {
	is := is.New(t)
	node := testNode(t)
	applyAccounts(t, node, 5)
	header := http.Header{sdaccount.Header: {"Basic x", "y"}, node.headers.Account: {"z"}, node.headers.RequestID: {"q"}}
	r, response := identified(node, "q", "/look/", header)
	is.Equal(response, nil)
	is.Equal(r.http.Header, header)
	is.Equal(r.rank, 1)
	is.Equal(node.shedder.RelativeRank(1), 0.0)
	is.Equal(node.shedder.RelativeRank(2), 1.0)
	node.setAccountHeaders(r.http.Header, "")
	is.Equal(r.http.Header, header)
	// A first node with a newer configuration has found an account.
	node.setAccountHeaders(r.http.Header, "a")
	is.Equal(r.http.Header, http.Header{node.headers.Account: {"a"}, node.headers.RequestID: {"q"}})
}

// Guards against keys and forged accounts that reach a target because the first node has an
// older configuration, without accounts.
func TestTargetsNodeSetsAccountHeaders(t *testing.T) {
	is := is.New(t)
	node := testNode(t)
	received := make(chan http.Header, 1)
	target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		received <- r.Header
		w.Header().Set(node.headers.RequestID, r.Header.Get(node.headers.RequestID))
	}))
	defer target.Close()
	node.target.pool.Address = target.Listener.Addr().String()
	announceTarget(node, savorydeal.TargetStart{Identity: "i-1", Started: 100})
	for _, c := range []struct {
		accounts      []savorydeal.Account
		account, want string
		authorization string
	}{
		{nil, "", "forged", "Bearer key-a"},
		{nil, "a", "a", ""},
		{[]savorydeal.Account{accountA}, "", "", ""},
		{[]savorydeal.Account{accountA}, "a", "a", ""},
	} {
		applyAccounts(t, node, node.control.config.Version+1, c.accounts...)
		call := sdpeerheader.Call{Service: "s", Route: "r", Remaining: time.Second, MaxWait: time.Second, Account: c.account}
		header := bearer("key-a")
		header.Set(node.headers.Account, "forged")
		header.Set(node.headers.RequestID, "q")
		header.Set(sdpeerheader.CallHeader, call.Encode())
		node.handlePeer(context.Background(), &sdhttp.Request{Method: http.MethodGet, Host: "h", Target: "/", Header: header, ReceivedAt: time.Now()})
		got := <-received
		is.Equal(got.Get(node.headers.Account), c.want)
		is.Equal(got.Get(sdaccount.Header), c.authorization)
	}
}

// Guards against a caller that starts any number of requests under the ID of its own run.
func TestCallsOfARunWithoutKeyAreBounded(t *testing.T) {
	is := is.New(t)
	node := accountNode(t, nil)
	node.runs.begin("run", &runInfo{account: "a", deadline: time.Now().Add(time.Minute)})
	for range sdaccount.MaxKeylessCalls {
		_, response := identified(node, "run.0", "/look/", http.Header{})
		is.Equal(response, nil)
	}
	_, response := identified(node, "run.0", "/look/", http.Header{})
	is.Equal(response.Status, http.StatusUnauthorized)
	_, response = identified(node, "other.0", "/look/", http.Header{})
	is.Equal(response.Status, http.StatusUnauthorized)
	_, response = identified(node, "run.0", "/public/", http.Header{})
	is.Equal(response, nil)
}

// Guards against a 401 for a key that was added a moment ago, and against one from a node
// that cannot know whether it was.
func TestUnknownKey(t *testing.T) {
	addKey := func(node *Node) { applyAccounts(t, node, 6, savorydeal.Account{Name: "b", Keys: []string{"key-b"}}) }
	removeRoutes := func(node *Node) {
		node.applyConfig(&node.control, []byte(`{"version":"7","limits":{"maxHeaderBytes":1,"maxBodyBytes":1,"headerTimeoutS":1,"idleTimeoutS":1}}`), "test")
	}
	for _, c := range []struct {
		name      string
		check     func(node *Node)
		confirmed time.Duration
		status    int
	}{
		{"the check finds the key", addKey, time.Minute, 0},
		{"the check finds no newer configuration", nil, time.Second, http.StatusUnauthorized},
		{"the check finds another configuration", removeRoutes, time.Second, http.StatusNotFound},
		{"the check fails", nil, time.Minute, http.StatusServiceUnavailable},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			node := accountNode(t, c.check)
			confirmedAt := node.clock.Now().Add(-c.confirmed)
			node.confirmedAt.Store(&confirmedAt)
			r, response := identified(node, "q", "/look/", bearer("key-b"))
			if c.status == 0 {
				is.Equal(response, nil)
				is.Equal(r.accountName(), "b")
				return
			}
			is.Equal(response.Status, c.status)
		})
	}
}

// Under strict revocation, a node that may not know of a withdrawal refuses whatever needs a
// key, and serves the rest. Otherwise it continues.
func TestStrictRevocation(t *testing.T) {
	is := is.New(t)
	node := accountNode(t, nil)
	node.runs.begin("run", &runInfo{account: "a", deadline: time.Now().Add(time.Minute)})
	confirmedAt := node.clock.Now().Add(-6 * time.Second)
	node.confirmedAt.Store(&confirmedAt)
	_, response := identified(node, "q", "/look/", bearer("key-a"))
	is.Equal(response, nil)
	settings := node.settings
	settings.Bounds.StrictRevocation, settings.Bounds.RevokeApply = true, 5*time.Second
	node.reload(settings)
	for _, header := range []http.Header{bearer("key-a"), bearer("x"), {}} {
		_, response = identified(node, "q", "/look/", header)
		is.Equal(response.Status, http.StatusServiceUnavailable)
	}
	_, response = identified(node, "q", "/public/", http.Header{})
	is.Equal(response, nil)
	_, response = identified(node, "run.0", "/look/", http.Header{})
	is.Equal(response, nil)
	confirmedAt = node.clock.Now().Add(-4 * time.Second)
	node.confirmedAt.Store(&confirmedAt)
	_, response = identified(node, "q", "/look/", bearer("key-a"))
	is.Equal(response, nil)
}

// Guards against unknown keys that cost one call of the store each: requests share a check,
// which starts after they came, and checks have the interval between them.
func TestChecksAreShared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var mu sync.Mutex
		var starts []time.Time
		check := newConfigCheck(sdclock.System{}, func(ctx context.Context) {
			mu.Lock()
			starts = append(starts, time.Now())
			mu.Unlock()
			<-ctx.Done() // as a store that does not answer
		})
		var group sync.WaitGroup
		for i := range 2000 {
			group.Go(func() {
				time.Sleep(time.Duration(i) * time.Millisecond / 2)
				came := time.Now()
				check.wait(t.Context())
				is.True(time.Since(came) <= checkInterval+checkTimeout)
			})
		}
		group.Wait()
		is.True(len(starts) <= 6) // within 1 s and the last wait
		for i := range starts[1:] {
			is.True(starts[i+1].Sub(starts[i]) >= checkInterval)
		}
	})
}

// Guards against keys in the log, the state dump, the metrics and crash records.
func TestKeysAreNotWritten(t *testing.T) {
	is := is.New(t)
	node := accountNode(t, nil)
	var log bytes.Buffer
	node.log.Logger = hclog.New(&hclog.LoggerOptions{Output: &log, Level: hclog.Trace})
	for _, header := range []http.Header{bearer("key-x"), bearer("key-a"), {sdaccount.Header: {"Bearer key-a", "Bearer key-x"}}} {
		header.Set(node.headers.RequestID, "q")
		node.handleCaller(context.Background(), &sdhttp.Request{Host: "h", Target: "/look/", Header: header, ReceivedAt: time.Now()})
	}
	node.applyConfig(&node.control, []byte(`{"tenants":[{"name":"a","apiKeys":["key-c"," key-d"]}]}`), "test")
	request := &sdhttp.Request{Method: http.MethodGet, Target: "/look/", Header: bearer("key-a")}
	node.handleBrokenRun(sdpeerheader.Call{Service: "s"}, request, time.Second)
	node.recordTargetCrash(node.crashes.takeAll())
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error)
	go func() { ended <- node.runControl(ctx) }()
	state := string(node.stateResponse(ctx).Body)
	cancel()
	is.NoErr(<-ended) // it writes to the log until then
	text := log.String() + state + string(node.metricsResponse().Body) + string(node.encodeCrashRecords())
	is.True(strings.Contains(text, "key refused"))
	is.True(strings.Contains(text, `"name": "a"`))
	is.True(strings.Contains(text, `savorydeal_requests_unauthorised_total{reason="unknown_key"} 1`))
	is.True(strings.Contains(text, "savorydeal_accounts 1"))
	is.True(!strings.Contains(text, "key-"))
}
