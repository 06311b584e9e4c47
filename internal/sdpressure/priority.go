// Package sdpressure reduces the calls to an overloaded service. It computes the
// admission level that a target's node reports, refuses requests at their first
// node, before they cost anything, if a service on their path has a high level,
// and computes the wait for refused callers. Package sdnode uses it; package
// sdsidecar uses sdshedding. The package does no I/O.
//
// Levels and priorities share one scale, from 0 to MaxLevel. Level 0 admits every
// call; otherwise a call is admitted if its priority is at least the level. The
// class decides the upper part of a priority, the rank of the request the lower
// part. The rank stays the same over the whole chain, so that every hop drops the
// same requests.
package sdpressure

import (
	"github.com/savorydeal/savorydeal"
)

const (
	// ranksPerClass is the number of priorities of each class.
	ranksPerClass = 128
	// MaxLevel is the end of the scale: above the priority of every call, so that
	// it would admit none.
	MaxLevel = savorydeal.ClassCount * ranksPerClass
	// CriticalLevel admits all calls of the most important class and no others.
	// Above it a part of that class is refused too.
	CriticalLevel = MaxLevel - ranksPerClass
	// rankShift reduces a rank of 32 bits to one of ranksPerClass values.
	rankShift = 25
)

// Priority returns the priority of a call, from 0 for the least important to
// MaxLevel-1.
func Priority(class savorydeal.Class, rank uint32) int {
	return (savorydeal.ClassCount-1-class.Rank())*ranksPerClass + int(rank>>rankShift)
}

// Admits reports whether a level admits a call.
func Admits(level int, class savorydeal.Class, rank uint32) bool {
	return Priority(class, rank) >= level
}
