package sdannounce_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorydeal/savorydeal"
	"github.com/savorydeal/savorydeal/internal/sdannounce"
)

// A target that hangs or is gone expires, whatever it announced last, and a
// late announcement brings it back as of then.
func TestAnnouncementIsALease(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(d time.Duration) time.Time { return start.Add(d) }
	for _, c := range []struct {
		name      string
		announced savorydeal.TargetState
		after     time.Duration
		want      savorydeal.TargetState
	}{
		{"ready holds", savorydeal.TargetReady, sdannounce.TTL - 1, savorydeal.TargetReady},
		{"ready expires", savorydeal.TargetReady, sdannounce.TTL, savorydeal.TargetSilent},
		{"leaving holds", savorydeal.TargetLeaving, sdannounce.TTL - 1, savorydeal.TargetLeaving},
		{"leaving expires", savorydeal.TargetLeaving, sdannounce.TTL, savorydeal.TargetSilent},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			lease := sdannounce.NewLease()
			is.Equal(lease.State(start), savorydeal.TargetAbsent)
			lease.Announce(start, savorydeal.Announcement{Service: "orders", State: c.announced})
			is.Equal(lease.State(at(c.after)), c.want)
			is.Equal(lease.Expires(), at(sdannounce.TTL))
			lease.Announce(at(time.Minute), savorydeal.Announcement{Service: "orders", State: savorydeal.TargetReady})
			is.Equal(lease.State(at(time.Minute)), savorydeal.TargetReady)
			is.True(!lease.ReadySince().After(at(time.Minute)))
		})
	}
}

// Repeating the word does not make a warm target look cold; leaving and coming
// back does.
func TestReadySinceCountsFromBecomingReady(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1000, 0)
	lease := sdannounce.NewLease()
	ready := savorydeal.Announcement{Service: "orders", State: savorydeal.TargetReady}
	lease.Announce(start, ready)
	lease.Announce(start.Add(time.Second), ready)
	is.Equal(lease.ReadySince(), start)
	lease.Announce(start.Add(2*time.Second), savorydeal.Announcement{Service: "orders", State: savorydeal.TargetLeaving})
	lease.Announce(start.Add(3*time.Second), ready)
	is.Equal(lease.ReadySince(), start.Add(3*time.Second))
}
