package sdaccount

import "github.com/savorydeal/savorydeal"

// MaxKeylessCalls is the number of calls without a key that one run may make. A caller
// that reuses the ID of its own run can start at most as many requests with one key.
const MaxKeylessCalls = 64

// VerdictRunCalls means that the run has made MaxKeylessCalls calls without a key.
const VerdictRunCalls Verdict = "run_calls"

// Request is what the account of a request depends on.
type Request struct {
	// Authorization holds the values of Header.
	Authorization []string
	// Public is true if the request's route needs no key.
	Public bool
	// Run is the run in progress that the request's ID names, nil if there is none.
	Run *Run
}

// Run is a run in progress on the target beside the node.
type Run struct {
	// Account is the name of the run's account, empty if there is none.
	Account string
}

// Decision is the account of a request.
type Decision struct {
	Verdict Verdict
	// Account is nil if the request has none.
	Account *savorydeal.Account
	// OfRun is true if the request is a call of Request.Run, which inherits the account,
	// the rank and the deadline of the run.
	OfRun bool
	// NeedsKey is true if the request is accepted, or would be, only because of its key.
	NeedsKey bool
	// Keyless is true if the request needs no key only because it is a call of a run.
	Keyless bool
}

// Decide returns the account of a request. A key goes before the ID of a run, so that a
// request with the key of another account cannot use the run's account.
func (i *Index) Decide(request Request) Decision {
	run := request.Run
	switch {
	case run != nil && (i == nil || request.Public):
		return Decision{Verdict: VerdictAccepted, Account: i.ofRun(run.Account), OfRun: true}
	case i == nil || request.Public:
		return Decision{Verdict: VerdictAccepted}
	case run != nil && len(request.Authorization) == 0:
		return Decision{Verdict: VerdictAccepted, Account: i.ofRun(run.Account), OfRun: true, Keyless: true}
	}
	account, verdict := i.identify(request.Authorization)
	return Decision{
		Verdict: verdict, Account: account, NeedsKey: true,
		OfRun: account != nil && run != nil && run.Account == account.Name,
	}
}
