package sdpressure_test

import (
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
)

// The goals of the issue.
const (
	leastImportant   = 0.97
	leastTotal       = 0.90
	longestRecovery  = 2 * time.Second
	longestWaves     = time.Second
	leastCapacityUse = 1.0
)

func driveCases() []driveCase {
	one := [][2]time.Duration{{5 * time.Second, 25 * time.Second}}
	short := [][2]time.Duration{{2 * time.Second, 8 * time.Second}}
	waves := [][2]time.Duration{{5 * time.Second, 9 * time.Second}, {12 * time.Second, 16 * time.Second}, {19 * time.Second, 23 * time.Second}}
	const total = 32 * time.Second
	return []driveCase{
		{"slow 5x", 4, 150 * time.Millisecond, 1, 5, one, total},
		{"surge 3x", 4, 150 * time.Millisecond, 3, 1, one, total},
		{"surge 10x", 4, 150 * time.Millisecond, 10, 1, one, total},
		{"slow and surge", 4, 150 * time.Millisecond, 3, 5, one, total},
		{"waves", 4, 150 * time.Millisecond, 3, 1, waves, total},
		{"slow 5x, 40 slots", 40, 150 * time.Millisecond, 1, 5, one, total},
		{"surge 10x, 40 slots", 40, 150 * time.Millisecond, 10, 1, short, 12 * time.Second},
		{"surge 3x, short calls", 4, 15 * time.Millisecond, 3, 1, short, 12 * time.Second},
	}
}

// Doors and queues together keep the goals, and the estate comes back when the
// trigger goes.
func TestDoorsAndQueuesTogether(t *testing.T) {
	for _, c := range driveCases() {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			d := newDriver(c, 1)
			d.run()
			r := d.judge()
			t.Logf("%+v", r)
			is.True(d.overloaded(leastCapacityUse)) // the trigger must ask for more than there is
			is.True(r.important >= leastImportant)
			is.True(r.total >= leastTotal)
			is.True(r.recovered)
			longest := longestRecovery
			if len(c.spans) > 1 {
				longest = longestWaves
			}
			is.True(r.recovery <= longest)
			is.Equal(r.violations, 0) // important calls refused while others run
		})
	}
}

// No important request is refused while less important ones run beyond one
// control interval, whatever the seed. It fails for a few refusals in a
// thousand and is listed in KNOWN-RED.txt, which CI prints; set
// SAVORYDEAL_KNOWN_RED to run it.
func TestOrderOverSeeds(t *testing.T) {
	if os.Getenv("SAVORYDEAL_KNOWN_RED") == "" {
		t.Skip("listed in KNOWN-RED.txt")
	}
	const seeds = 12
	for _, c := range driveCases() {
		if c.name != "surge 10x" && c.name != "slow and surge" {
			continue
		}
		for seed := range uint64(seeds) {
			d := newDriver(c, seed)
			d.run()
			violations, refusals := d.violations()
			if violations > 0 {
				t.Errorf("%s, seed %d: %d of %d refusals of important requests while others ran", c.name, seed, violations, refusals)
			}
		}
	}
}
