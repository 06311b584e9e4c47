package sdkeyed_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorydeal/savorydeal"
)

// leave hands the owner's parts over as a planned stop does, with a call of
// another node sent in the middle: the owner is gone, its successor has not
// adopted yet.
func (f *fleet) leave(owner, successor string, adopt bool) string {
	f.t.Helper()
	f.nodes[owner].member.State = savorydeal.MemberLeft
	f.nodes[owner].owner.Freeze()
	bundle, err := f.nodes[owner].owner.Export()
	if err != nil {
		f.t.Fatal(err)
	}
	f.nodes[owner].stop = true
	hits := f.severedHits
	got := make(chan string, 1)
	through := f.otherThan(owner, successor)
	go func() { got <- f.send(through, "during") }()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	for step := 0; ; step++ {
		select {
		case result := <-got:
			if f.severedHits == hits {
				f.t.Fatal("the call never met the owner that was gone")
			}
			return result
		case <-ctx.Done():
			f.t.Fatal("the call has not ended")
		case <-time.After(2 * time.Millisecond):
		}
		if adopt && step == 2 {
			if err := f.nodes[successor].parts.Adopt(context.Background(), f.clock.Now(), bundle); err != nil {
				f.t.Fatal(err)
			}
		}
		f.clock.Advance(100 * time.Millisecond)
	}
}

// warm lets every node know the owner of the one part that the keys are in.
func (f *fleet) warm(key string) string {
	f.t.Helper()
	for _, through := range []string{"a", "b", "c"} {
		f.expectSend(through, key, answered)
	}
	return f.ownerOfPart(key)
}

func TestCallDuringAPlannedStopOfItsOwnerIsAnswered(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, "a", "b", "c")
	owner := f.warm("during")
	is.Equal(f.leave(owner, f.otherThan(owner), true), answered)
	f.expectRuns("during", 1) // answered from the record
}

func TestCallOfAnOwnerThatLeftWithoutSuccessorEnds(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, "a", "b", "c")
	owner := f.warm("during")
	is.Equal(f.leave(owner, f.otherThan(owner), false), "unknown key_owner_unknown")
	f.expectRuns("during", 1)
}
