package sdoperator

import (
	"context"

	"github.com/savorydeal/savorydeal/internal/sdoperatorapi"
	"github.com/savorydeal/savorydeal/internal/sdpoison"
	"github.com/savorydeal/savorydeal/internal/sdpolicy"
)

// ListUnknownOutcomes lists the keyed calls of a service that may have run and have
// no answer.
func (s *Server) ListUnknownOutcomes(ctx context.Context, params sdoperatorapi.ListUnknownOutcomesParams) (*sdoperatorapi.UnknownOutcomeList, error) {
	outcomes, err := s.node.UnknownOutcomes(ctx, params.Service, params.Key.Or(""))
	list := &sdoperatorapi.UnknownOutcomeList{
		Service:  params.Service,
		Complete: err == nil,
		Outcomes: []sdoperatorapi.UnknownOutcome{},
	}
	for _, outcome := range outcomes {
		list.Outcomes = append(list.Outcomes, sdoperatorapi.UnknownOutcome{
			At:        outcome.Time,
			Service:   outcome.Service,
			Operation: outcome.Operation,
			Key:       outcome.Key,
			Caller:    outcome.Caller,
			RequestID: outcome.RequestID,
			Reason:    string(outcome.Reason),
			Node:      string(outcome.Node),
		})
	}
	return list, nil
}

// ListPoison lists the requests that have crashed targets.
func (s *Server) ListPoison(context.Context) (*sdoperatorapi.PoisonList, error) {
	list := &sdoperatorapi.PoisonList{Requests: []sdoperatorapi.PoisonRequest{}}
	for _, entry := range s.node.Poison() {
		list.Requests = append(list.Requests, sdoperatorapi.PoisonRequest{
			Fingerprint: entry.Fingerprint.String(),
			Service:     entry.Service,
			Method:      entry.Method,
			Path:        entry.Path,
			Crashes:     entry.Crashes,
			Blocked:     entry.Blocked,
			Until:       entry.Until,
		})
	}
	return list, nil
}

// ReleasePoison lets a blocked request run again on all nodes that can be reached.
func (s *Server) ReleasePoison(ctx context.Context, params sdoperatorapi.ReleasePoisonParams) (*sdoperatorapi.PoisonRelease, error) {
	fingerprint, err := sdpoison.ParseFingerprint(params.Fingerprint)
	if err != nil {
		return nil, &sdpolicy.InvalidError{Fields: []sdpolicy.FieldError{{Field: "fingerprint", Remedy: err.Error()}}}
	}
	released, unreachable := s.node.ReleasePoison(ctx, fingerprint)
	return &sdoperatorapi.PoisonRelease{Fingerprint: params.Fingerprint, Told: released, Unreachable: nodeNames(unreachable)}, nil
}
