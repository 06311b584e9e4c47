package sdsoak

import (
	"fmt"
	"net/http"
	"sort"
	"time"

	"github.com/savorydeal/savorydeal"
	"github.com/savorydeal/savorydeal/internal/sdstandcaller"
	"github.com/savorydeal/savorydeal/internal/sdstandtarget"
)

// Request is a caller's record of one request and all its attempts.
type Request struct {
	ID       string
	Service  string
	Method   string
	Class    savorydeal.Class
	Attempts []Attempt
}

// Attempt is one sending of a request by its caller to a node.
type Attempt struct {
	// Entry is the data centre and service of the node's VM, such as
	// "ub-1/limit-change".
	Entry string
	// Phase is the number of the phase at the time of sending, from 1; 0 is
	// before the first.
	Phase  int
	Result sdstandcaller.Result
}

// TargetRuns holds the runs in the ledger of one target.
type TargetRuns struct {
	Service string
	// LeavingSince is when the target announced that it leaves; zero if never.
	LeavingSince time.Time
	Runs         []sdstandtarget.Run
}

// FindingKind names a violated guarantee or a failed check of a run.
type FindingKind string

// The kinds of findings.
const (
	// FindingRunTwice is a POST request that a service ran more than once.
	FindingRunTwice FindingKind = "run_twice"
	// FindingWrongAnswer is a complete answer that belongs to another request or
	// is truncated.
	FindingWrongAnswer FindingKind = "crossed_or_short_answer"
	// FindingFalseNotRun is a request that was answered as not run, but ran.
	FindingFalseNotRun FindingKind = "false_not_run"
	// FindingAnswerWithoutRun is a complete answer to a request that no target ran.
	FindingAnswerWithoutRun FindingKind = "answer_without_run"
	// FindingWorkAfterLeaving is a run that a target started more than
	// leavingGrace after it had announced that it leaves.
	FindingWorkAfterLeaving FindingKind = "work_after_leaving"
	// FindingClassOrder is a phase in which overload control refused critical
	// attempts at a higher rate than low ones.
	FindingClassOrder FindingKind = "class_order"
	// FindingCutOff is an attempt whose outcome stayed unknown during a rolling
	// stop, or a graceful stop that failed.
	FindingCutOff FindingKind = "cut_off_by_planned_stop"
	// FindingConfiguration is a lost or wrongly accepted policy change, or a
	// version that went back.
	FindingConfiguration FindingKind = "configuration"
	// FindingNoRecovery is a phase after which not every node answered in time.
	FindingNoRecovery FindingKind = "no_recovery"
	// FindingInvariant is a violation that a check of package sdinvariant counted.
	FindingInvariant FindingKind = "invariant"
	// FindingFaultNotInjected is a fault without any effect in its phase.
	FindingFaultNotInjected FindingKind = "fault_did_not_fire"
)

// Finding is one violated guarantee or failed check.
type Finding struct {
	Kind   FindingKind
	Detail string
}

// leavingGrace is how long a target may still get new work after it has announced
// that it leaves.
const leavingGrace = 5 * time.Second

// ledgerKey identifies a request in the targets' ledgers. The runs that a request
// causes at other services have the same ID.
type ledgerKey struct {
	service string
	id      string
}

// CheckLedgers compares the answers that callers received with the runs in the
// targets' ledgers.
func CheckLedgers(requests []Request, targets []TargetRuns) []Finding {
	runs := make(map[ledgerKey]int)
	var findings []Finding
	for _, target := range targets {
		for _, run := range target.Runs {
			key := ledgerKey{service: target.Service, id: run.LedgerID}
			runs[key]++
			if run.Method == http.MethodPost && runs[key] == 2 {
				findings = append(findings, Finding{FindingRunTwice, fmt.Sprintf("service %s ran request %s more than once", target.Service, run.LedgerID)})
			}
			if !target.LeavingSince.IsZero() && run.Started.After(target.LeavingSince.Add(leavingGrace)) {
				findings = append(findings, Finding{FindingWorkAfterLeaving, fmt.Sprintf("request %s was started %v after its target of %s had announced that it leaves",
					run.LedgerID, run.Started.Sub(target.LeavingSince).Round(time.Millisecond), target.Service)})
			}
		}
	}
	for _, request := range requests {
		findings = append(findings, checkRequest(request, runs[ledgerKey{service: request.Service, id: request.ID}])...)
	}
	return append(findings, checkClassOrder(requests)...)
}

