package sdkeyed

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorydeal/savorydeal"
	"github.com/savorydeal/savorydeal/internal/sdclock"
	"github.com/savorydeal/savorydeal/internal/sdinvariant"
	"github.com/savorydeal/savorydeal/internal/sdkeys"
)

// forgetful lets every claim run.
type forgetful struct{ savorydeal.KeyRecords }

func (forgetful) Claim(time.Time, savorydeal.KeyClaim) savorydeal.KeyDecision {
	return savorydeal.KeyDecision{Verdict: savorydeal.KeyRun}
}

func TestRecordsThatLetEveryClaimRun(t *testing.T) {
	is := is.New(t)
	owner := NewOwner(sdclock.NewFake(time.Unix(0, 0)), forgetful{sdkeys.New()}, nil)
	claim := savorydeal.KeyClaim{Service: "orders", Caller: "stall-9", Key: "k1"}
	is.True(sdinvariant.AtMostOnce.Bites(func() {
		owner.claim(claim)
		owner.claim(claim)
	}))
}
