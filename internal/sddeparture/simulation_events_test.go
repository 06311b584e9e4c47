package sddeparture_test

import (
	"time"

	"github.com/savorydeal/savorydeal"
)

// entry is what members gossip of the target's node.
type entry struct {
	generation, incarnation int
	departed                savorydeal.TargetStart
}

func (e entry) newerThan(other entry) bool {
	return e.generation > other.generation || e.generation == other.generation && e.incarnation > other.incarnation
}

type departureEvent struct {
	at       time.Time
	sequence int
	do       func()
}

// departureEvents is a heap of events in the order of time, then of scheduling.
type departureEvents []departureEvent

func (e departureEvents) Len() int { return len(e) }
func (e departureEvents) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].sequence < e[j].sequence
}
func (e departureEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *departureEvents) Push(x any)   { *e = append(*e, x.(departureEvent)) }
func (e *departureEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}
