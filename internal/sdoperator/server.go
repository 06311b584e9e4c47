// Package sdoperator serves the admin API of a node.
package sdoperator

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/go-faster/jx"

	"github.com/savorydeal/savorydeal"
	"github.com/savorydeal/savorydeal/internal/sdoperatorapi"
	"github.com/savorydeal/savorydeal/internal/sdpoison"
	"github.com/savorydeal/savorydeal/internal/sdpolicy"
	"github.com/savorydeal/savorydeal/internal/sdproblem"
	"github.com/savorydeal/savorydeal/internal/sdrecord"
	"github.com/savorydeal/savorydeal/internal/sdtls"
	"github.com/savorydeal/savorydeal/internal/sdunknown"
)

// Status describes a node, its target and its policies.
type Status struct {
	// Self is the node's own membership entry.
	Self savorydeal.Member
	// Version is the release of the node's software.
	Version string
	// NodesAlive counts the alive nodes in the node's membership view, itself
	// included.
	NodesAlive int
	// Policies counts the policies in force at the node, PoliciesRejected the
	// objects whose newest version it cannot read.
	Policies          int
	PoliciesRejected  int
	PlatformReachable bool
}

// InForce counts the nodes that run at least a version of a policy, those that run
// an older one (lagging) and those whose version is unknown (unreachable).
type InForce struct {
	InForce          int
	LaggingCount     int
	UnreachableCount int
	// Lagging and Unreachable list some of these nodes; the counts are complete.
	Lagging     []savorydeal.NodeID
	Unreachable []savorydeal.NodeID
}

// Section is one section of a state dump.
type Section struct {
	Name string
	// Value is JSON.
	Value []byte
}

// Node is the interface through which the API reads and controls its node.
type Node interface {
	Status() Status
	Members() []savorydeal.Member
	Policies() *sdpolicy.Table
	// ApplyAccepted puts into force an object version that the platform has
	// accepted, and sends it to other nodes.
	ApplyAccepted(ctx context.Context, object savorydeal.Object)
	// InForce finds out which nodes run at least the version.
	InForce(ctx context.Context, service string, version int64) InForce
	Dump(ctx context.Context) []Section
	// Security describes the certificate in force.
	Security() Security
	// ReplaceSecurity replaces the certificate, key and authorities, and the
	// datagram keys if they are not empty.
	ReplaceSecurity(pem sdtls.PEM, datagramKeys string) error
	// UnknownOutcomes lists the unknown outcomes of a service, limited to one key
	// unless it is empty. With an error the list may be incomplete.
	UnknownOutcomes(ctx context.Context, service, key string) ([]sdunknown.Outcome, error)
	Poison() []sdpoison.Entry
	// ReleasePoison lets a request run again. It returns the number of nodes
	// that have released it and the nodes that could not be reached.
	ReleasePoison(ctx context.Context, fingerprint sdpoison.Fingerprint) (int, []savorydeal.NodeID)
}

// Server implements the admin API.
type Server struct {
	node   Node
	writer policyWriter
	clock  savorydeal.Clock
}

var _ sdoperatorapi.Handler = (*Server)(nil)

// maxRequestBytes bounds a request body. A policy is far smaller.
const maxRequestBytes = 512 << 10

// NewHandler returns the HTTP handler of the admin API.
func NewHandler(node Node, platform savorydeal.Platform, clock savorydeal.Clock) (http.Handler, error) {
	api, err := sdoperatorapi.NewServer(&Server{
		node:   node,
		writer: policyWriter{platform: platform, clock: clock},
		clock:  clock,
	}, sdoperatorapi.WithErrorHandler(sdproblem.WriteSchemaError))
	if err != nil {
		return nil, fmt.Errorf("create the server of the admin API: %w", err)
	}
	return http.MaxBytesHandler(api, maxRequestBytes), nil
}

// ListPolicies returns the policies in force at this node.
func (s *Server) ListPolicies(context.Context) (*sdoperatorapi.PolicyList, error) {
	list := &sdoperatorapi.PolicyList{Policies: []sdoperatorapi.PolicyRecord{}}
	for _, record := range s.node.Policies().Records() {
		list.Policies = append(list.Policies, sdrecord.RecordToAPI(record))
	}
	return list, nil
}

