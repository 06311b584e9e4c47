package sdconfig_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorydeal/savorydeal"
	"github.com/savorydeal/savorydeal/internal/sdconfig"
)

// A change is in force at 200 nodes within the bound at 2% loss, however the
// announcements fall.
func TestChangeIsInForceEverywhereAtLoss(t *testing.T) {
	w := newWorld(t, 7, 200)
	w.loss = 0.02
	w.run(time.Second)
	for range 5 {
		w.change(w.names[w.random.IntN(len(w.names))])
		w.run(inForceBound)
		w.expectNewest()
	}
}

// A value that does not fit a datagram is fetched over a link.
func TestLargeValueIsFetched(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 8, 4)
	large := savorydeal.Object{Kind: "key_map", Name: "orders", Version: 3, Value: make([]byte, sdconfig.MaxInlineBytes+1)}
	for _, node := range w.nodes {
		is.Equal(len(node.store.Objects()), 0)
	}
	w.apply(w.nodes[w.names[0]], []savorydeal.Object{large})
	w.run(inForceBound)
	for _, node := range w.nodes {
		entry, ok := node.store.Entry(sdconfig.KeyOf(large))
		is.True(ok)
		is.Equal(len(entry.Newest.Value), len(large.Value))
	}
}

// A node starts cut off from the platform, with one peer: it takes what the
// peer has, and the peer takes nothing older from it.
func TestStartsWithOnlyPeers(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 9, 2)
	w.platform.write(w.keys()[0], false)
	newer := w.platform.write(w.keys()[0], false)
	w.apply(w.nodes[w.names[0]], []savorydeal.Object{newer})
	w.start(w.names[1])
	w.platform.down = true
	w.apply(w.nodes[w.names[1]], []savorydeal.Object{w.platform.log[0]})
	w.run(inForceBound)
	w.expectNewest()
	is.True(w.platform.down)
}
