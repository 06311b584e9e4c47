package sdwatch_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorydeal/savorydeal/internal/sdgolden"
	"github.com/savorydeal/savorydeal/internal/sdwatch"
)

// Guards against reads of the store that come too late for a new configuration: whatever the
// time in which it has to be in force, the first nodes after the watchers read it earlier, and
// a watch of a watcher ends before they do.
func TestMaxAge(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 2))
	var text strings.Builder
	for _, apply := range []time.Duration{time.Second, 2 * time.Second, 2500 * time.Millisecond, 5 * time.Second} {
		fmt.Fprintf(&text, "apply %v:", apply)
		for _, rank := range []int{0, 1, 2, 3, 4, 5, 12, 13, 29, 199} {
			fmt.Fprintf(&text, " %d: %v", rank, sdwatch.MaxAge(apply, rank))
			is.True(rank > 12 || sdwatch.MaxAge(apply, rank) <= apply*9/10)
		}
		text.WriteByte('\n')
		for range 100 {
			is.True(sdwatch.Wait(apply, random) < sdwatch.MaxAge(apply, 2))
		}
	}
	sdgolden.Expect(t, "max_age", text.String())
}

// Guards against nodes that take over for the watchers and never stop, and against those that
// stop while no other node reads the store.
func TestStandsIn(t *testing.T) {
	is := is.New(t)
	at := func(ms int) time.Time { return time.Unix(1000, 0).Add(time.Duration(ms) * time.Millisecond) }
	var c sdwatch.Confirmations
	c.Report(at(0))
	c.Read(at(1300), at(1304))
	is.True(c.StandsIn) // nobody else has confirmed for 1.3 s
	c.Report(at(1340))  // the node's own confirmation, from another node
	c.Read(at(1304), at(2304))
	is.True(c.StandsIn)
	c.Report(at(2900)) // a watcher reads the store again
	is.Equal(c.At, at(2900))
	c.Read(at(2304), at(3304))
	is.True(!c.StandsIn)
	is.Equal(c.At, at(3304))
	c.Report(at(3000)) // late
	is.Equal(c.At, at(3304))
}
