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
			next := heartbeat("i", start.Add(time.Second).UnixMilli(), 1, false)
			is.Equal(tracker.Announce(start, next), sdinstance.ResultAccepted)
			is.Equal(tracker.State().Target, savorydeal.TargetReady)
		})
	}
}

// Guards against a target that a new process uses although an earlier one has acknowledged
// that it leaves: the departures are restored before, between or after what the target says.
func TestRestoredDeparture(t *testing.T) {
	left := savorydeal.Departure{Start: savorydeal.TargetStart{Identity: "i", Started: 5}, LeftAt: start}
	restore := func(tracker *sdinstance.Tracker) {
		tracker.Restore(start, []savorydeal.Departure{left})
		tracker.Restored(start)
	}
	announce := func(h savorydeal.Heartbeat) func(*sdinstance.Tracker) {
		return func(tracker *sdinstance.Tracker) { tracker.Announce(start, h) }
	}
	discover := func(identity string) func(*sdinstance.Tracker) {
		return func(tracker *sdinstance.Tracker) { tracker.Discovered(start, identity, 3) }
	}
	for _, c := range []struct {
		name   string
		events []func(*sdinstance.Tracker)
		state  savorydeal.TargetState
	}{
		{"nothing known", []func(*sdinstance.Tracker){restore}, savorydeal.TargetLeaving},
		{"late heartbeat after", []func(*sdinstance.Tracker){restore, announce(heartbeat("i", 5, 9, false))}, savorydeal.TargetLeaving},
		{"late heartbeat before", []func(*sdinstance.Tracker){announce(heartbeat("i", 5, 9, false)), restore}, savorydeal.TargetLeaving},
		{"health check before", []func(*sdinstance.Tracker){discover("i"), restore}, savorydeal.TargetLeaving},
		{"health check after", []func(*sdinstance.Tracker){restore, discover("i")}, savorydeal.TargetLeaving},
		{"not restored yet", []func(*sdinstance.Tracker){announce(heartbeat("i", 5, 9, false))}, savorydeal.TargetAbsent},
		{"next start before", []func(*sdinstance.Tracker){announce(heartbeat("i", 6, 1, false)), restore}, savorydeal.TargetReady},
		{"next start after", []func(*sdinstance.Tracker){restore, announce(heartbeat("i", 6, 1, false))}, savorydeal.TargetReady},
		{"next start after its health check", []func(*sdinstance.Tracker){restore, discover("i"), announce(heartbeat("i", 6, 1, false))}, savorydeal.TargetReady},
		{"another target after", []func(*sdinstance.Tracker){restore, discover("k")}, savorydeal.TargetReady},
		{"another target before", []func(*sdinstance.Tracker){discover("k"), restore}, savorydeal.TargetReady},
		{"late heartbeat after the next start", []func(*sdinstance.Tracker){restore, announce(heartbeat("i", 6, 1, false)), announce(heartbeat("i", 5, 9, false))}, savorydeal.TargetReady},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			tracker := sdinstance.New("s", "a")
			tracker.AwaitRestore()
			for _, event := range c.events {
				event(tracker)
			}
			is.Equal(tracker.State().Target, c.state)
		})
	}
}

// Guards against an announcement of leaving that is answered as acknowledged but dropped,
// because a newer one has arrived before it or because it seems to be from another target.
func TestEveryAnnouncementOfLeavingBinds(t *testing.T) {
	foreign := heartbeat("i", 5, 9, true)
	foreign.Service = "other"
	leave := func(identity string, started int64) func(*sdinstance.Tracker) {
		return func(tracker *sdinstance.Tracker) { tracker.Leave(start, identity, started) }
	}
	announce := func(h savorydeal.Heartbeat) func(*sdinstance.Tracker) {
		return func(tracker *sdinstance.Tracker) { tracker.Announce(start, h) }
	}
	for name, say := range map[string][]func(*sdinstance.Tracker){
		"older than a ready one":                {announce(heartbeat("i", 5, 3, false)), announce(heartbeat("i", 5, 2, true))},
		"of a start not heard of yet":           {announce(heartbeat("i", 4, 3, false)), leave("i", 5)},
		"while a late one of another is known":  {announce(heartbeat("h", 4, 3, false)), leave("i", 5)},
		"with another service":                  {announce(foreign)},
		"said twice":                            {leave("i", 5), leave("i", 5)},
		"by its health check's identity, twice": {leave("i", 0), leave("i", 5)},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			tracker := sdinstance.New("s", "a")
			for _, event := range say {
				event(tracker)
			}
			tracker.Announce(start, heartbeat("i", 5, 20, false))
			is.Equal(tracker.State().Target, savorydeal.TargetLeaving)
		})
	}
}
