package sdsidecar

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorydeal/savorydeal"
	"github.com/savorydeal/savorydeal/internal/sdgossip"
)

// Guards against a check that fails, or confirms an outdated configuration, because of one
// watcher: one is suspended, of the previous version, or behind this node.
func TestCheckAtWatchers(t *testing.T) {
	newer := testNode(t)
	applyAccounts(t, newer, 6, accountA)
	watcher := func(version uint64, age time.Duration) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			body := strconv.AppendUint(nil, configReport{version: version, age: age}.encode(), 10)
			if r.URL.Path == configPath {
				body = newer.control.encodedConfig
			}
			_, _ = w.Write(body)
		}
	}
	suspended := func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }
	for _, c := range []struct {
		name      string
		watchers  []http.HandlerFunc
		version   uint64
		confirmed bool
	}{
		{"one is suspended, one is newer", []http.HandlerFunc{suspended, watcher(6, 0)}, 6, true},
		{"one is of the previous version, one confirms", []http.HandlerFunc{http.NotFound, watcher(5, 0)}, 5, true},
		{"one is behind, one is newer", []http.HandlerFunc{watcher(4, 0), watcher(6, time.Second)}, 6, true},
		{"one is cut off, one is newer", []http.HandlerFunc{watcher(5, time.Minute), watcher(6, time.Second)}, 6, true},
		{"one is behind", []http.HandlerFunc{watcher(4, 0)}, 5, false},
		{"the confirmation is old", []http.HandlerFunc{watcher(5, time.Minute)}, 5, false},
		{"both are suspended", []http.HandlerFunc{suspended, suspended}, 5, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			node := testNode(t)
			socket, err := sdgossip.Listen("127.0.0.1:0", 0, nil)
			is.NoErr(err)
			defer func() { _ = socket.Close() }()
			node.socket = socket
			applyAccounts(t, node, 5, accountA)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			go func() { _ = node.runControl(ctx) }()
			var members []savorydeal.Member
			for _, handler := range c.watchers {
				server := httptest.NewServer(handler)
				defer server.Close()
				address := server.Listener.Addr().String()
				members = append(members, savorydeal.Member{
					Node: savorydeal.NodeID(address), PeerAddress: address, DataCentre: "z", State: savorydeal.MemberAlive,
				})
			}
			is.NoErr(node.callControl(ctx, func(c *controlState) { c.members = members }))
			checkCtx, end := context.WithTimeout(ctx, checkTimeout)
			defer end()
			node.checkConfig(checkCtx)
			is.Equal(node.routes.Load().Config().Version, c.version)
			is.Equal(node.confirmationAge() < 30*time.Second, c.confirmed)
		})
	}
}
