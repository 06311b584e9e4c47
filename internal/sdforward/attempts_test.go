package sdforward

import (
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/savorydeal/savorydeal/internal/sdclock"
)

// At the limit of blocked attempts the oldest ones are dropped. The latest, whose calls
// may still arrive, never run.
func TestLatestBlockedAttemptsNeverRun(t *testing.T) {
	is := is.New(t)
	attempts := NewAttempts(sdclock.System{})
	const more = 500
	for i := range maxBlocked + more {
		_, found := attempts.find(strconv.Itoa(i))
		is.True(!found)
	}
	for i := more; i < maxBlocked+more; i++ {
		if _, mayRun := attempts.begin(strconv.Itoa(i)); mayRun {
			t.Fatalf("attempt %d of %d runs although its fetch was refused as not run", i, maxBlocked+more)
		}
	}
	is.Equal(len(attempts.blocked), maxBlocked)
}

// An attempt is blocked for blockDuration, also if it is fetched again meanwhile.
func TestBlockedAttemptsExpire(t *testing.T) {
	is := is.New(t)
	attempts := NewAttempts(sdclock.System{})
	attempts.find("old")
	attempts.find("old")
	is.Equal(len(attempts.blockedOrder), 1)
	attempts.blockedOrder[0].blockedAt = time.Now().Add(-blockDuration)
	attempts.find("new")
	_, mayRun := attempts.begin("old")
	is.True(mayRun)
	_, mayRun = attempts.begin("new")
	is.True(!mayRun)
}
