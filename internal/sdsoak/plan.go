package sdsoak

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/savorydeal/savorydeal"
)

// FaultKind names a kind of fault, as reports print it.
type FaultKind string

// The kinds of faults. The functions that runner.newFault calls describe their
// effects.
const (
	FaultSlowDeep              FaultKind = "slow_deep"
	FaultSurge                 FaultKind = "surge"
	FaultHardRetry             FaultKind = "hard_retry"
	FaultPlatformDown          FaultKind = "platform_down"
	FaultPlatformHang          FaultKind = "platform_hang"
	FaultLostAnswer            FaultKind = "lost_answer"
	FaultStalledNode           FaultKind = "stalled_node"
	FaultRacingOperators       FaultKind = "racing_operators"
	FaultSilentLink            FaultKind = "silent_link"
	FaultDataCentrePartitioned FaultKind = "cut_data_centre"
	FaultVMReplaced            FaultKind = "vm_replaced"
	FaultTargetLeaving         FaultKind = "target_leaving"
	FaultRollingStop           FaultKind = "rolling_stop"
)

// FaultKinds returns all kinds of faults.
func FaultKinds() []FaultKind {
	return []FaultKind{
		FaultSlowDeep, FaultSurge, FaultHardRetry, FaultPlatformDown, FaultPlatformHang, FaultLostAnswer,
		FaultStalledNode, FaultRacingOperators, FaultSilentLink, FaultDataCentrePartitioned, FaultVMReplaced, FaultTargetLeaving, FaultRollingStop,
	}
}

// Phase is a part of a run: its faults are injected together, then removed, and the
// run waits for the cluster to recover.
type Phase struct {
	Faults []FaultKind
	// Duration is the time from the start of the faults to their removal.
	Duration time.Duration
	// Seed determines the random choices of the faults.
	Seed uint64
}

const (
	minPhaseDuration = 2 * time.Second
	maxPhaseDuration = 4 * time.Second
	// recoveryEstimate is the time that Plan assumes for the recovery after the
	// faults of each phase.
	recoveryEstimate = 2 * time.Second
)

// Plan returns the phases of a run: first one phase for each kind of fault, then
// pairs and triples of faults in turn, until their estimated time reaches total.
func Plan(random savorydeal.Random, total time.Duration) []Phase {
	var phases []Phase
	planned := time.Duration(0)
	add := func(kinds []FaultKind) bool {
		phase := Phase{
			Faults:   kinds,
			Duration: minPhaseDuration + time.Duration(random.Float64()*float64(maxPhaseDuration-minPhaseDuration)),
			Seed:     random.Uint64(),
		}
		planned += phase.Duration + recoveryEstimate
		phases = append(phases, phase)
		return planned < total
	}
	single := FaultKinds()
	shuffle(random, single)
	for _, kind := range single {
		if !add([]FaultKind{kind}) {
			return phases
		}
	}
	for {
		for n := 2; n <= 3; n++ {
			candidates := FaultKinds()
			shuffle(random, candidates)
			if !add(compatible(candidates, n)) {
				return phases
			}
		}
	}
}

func shuffle(random savorydeal.Random, kinds []FaultKind) {
	for i := len(kinds) - 1; i > 0; i-- {
		j := random.IntN(i + 1)
		kinds[i], kinds[j] = kinds[j], kinds[i]
	}
}

// compatible returns the first n candidates that do not disable one another: at
// most one fault of the platform and one of the network. Racing operators count as
// a platform fault because they need the platform.
func compatible(candidates []FaultKind, n int) []FaultKind {
	groups := [][]FaultKind{
		{FaultPlatformDown, FaultPlatformHang, FaultLostAnswer, FaultRacingOperators},
		{FaultStalledNode, FaultDataCentrePartitioned, FaultVMReplaced, FaultRollingStop},
	}
	var chosen []FaultKind
	for _, kind := range candidates {
		incompatible := slices.ContainsFunc(groups, func(group []FaultKind) bool {
			return slices.Contains(group, kind) && slices.ContainsFunc(chosen, func(c FaultKind) bool { return slices.Contains(group, c) })
		})
		if !incompatible {
			chosen = append(chosen, kind)
		}
		if len(chosen) == n {
			break
		}
	}
	return chosen
}

// NewRandom returns the random source for a seed.
func NewRandom(seed uint64) *rand.Rand {
	return rand.New(rand.NewPCG(seed, 1))
}
