package savorydeal

// TargetStart identifies one start of a target, on a platform that identifies targets
// by identity and start time.
type TargetStart struct {
	Identity string
	// Started is the start time in Unix milliseconds, 0 if it is not known.
	Started int64
}

// Matches reports whether s and other can be the same start. A start whose time is not
// known matches every start of the same identity.
func (s TargetStart) Matches(other TargetStart) bool {
	return s.Identity == other.Identity && (s.Started == other.Started || s.Started == 0 || other.Started == 0)
}

// Feedback is what a target states about itself in an answer.
type Feedback struct {
	// Limited is true if the target states a rate limit.
	Limited bool
	// RateLimit is the number of requests per second that the target accepts from all
	// nodes together, at least 0. It has no meaning unless Limited is true.
	RateLimit float64
	// LimitUnknown is true if the answer holds a rate limit that cannot be decoded. Such
	// an answer neither states a limit nor shows that there is none.
	LimitUnknown bool
	// Leaving is true if the target states that it is leaving.
	Leaving bool
}
