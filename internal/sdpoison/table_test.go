package sdpoison_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorydeal/savorydeal"
	"github.com/savorydeal/savorydeal/internal/sdpoison"
)

var start = time.Unix(1_000, 0)

func crashOn(node savorydeal.NodeID) sdpoison.Crash {
	return sdpoison.Crash{Fingerprint: 7, Service: "orders", Method: "POST", Path: "/orders", Node: node}
}

// Each case records events in an empty table and checks, at a time after start,
// whether the request is blocked.
func TestBlocking(t *testing.T) {
	cases := []struct {
		name    string
		events  func(table *sdpoison.Table)
		after   time.Duration
		blocked bool
	}{
		{"no crash", func(*sdpoison.Table) {}, 0, false},
		{"one crash", func(t *sdpoison.Table) { t.RecordCrash(start, crashOn("a")) }, 0, false},
		{"two targets crashed", func(t *sdpoison.Table) {
			t.RecordCrash(start, crashOn("a"))
			t.RecordCrash(start, crashOn("b"))
		}, 0, true},
		{"one crash reported by many calls", func(t *sdpoison.Table) {
			for range 140 {
				t.RecordCrash(start, crashOn("a"))
			}
		}, 0, false},
		{"one crash reported late", func(t *sdpoison.Table) {
			t.RecordCrash(start, crashOn("a"))
			late := crashOn("a")
			late.RanFor = 3 * time.Second
			t.RecordCrash(start.Add(2*time.Second), late)
		}, 2 * time.Second, false},
		{"the same target, crashed again by a later run", func(t *sdpoison.Table) {
			t.RecordCrash(start, crashOn("a"))
			t.RecordCrash(start.Add(20*time.Millisecond), crashOn("a"))
		}, 20 * time.Millisecond, true},
		{"the same target, restarted and crashed again", func(t *sdpoison.Table) {
			t.RecordCrash(start, crashOn("a"))
			t.RecordCrash(start.Add(5*time.Second), crashOn("a"))
		}, 5 * time.Second, true},
		{"answered between two crashes", func(t *sdpoison.Table) {
			t.RecordCrash(start, crashOn("a"))
			t.RecordSuccess(7)
			t.RecordCrash(start, crashOn("b"))
		}, 0, false},
		{"block expired", func(t *sdpoison.Table) {
			t.RecordCrash(start, crashOn("a"))
			t.RecordCrash(start, crashOn("b"))
		}, sdpoison.BlockDuration, false},
		{"one more crash after the block has expired", func(t *sdpoison.Table) {
			t.RecordCrash(start, crashOn("a"))
			t.RecordCrash(start, crashOn("b"))
			t.RecordCrash(start.Add(sdpoison.BlockDuration), crashOn("c"))
		}, sdpoison.BlockDuration, true},
		{"released by an operator", func(t *sdpoison.Table) {
			t.RecordCrash(start, crashOn("a"))
			t.RecordCrash(start, crashOn("b"))
			t.Release(7)
		}, 0, false},
		{"two crashes more than SuspectDuration apart", func(t *sdpoison.Table) {
			t.RecordCrash(start, crashOn("a"))
			t.RecordCrash(start.Add(2*sdpoison.SuspectDuration), crashOn("b"))
		}, 2 * sdpoison.SuspectDuration, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			table := sdpoison.New()
			c.events(table)
			refusal := table.Check(start.Add(c.after), 7)
			if (refusal != nil) != c.blocked {
				t.Fatalf("got refusal %v", refusal)
			}
			if refusal != nil && (refusal.Outcome != savorydeal.OutcomeNotRun || refusal.Reason != savorydeal.ReasonPoison) {
				t.Fatalf("got refusal %v, want outcome not_run and reason poison", refusal)
			}
			if table.Check(start.Add(c.after), 8) != nil {
				t.Fatal("a request with another fingerprint is blocked")
			}
		})
	}
}

func TestFingerprintIgnoresKey(t *testing.T) {
	is := is.New(t)
	call := savorydeal.Call{Service: "orders", Method: "POST", Path: "/orders", Key: "a", ContentLength: 1}
	otherKey := call
	otherKey.Key = "b"
	is.Equal(sdpoison.FingerprintOf(call, "c", []byte("x")), sdpoison.FingerprintOf(otherKey, "c", []byte("x")))
	is.True(sdpoison.FingerprintOf(call, "c", []byte("x")) != sdpoison.FingerprintOf(call, "c", []byte("y")))
	otherPath := call
	otherPath.Path = "/orders/1"
	is.True(sdpoison.FingerprintOf(call, "c", []byte("x")) != sdpoison.FingerprintOf(otherPath, "c", []byte("x")))
	is.True(sdpoison.FingerprintOf(call, "c", []byte("x")) != sdpoison.FingerprintOf(call, "d", []byte("x")))
	parsed, err := sdpoison.ParseFingerprint(sdpoison.Fingerprint(7).String())
	is.NoErr(err)
	is.Equal(parsed, sdpoison.Fingerprint(7))
}

func TestTableIsBounded(t *testing.T) {
	is := is.New(t)
	table := sdpoison.New()
	for i := range 10_050 {
		crash := crashOn("a")
		crash.Fingerprint = sdpoison.Fingerprint(i)
		crash.Path = fmt.Sprintf("/%01000d", i)
		table.RecordCrash(start.Add(time.Duration(i)*time.Millisecond), crash)
	}
	entries := table.List(start)
	is.Equal(len(entries), 10_000)
	is.Equal(entries[0].Fingerprint, sdpoison.Fingerprint(10_049))
	is.Equal(len(entries[0].Path), 256)
	table.Expire(start.Add(3 * sdpoison.SuspectDuration))
	is.Equal(len(table.List(start)), 0)
}
