package sdinstance_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorydeal/savorydeal"
	"github.com/savorydeal/savorydeal/internal/sdinstance"
)

var start = time.Unix(1000, 0)

func heartbeat(identity string, started, sequence int64, leaving bool) savorydeal.Heartbeat {
	return savorydeal.Heartbeat{Identity: identity, Started: started, Sequence: sequence, Service: "s", Address: "a", Slots: 5, Leaving: leaving}
}

// Each case is a sequence of announcements, with the result of the last one and
// the state of the target after it.
func TestAnnouncementsInAnyOrder(t *testing.T) {
	foreign := heartbeat("x", 9, 9, false)
	foreign.Service = "other"
	moved := heartbeat("x", 9, 9, false)
	moved.Address = "elsewhere"
	for _, c := range []struct {
		name       string
		heartbeats []savorydeal.Heartbeat
		result     sdinstance.Result
		state      savorydeal.TargetState
	}{
		{"first", []savorydeal.Heartbeat{heartbeat("i", 1, 1, false)}, sdinstance.ResultAccepted, savorydeal.TargetReady},
		{"leaving", []savorydeal.Heartbeat{heartbeat("i", 1, 1, false), heartbeat("i", 1, 2, true)}, sdinstance.ResultAccepted, savorydeal.TargetLeaving},
		{"delayed announcement from before the leave", []savorydeal.Heartbeat{heartbeat("i", 1, 3, true), heartbeat("i", 1, 2, false)}, sdinstance.ResultStale, savorydeal.TargetLeaving},
		{"ready after leaving without a restart", []savorydeal.Heartbeat{heartbeat("i", 1, 2, true), heartbeat("i", 1, 3, false)}, sdinstance.ResultAccepted, savorydeal.TargetLeaving},
		{"restart with the same identity", []savorydeal.Heartbeat{heartbeat("i", 1, 9, true), heartbeat("i", 2, 1, false)}, sdinstance.ResultAccepted, savorydeal.TargetReady},
		{"delayed announcement from before a restart", []savorydeal.Heartbeat{heartbeat("j", 2, 1, false), heartbeat("i", 1, 99, true)}, sdinstance.ResultStale, savorydeal.TargetReady},
		{"another service at the address", []savorydeal.Heartbeat{heartbeat("i", 1, 1, false), foreign}, sdinstance.ResultForeign, savorydeal.TargetReady},
		{"a target of another VM", []savorydeal.Heartbeat{heartbeat("i", 1, 1, false), moved}, sdinstance.ResultForeign, savorydeal.TargetReady},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			tracker := sdinstance.New("s", "a")
			var result sdinstance.Result
			for _, h := range c.heartbeats {
				result = tracker.Announce(start, h)
			}
			is.Equal(result, c.result)
			is.Equal(tracker.State().Target, c.state)
		})
	}
}

// A leave call from before the target's restart, or from another target, does not
// affect the current target.
func TestLeaveOfOtherStartIsRefused(t *testing.T) {
	is := is.New(t)
	tracker := sdinstance.New("s", "a")
	tracker.Announce(start, heartbeat("i", 5, 1, false))
	is.Equal(tracker.Leave(start, "i", 4), sdinstance.ResultStale)
	is.Equal(tracker.Leave(start, "h", 5), sdinstance.ResultForeign)
	is.Equal(tracker.State().Target, savorydeal.TargetReady)
	is.Equal(tracker.Leave(start, "i", 0), sdinstance.ResultAccepted)
	is.Equal(tracker.State().Target, savorydeal.TargetLeaving)
}

// Before its first announcement, the target's state follows from its health check
// and its connections. A leaving target stays leaving without connections.
func TestStateFromConnections(t *testing.T) {
	is := is.New(t)
	tracker := sdinstance.New("s", "a")
	is.True(tracker.Discovered(start, "i", 3))
	is.Equal(tracker.State().Target, savorydeal.TargetReady)
	is.True(tracker.ConnectionLost())
	is.True(!tracker.ConnectionLost())
	is.True(tracker.ConnectionRestored(start))
	tracker.Announce(start, heartbeat("i", 5, 1, true))
	is.True(!tracker.ConnectionLost())
	is.True(!tracker.Discovered(start, "k", 3))
	is.True(tracker.IdentityMismatch("k"))
	is.Equal(tracker.State().Target, savorydeal.TargetAbsent)
}

// A target that states in an answer that it is leaving becomes ready again only after a
// restart. A late answer of an earlier start changes nothing.
func TestStatedLeaving(t *testing.T) {
	is := is.New(t)
	tracker := sdinstance.New("s", "a")
	is.True(!tracker.StatedLeaving(start, savorydeal.TargetStart{}))
	is.Equal(tracker.Announce(start, heartbeat("i", 1, 1, false)), sdinstance.ResultAccepted)
	is.True(!tracker.StatedLeaving(start, savorydeal.TargetStart{Identity: "h", Started: 1}))
	is.True(tracker.StatedLeaving(start, savorydeal.TargetStart{Identity: "i", Started: 1}))
	is.Equal(tracker.State().LeftAt, start)
	tracker.Announce(start, heartbeat("i", 1, 2, false))
	is.Equal(tracker.State().Target, savorydeal.TargetLeaving)
	is.Equal(tracker.Announce(start, heartbeat("i", 2, 1, false)), sdinstance.ResultAccepted)
	is.True(!tracker.StatedLeaving(start, savorydeal.TargetStart{Identity: "i", Started: 1}))
	is.Equal(tracker.State().Target, savorydeal.TargetReady)
}

// Guards against an acknowledged leave call that changes nothing because the target has not
// announced itself to this process: the node was restarted since its last announcement.
func TestLeaveBeforeFirstAnnouncement(t *testing.T) {
	for _, c := range []struct {
		name       string
		discovered string
		started    int64
		result     sdinstance.Result
		state      savorydeal.TargetState
	}{
		{"known from its health check", "i", 5, sdinstance.ResultAccepted, savorydeal.TargetLeaving},
		{"known from its health check, start time not stated", "i", 0, sdinstance.ResultAccepted, savorydeal.TargetLeaving},
		{"not known", "", 5, sdinstance.ResultAccepted, savorydeal.TargetLeaving},
		{"another target has been discovered", "k", 5, sdinstance.ResultForeign, savorydeal.TargetReady},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			tracker := sdinstance.New("s", "a")
			tracker.Discovered(start, c.discovered, 3)
			is.Equal(tracker.Leave(start, "i", c.started), c.result)
			is.Equal(tracker.State().Target, c.state)
			if c.result != sdinstance.ResultAccepted {
				return
			}
			is.Equal(tracker.State().LeftAt, start)
			is.True(!tracker.Discovered(start, "i", 3))
			if c.started != 0 {
				tracker.Announce(start, heartbeat("i", c.started, 4, false)) // sent before the leave call
				is.Equal(tracker.State().Target, savorydeal.TargetLeaving)
			}
			is.Equal(tracker.Announce(start, heartbeat("i", 9, 1, false)), sdinstance.ResultAccepted)
			is.Equal(tracker.State().Target, savorydeal.TargetReady)
		})
	}
}
