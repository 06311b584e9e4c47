package sdsoak

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/savorydeal/savorydeal"
)

// Kind names a kind of fault.
type Kind string

// Kinds of faults.
const (
	KindSlowDeep     Kind = "slow_deep"
	KindSurge        Kind = "surge"
	KindHardRetry    Kind = "hard_retry"
	KindPlatformDown Kind = "platform_down"
	KindPlatformHang Kind = "platform_hang"
	KindLostAnswer   Kind = "lost_answer"
	KindStalledNode  Kind = "stalled_node"
	KindRace         Kind = "racing_operators"
	KindSilentLink   Kind = "silent_link"
	KindCut          Kind = "cut_data_centre"
	KindReplaced     Kind = "vm_replaced"
	KindLeaving      Kind = "target_leaving"
	KindRollingStop  Kind = "rolling_stop"
)

// Kinds lists all kinds of faults.
func Kinds() []Kind {
	return []Kind{
		KindSlowDeep, KindSurge, KindHardRetry, KindPlatformDown, KindPlatformHang, KindLostAnswer,
		KindStalledNode, KindRace, KindSilentLink, KindCut, KindReplaced, KindLeaving, KindRollingStop,
	}
}

// Phase is one stretch of a run: faults that strike together, then calm.
type Phase struct {
	Kinds []Kind
	// Lasts is how long the faults are held.
	Lasts time.Duration
	// Seed feeds the choices within the phase.
	Seed uint64
}

const (
	minPhase = 2 * time.Second
	maxPhase = 4 * time.Second
	// calmBudget is what the planner reckons for the calm after each phase.
	calmBudget = 2 * time.Second
)

// Plan lays out the phases of a run by its seed: every kind alone first, then
// pairs and threes in turn, until the time is used up.
func Plan(random savorydeal.Random, lasts time.Duration) []Phase {
	var phases []Phase
	used := time.Duration(0)
	add := func(kinds []Kind) bool {
		phase := Phase{
			Kinds: kinds,
			Lasts: minPhase + time.Duration(random.Float64()*float64(maxPhase-minPhase)),
			Seed:  random.Uint64(),
		}
		used += phase.Lasts + calmBudget
		phases = append(phases, phase)
		return used < lasts
	}
	alone := Kinds()
	shuffle(random, alone)
	for _, kind := range alone {
		if !add([]Kind{kind}) {
			return phases
		}
	}
	for {
		for together := 2; together <= 3; together++ {
			drawn := Kinds()
			shuffle(random, drawn)
			if !add(compatible(drawn, together)) {
				return phases
			}
		}
	}
}

func shuffle(random savorydeal.Random, kinds []Kind) {
	for i := len(kinds) - 1; i > 0; i-- {
		j := random.IntN(i + 1)
		kinds[i], kinds[j] = kinds[j], kinds[i]
	}
}

// compatible takes the first kinds that do not undo one another: one fault of
// the platform (without which operators cannot race) and one of the network at a
// time.
func compatible(drawn []Kind, n int) []Kind {
	groups := [][]Kind{
		{KindPlatformDown, KindPlatformHang, KindLostAnswer, KindRace},
		{KindStalledNode, KindCut, KindReplaced, KindRollingStop},
	}
	var chosen []Kind
	for _, kind := range drawn {
		clash := slices.ContainsFunc(groups, func(group []Kind) bool {
			return slices.Contains(group, kind) && slices.ContainsFunc(chosen, func(c Kind) bool { return slices.Contains(group, c) })
		})
		if !clash {
			chosen = append(chosen, kind)
		}
		if len(chosen) == n {
			break
		}
	}
	return chosen
}

// NewRandom returns the source of a run.
func NewRandom(seed uint64) *rand.Rand {
	return rand.New(rand.NewPCG(seed, 1))
}