// GetPolicy reads a policy from the platform. While the platform cannot be read it
// returns the policy in force at this node, marked as stale.
func (s *Server) GetPolicy(ctx context.Context, params sdoperatorapi.GetPolicyParams) (*sdoperatorapi.PolicyRecord, error) {
	record, stale, err := s.readPolicy(ctx, params.Service)
	if err != nil {
		return nil, err
	}
	mapped := sdrecord.RecordToAPI(record)
	mapped.Stale = sdoperatorapi.NewOptBool(stale)
	return &mapped, nil
}

// readPolicy returns the policy and whether it may be stale because the platform
// could not be read.
func (s *Server) readPolicy(ctx context.Context, service string) (savorydeal.PolicyRecord, bool, error) {
	current, err := s.writer.read(ctx, service)
	if err != nil {
		record, ok := s.node.Policies().Policy(service)
		if !ok {
			return savorydeal.PolicyRecord{}, true, &NotRunError{Cause: err}
		}
		return record, true, nil
	}
	if current.visibleVersion() == 0 {
		return savorydeal.PolicyRecord{}, false, errNoPolicy
	}
	return current.record, false, nil
}

var errNoPolicy = errors.New("there is no policy for this service")

// GetPolicyHistory returns the newest changes of a policy, also of a deleted one.
func (s *Server) GetPolicyHistory(ctx context.Context, params sdoperatorapi.GetPolicyHistoryParams) (*sdoperatorapi.PolicyHistory, error) {
	current, err := s.writer.read(ctx, params.Service)
	if err != nil {
		return nil, &NotRunError{Cause: err}
	}
	if current.object.Version == 0 {
		return nil, errNoPolicy
	}
	history := sdrecord.HistoryToAPI(current.record)
	return &history, nil
}

// PutPolicy creates or replaces a policy.
func (s *Server) PutPolicy(ctx context.Context, req *sdoperatorapi.PolicyChange, params sdoperatorapi.PutPolicyParams) (*sdoperatorapi.PolicyRecord, error) {
	policy := sdrecord.PolicyFromAPI(req.Policy)
	if policy.Service != params.Service {
		return nil, &sdpolicy.InvalidError{Fields: []sdpolicy.FieldError{{
			Field: "service", Remedy: "set it to the service in the request path, " + params.Service,
		}}}
	}
	policy, err := sdpolicy.Validate(policy)
	if err != nil {
		return nil, err
	}
	return s.change(ctx, policyChange{
		service:         params.Service,
		changeID:        req.ChangeID,
		expectedVersion: req.ExpectedVersion,
		policy:          policy,
	})
}

// DeletePolicy replaces a policy by a tombstone.
func (s *Server) DeletePolicy(ctx context.Context, params sdoperatorapi.DeletePolicyParams) (*sdoperatorapi.PolicyRecord, error) {
	return s.change(ctx, policyChange{
		service:         params.Service,
		changeID:        params.ChangeID,
		expectedVersion: params.ExpectedVersion,
		deleted:         true,
	})
}

func (s *Server) change(ctx context.Context, change policyChange) (*sdoperatorapi.PolicyRecord, error) {
	accepted, err := s.writer.apply(ctx, change)
	if err != nil {
		return nil, err
	}
	s.node.ApplyAccepted(ctx, accepted.object)
	record := sdrecord.RecordToAPI(accepted.record)
	return &record, nil
}

const inForcePollInterval = 250 * time.Millisecond

