package sddeparture

import (
	"cmp"
	"slices"
	"time"

	"github.com/savorydeal/savorydeal"
)

const (
	// askedPeers is the number of other nodes whose answers a new process waits for.
	askedPeers = 2
	// maxSourceWait is how long a new process waits for the second of its two sources,
	// the store and the other nodes, once the first one has answered.
	maxSourceWait = 500 * time.Millisecond
	// maxWait is how long it waits in all after the first configuration.
	maxWait = 3 * time.Second
	// completeAfter is the time after which a process has learnt from others what it
	// could not know from before its start.
	completeAfter = 3 * time.Second
)

// Restorer decides when a new process knows the departures of its VM that earlier processes
// have acknowledged. Until then its target gets no calls. It is not safe for concurrent use.
type Restorer struct {
	startedAt time.Time
	// configuredAt is when the process got its first configuration, zero before.
	configuredAt  time.Time
	storeAnswered bool
	// mayBeOlder is true if the store has come back from a copy at some time, so that it may
	// lack departures and meeting points.
	mayBeOlder bool
	// joined is true once the process has contacted the nodes that it found in the store.
	joined bool
	// answers holds the nodes that have answered, and whether each has run long enough.
	answers map[savorydeal.NodeID]bool
	done    bool
}

// NewRestorer returns a Restorer for a process that starts at now. firstStart is true if the
// whole platform starts for the first time, so that there was no earlier process.
func NewRestorer(now time.Time, firstStart bool) *Restorer {
	return &Restorer{startedAt: now, answers: make(map[savorydeal.NodeID]bool), done: firstStart}
}

// StoreAnswered records that the store has answered.
func (r *Restorer) StoreAnswered() { r.storeAnswered = true }

// StoreMayBeOlder records that the store has come back from a copy at some time. Its answer
// then suffices without that of another node only after twice maxSourceWait.
func (r *Restorer) StoreMayBeOlder() { r.mayBeOlder = true }

// Joined records that the process has contacted the nodes that it found in the store.
func (r *Restorer) Joined() { r.joined = true }

// PeerAnswered records the answer of another node, and whether it is complete.
func (r *Restorer) PeerAnswered(node savorydeal.NodeID, complete bool) { r.answers[node] = complete }

// Configured records that a configuration is in force.
func (r *Restorer) Configured(now time.Time) {
	if r.configuredAt.IsZero() {
		r.configuredAt = now
	}
}

// NextPeer returns the node to ask next: the live one that has run longest among those that
// have not answered and are not in tried. It reports false if none has to be asked.
func (r *Restorer) NextPeer(others []savorydeal.Member, tried map[savorydeal.NodeID]bool) (savorydeal.Member, bool) {
	if r.done || r.completeAnswers() >= askedPeers {
		return savorydeal.Member{}, false
	}
	candidates := slices.DeleteFunc(slices.Clone(others), func(m savorydeal.Member) bool {
		_, answered := r.answers[m.Node]
		return !m.Live() || answered || tried[m.Node]
	})
	if len(candidates) == 0 {
		return savorydeal.Member{}, false
	}
	return slices.MinFunc(candidates, func(a, b savorydeal.Member) int { return cmp.Compare(a.Generation, b.Generation) }), true
}

func (r *Restorer) completeAnswers() int {
	count := 0
	for _, complete := range r.answers {
		if complete {
			count++
		}
	}
	return count
}

// Done reports whether the departures are known, as far as they can be. others are the other
// members.
func (r *Restorer) Done(now time.Time, others []savorydeal.Member) bool {
	if r.done {
		return true
	}
	live := 0
	for _, member := range others {
		if member.Live() {
			live++
		}
	}
	waited := now.Sub(r.startedAt) >= maxSourceWait
	peersAnswered := (live > 0 || r.joined) && len(r.answers) >= min(askedPeers, live)
	storeWaited := waited
	if r.mayBeOlder {
		storeWaited = now.Sub(r.startedAt) >= 2*maxSourceWait
		peersAnswered = peersAnswered && len(r.answers) > 0
	}
	switch {
	case r.storeAnswered && (peersAnswered || storeWaited):
		r.done = true
	case waited && r.completeAnswers() >= min(askedPeers, max(1, live)):
		r.done = true
	case !r.configuredAt.IsZero() && now.Sub(r.configuredAt) >= maxWait:
		r.done = true
	}
	return r.done
}

// Complete reports whether this process knows the departures of other VMs that are older
// than itself, so that it can tell a new process of them.
func (r *Restorer) Complete(now time.Time, firstStart bool) bool {
	return firstStart || r.done && now.Sub(r.startedAt) >= completeAfter
}
