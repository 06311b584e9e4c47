// Package sdattempt decides what follows an attempt of a request: the target's
// answer is returned, the request is sent to a target again, or the node itself
// answers that it has not run or may have run. It answers that a request has not
// run only if that is certain. The package does no I/O.
package sdattempt

// Result is how an attempt ended.
type Result string

// Results of attempts.
const (
	// ResultAnswered means that the target answered without a failure.
	ResultAnswered Result = "answered"
	// ResultFailed means that the target answered with a failure. The request has
	// run.
	ResultFailed Result = "failed"
	// ResultRejected means that the target received the request but did not run
	// it.
	ResultRejected Result = "rejected"
	// ResultTurnedAway means that the request did not reach the target, for
	// example because its node refused it.
	ResultTurnedAway Result = "turned_away"
	// ResultUnknown means that the request may have run.
	ResultUnknown Result = "unknown"
)

// Step is what follows an attempt.
type Step string

// Steps after an attempt.
const (
	// StepPass returns the target's answer to the caller.
	StepPass Step = "pass"
	// StepNextTarget sends the request to one more target.
	StepNextTarget Step = "again"
	// StepSameTarget sends the request again to one of the targets that it has
	// reached.
	StepSameTarget Step = "same"
	// StepRefuse answers that the request has not run.
	StepRefuse Step = "refuse"
	// StepFail answers that the request may have run.
	StepFail Step = "fail"
)

// maxRedirects limits the attempts at further nodes after the first
// ResultTurnedAway: each costs time, and each such result is a sign that the service
// has no spare capacity.
const maxRedirects = 3

// maxArrivals limits how often one request reaches a target, including targets that
// reject it.
const maxArrivals = 4

// Attempts holds the state of the attempts of one request. It is not safe for
// concurrent use.
type Attempts struct {
	repeatable bool
	maxTargets int
	// arrivals is the number of attempts that reached a target, targets the
	// number of different targets reached, at most maxTargets.
	arrivals int
	targets  int
	// redirects counts the attempts that did not reach a target.
	redirects  int
	mayHaveRun bool
}

// New returns the state of a request without attempts. The request may be sent to
// maxTargets targets. repeatable is whether it may run more than once.
func New(repeatable bool, maxTargets int) *Attempts {
	return &Attempts{repeatable: repeatable, maxTargets: maxTargets}
}

// Next decides what follows an attempt that ended with result. last is true if no
// further attempt makes sense, because the deadline has passed or the caller has
// disconnected. spend charges one more attempt to the shared retry budget and
// reports false if the budget is exhausted; Next calls it only if everything else
// allows that attempt.
func (a *Attempts) Next(result Result, last bool, spend func() bool) Step {
	switch result {
	case ResultAnswered:
		return StepPass
	case ResultTurnedAway:
		a.redirects++
		if last || a.redirects > maxRedirects {
			return a.GiveUp()
		}
		return StepNextTarget
	case ResultFailed, ResultUnknown:
		a.mayHaveRun = true
	case ResultRejected:
	}
	a.arrivals++
	a.targets = min(a.targets+1, a.maxTargets)
	mayRepeat := !last && (a.repeatable || !a.mayHaveRun) && a.arrivals < maxArrivals
	moreTargets := a.targets < a.maxTargets
	switch {
	case mayRepeat && moreTargets && spend():
		return StepNextTarget
	case mayRepeat && !moreTargets && result == ResultRejected && spend():
		return StepSameTarget
	case result == ResultFailed:
		return StepPass
	}
	return a.GiveUp()
}

// GiveUp returns the last step of a request for which no further attempt is made.
func (a *Attempts) GiveUp() Step {
	if a.mayHaveRun {
		return StepFail
	}
	return StepRefuse
}
