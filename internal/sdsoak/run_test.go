package sdsoak

import (
	"context"
	"os"
	"testing"
	"time"

	"github.com/savorydeal/savorydeal/internal/sdrig"
)

// fixedPhases are played by every CI run: faults alone, in pairs and in a
// three, with fixed seeds.
func fixedPhases() []Phase {
	return []Phase{
		{Kinds: []Kind{KindSlowDeep, KindSurge, KindHardRetry}, Lasts: 2 * time.Second, Seed: 1},
		{Kinds: []Kind{KindCut, KindLostAnswer}, Lasts: 2 * time.Second, Seed: 2},
		{Kinds: []Kind{KindSilentLink, KindRace}, Lasts: 2 * time.Second, Seed: 3},
		{Kinds: []Kind{KindStalledNode, KindPlatformDown}, Lasts: 2 * time.Second, Seed: 4},
		{Kinds: []Kind{KindReplaced}, Lasts: 2 * time.Second, Seed: 5},
		{Kinds: []Kind{KindLeaving, KindPlatformHang}, Lasts: 2 * time.Second, Seed: 6},
		{Kinds: []Kind{KindRollingStop}, Lasts: time.Second, Seed: 7},
	}
}

func TestFixedPhases(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Minute)
	defer cancel()
	result, err := Run(ctx, 1, fixedPhases(), sdrig.Discard(), func(PhaseResult) {})
	if err != nil {
		t.Fatal(err)
	}
	if len(result.Findings) > 0 {
		_ = Report(os.Stdout, result)
		t.Errorf("%d findings", len(result.Findings))
	}
}
