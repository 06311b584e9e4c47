package sdinner_test

import (
	"reflect"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorydeal/savorydeal"
	"github.com/savorydeal/savorydeal/internal/sdinner"
)

// What one node writes another reads.
func TestRoundTrip(t *testing.T) {
	is := is.New(t)
	call := sdinner.Call{
		Service: "s", Route: "r", Rank: 2, Depth: 1, Left: 900 * time.Millisecond, Patience: 300 * time.Millisecond,
		Repeatable: true, CallerService: "c",
	}
	read, err := sdinner.DecodeCall(call.Encode())
	is.NoErr(err)
	is.Equal(read, call)
	reply := sdinner.Reply{
		Verdict: sdinner.VerdictNotRun, Reason: "x", Reached: true, Load: sdinner.Load{Running: 1, Queued: 2, Limit: 3, Demand: 1.25},
		Ran: 4 * time.Microsecond, Below: map[string]float64{"a": 4, "b": 0.25}, Pressures: map[string]savorydeal.Pressure{"a": {Load: 1.5, Demand: 0.75}},
	}
	answer, err := sdinner.DecodeReply(reply.Encode())
	is.NoErr(err)
	is.True(reflect.DeepEqual(answer, reply))
}

// Whatever another node sends, reading it ends with a value or an error.
func FuzzDecode(f *testing.F) {
	f.Add("s;r;1;0;5;5;true;c")
	f.Add("ran;;true;1;2;3;4;a=1.00;b=2.00")
	f.Fuzz(func(t *testing.T, text string) {
		if call, err := sdinner.DecodeCall(text); err == nil {
			if again, err := sdinner.DecodeCall(call.Encode()); err != nil || again != call {
				t.Fatalf("%q read as %+v, written and read as %+v, %v", text, call, again, err)
			}
		}
		_, _ = sdinner.DecodeReply(text)
	})
}
