package sdsoak

import (
	"errors"
	"fmt"
	"net"
	"slices"
	"strings"
	"time"

	"github.com/savorydeal/savorydeal"
)

// checkRollingStops returns a finding for each attempt that was cut off in a phase
// whose only fault is a rolling stop.
func checkRollingStops(requests []Request, phases []PhaseResult) []Finding {
	rollingStops := make(map[int]bool)
	for i, phaseResult := range phases {
		if slices.Equal(phaseResult.Phase.Faults, []FaultKind{FaultRollingStop}) {
			rollingStops[i+1] = true
		}
	}
	var findings []Finding
	for _, request := range requests {
		for _, attempt := range request.Attempts {
			if rollingStops[attempt.Phase] && wasCutOff(attempt) {
				findings = append(findings, Finding{FindingCutOff, fmt.Sprintf("%s %s in phase %d: %s", request.Method, request.ID, attempt.Phase, history(request))})
			}
		}
	}
	return findings
}

// history describes the attempts of a request on one line.
func history(request Request) string {
	var parts []string
	for _, attempt := range request.Attempts {
		result := attempt.Result
		parts = append(parts, fmt.Sprintf("[phase %d to %s, latency %v: status %d, outcome %s, reason %s, error %v]", attempt.Phase, attempt.Entry,
			result.Latency.Round(time.Millisecond), result.Status, result.Outcome, result.Reason, result.Err))
	}
	return strings.Join(parts, " ")
}

// wasCutOff reports whether a node accepted an attempt whose outcome then stayed
// unknown. Attempts that found no listener were not accepted.
func wasCutOff(attempt Attempt) bool {
	if attempt.Result.Err == nil {
		// A request whose key has no known owner was not accepted.
		return attempt.Result.Outcome == savorydeal.OutcomeUnknown && attempt.Result.Reason != savorydeal.ReasonKeyOwnerUnknown
	}
	var opErr *net.OpError
	return !errors.As(attempt.Result.Err, &opErr) || opErr.Op != "dial"
}