// WaitInForce waits until no reachable node runs an older version, or until the wait
// of the request ends.
func (s *Server) WaitInForce(ctx context.Context, params sdoperatorapi.WaitInForceParams) (*sdoperatorapi.InForce, error) {
	deadline := s.clock.Now().Add(time.Duration(params.WaitMs) * time.Millisecond)
	for {
		counts := s.node.InForce(ctx, params.Service, params.Version)
		if counts.LaggingCount == 0 || !s.clock.Now().Before(deadline) {
			return inForceToAPI(params, counts), nil
		}
		select {
		case <-s.clock.After(inForcePollInterval):
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

func inForceToAPI(params sdoperatorapi.WaitInForceParams, counts InForce) *sdoperatorapi.InForce {
	return &sdoperatorapi.InForce{
		Service: params.Service,
		Version: params.Version,
		InForce: counts.InForce,

		LaggingCount:     counts.LaggingCount,
		UnreachableCount: counts.UnreachableCount,
		Lagging:          nodeNames(counts.Lagging),
		Unreachable:      nodeNames(counts.Unreachable),
	}
}

func nodeNames(nodes []savorydeal.NodeID) []string {
	mapped := make([]string, 0, len(nodes))
	for _, node := range nodes {
		mapped = append(mapped, string(node))
	}
	return mapped
}

// GetStatus returns the status of this node.
func (s *Server) GetStatus(context.Context) (*sdoperatorapi.Status, error) {
	status := s.node.Status()
	return &sdoperatorapi.Status{
		Node:              string(status.Self.Node),
		Incarnation:       int64(status.Self.Incarnation),
		DataCentre:        status.Self.DataCentre,
		Region:            status.Self.Region,
		Version:           status.Version,
		Service:           sdoperatorapi.NewOptString(status.Self.Service),
		TargetState:       string(status.Self.TargetState),
		NodesAlive:        status.NodesAlive,
		Policies:          status.Policies,
		PoliciesRejected:  sdoperatorapi.NewOptInt(status.PoliciesRejected),
		PlatformReachable: sdoperatorapi.NewOptBool(status.PlatformReachable),
	}, nil
}

// ListNodes returns all nodes in this node's membership view.
func (s *Server) ListNodes(context.Context) (*sdoperatorapi.NodeList, error) {
	list := &sdoperatorapi.NodeList{Nodes: []sdoperatorapi.Node{}}
	for _, member := range s.node.Members() {
		list.Nodes = append(list.Nodes, sdoperatorapi.Node{
			Node:        string(member.Node),
			Incarnation: int64(member.Incarnation),
			DataCentre:  member.DataCentre,
			Region:      member.Region,
			Service:     sdoperatorapi.NewOptString(member.Service),
			State:       string(member.State),
			TargetState: sdoperatorapi.NewOptString(string(member.TargetState)),
			PeerAddress: member.PeerAddress,
		})
	}
	return list, nil
}

// GetDump returns the state of the process by section.
func (s *Server) GetDump(ctx context.Context) (sdoperatorapi.Dump, error) {
	dump := make(sdoperatorapi.Dump)
	for _, section := range s.node.Dump(ctx) {
		dump[section.Name] = jx.Raw(section.Value)
	}
	return dump, nil
}

// NewError maps an error to a problem. The outcome of the problem is not_run if the
// request changed nothing, and unknown if it may have changed something.
func (s *Server) NewError(_ context.Context, err error) *sdoperatorapi.ProblemStatusCode {
	var conflict *ConflictError
	var notRun *NotRunError
	var unknown *UnknownOutcomeError
	var invalid *sdpolicy.InvalidError
	var certificate *sdtls.ParseError
	problem := sdoperatorapi.Problem{Type: "about:blank", Detail: sdoperatorapi.NewOptString(err.Error())}
	outcome := savorydeal.OutcomeNotRun
	switch {
	case errors.As(err, &conflict):
		problem.Status = http.StatusConflict
		problem.CurrentVersion = sdoperatorapi.NewOptInt64(conflict.Current)
	case errors.As(err, &invalid):
		problem.Status = http.StatusUnprocessableEntity
		problem.Field = sdoperatorapi.NewOptString(invalid.Fields[0].Field)
		problem.Remedy = sdoperatorapi.NewOptString(invalid.Fields[0].Remedy)
	case errors.As(err, &certificate):
		problem.Status = http.StatusUnprocessableEntity
		problem.Field = sdoperatorapi.NewOptString(certificate.Part)
		problem.Remedy = sdoperatorapi.NewOptString(certificate.Remedy)
	case errors.Is(err, ErrNotSecured):
		problem.Status = http.StatusConflict
	case errors.As(err, &notRun):
		problem.Status = http.StatusServiceUnavailable
	case errors.As(err, &unknown):
		problem.Status = http.StatusBadGateway
		outcome = savorydeal.OutcomeUnknown
	case errors.Is(err, errNoPolicy):
		problem.Status = http.StatusNotFound
	default:
		problem.Status = http.StatusInternalServerError
		outcome = savorydeal.OutcomeUnknown
	}
	problem.Title = http.StatusText(problem.Status)
	problem.Outcome = sdoperatorapi.NewOptString(string(outcome))
	return &sdoperatorapi.ProblemStatusCode{StatusCode: problem.Status, Response: problem}
}