func checkRequest(request Request, runs int) []Finding {
	var findings []Finding
	allNotRun := len(request.Attempts) > 0
	for _, attempt := range request.Attempts {
		result := attempt.Result
		if result.Err != nil || result.Outcome != savorydeal.OutcomeNotRun {
			allNotRun = false
		}
		if !result.Complete() {
			continue
		}
		want := fmt.Sprintf("%s %s %s\n", request.Service, request.Method, request.ID)
		if result.Body != want {
			findings = append(findings, Finding{FindingWrongAnswer, fmt.Sprintf("request %s sent to %s got the answer %q", request.ID, attempt.Entry, result.Body)})
		}
		if runs == 0 {
			findings = append(findings, Finding{FindingAnswerWithoutRun, request.ID + " has a complete answer, but no target ran it"})
		}
	}
	if allNotRun && runs > 0 {
		findings = append(findings, Finding{FindingFalseNotRun, fmt.Sprintf("request %s was answered as not run, but ran %d time(s)", request.ID, runs)})
	}
	return findings
}

const (
	// minOrderSample is the minimum number of attempts of a class in a phase for
	// which its refusal rate is compared; the rate of fewer is too uncertain.
	minOrderSample = 50
	// orderTolerance is a difference of refusal rates that may be due to chance.
	orderTolerance = 0.05
)

type phaseClass struct {
	phase int
	class savorydeal.Class
}

// refusalCount counts the attempts of a class in a phase and those of them that
// overload control refused.
type refusalCount struct {
	attempts int
	refused  int
}

// rate returns the refusal rate in [0, 1].
func (c refusalCount) rate() float64 {
	return float64(c.refused) / float64(c.attempts)
}

// checkClassOrder checks for each phase that overload control did not refuse
// critical attempts at a higher rate than low ones.
func checkClassOrder(requests []Request) []Finding {
	counts := make(map[phaseClass]refusalCount)
	lastPhase := 0
	for _, request := range requests {
		for _, attempt := range request.Attempts {
			key := phaseClass{phase: attempt.Phase, class: request.Class}
			count := counts[key]
			count.attempts++
			if isOverloadRefusal(attempt.Result.Reason) {
				count.refused++
			}
			counts[key] = count
			lastPhase = max(lastPhase, attempt.Phase)
		}
	}
	var findings []Finding
	for phase := 0; phase <= lastPhase; phase++ {
		critical := counts[phaseClass{phase, savorydeal.ClassCritical}]
		low := counts[phaseClass{phase, savorydeal.ClassLow}]
		if critical.attempts < minOrderSample || low.attempts < minOrderSample {
			continue
		}
		if critical.rate() > low.rate()+orderTolerance {
			findings = append(findings, Finding{FindingClassOrder, fmt.Sprintf("phase %d: overload control refused %.0f%% of critical attempts, but only %.0f%% of low ones",
				phase, 100*critical.rate(), 100*low.rate())})
		}
	}
	return findings
}

func isOverloadRefusal(reason savorydeal.Reason) bool {
	return reason == savorydeal.ReasonOverloaded || reason == savorydeal.ReasonQueueFull || reason == savorydeal.ReasonEvicted
}

// Goodput counts the requests of a class and those of them with a complete answer.
type Goodput struct {
	Class     savorydeal.Class
	Requests  int
	Completed int
}

// GoodputByClass returns the goodput of each class, the most important first.
func GoodputByClass(requests []Request) []Goodput {
	byClass := make(map[savorydeal.Class]Goodput)
	for _, request := range requests {
		count := byClass[request.Class]
		count.Class = request.Class
		count.Requests++
		if n := len(request.Attempts); n > 0 && request.Attempts[n-1].Result.Complete() {
			count.Completed++
		}
		byClass[request.Class] = count
	}
	var list []Goodput
	for _, count := range byClass {
		list = append(list, count)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Class.Rank() < list[j].Class.Rank() })
	return list
}
