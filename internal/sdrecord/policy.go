// Package sdrecord maps policies between the domain types and the schema types
// of the operators' API, and to the value kept by the platform, which uses the
// same schema.
package sdrecord

import (
	"time"

	"github.com/savorydeal/savorydeal"
	"github.com/savorydeal/savorydeal/internal/sdoperatorapi"
	"github.com/savorydeal/savorydeal/internal/sdpolicy"
)

// PolicyFromAPI maps a policy from the schema. Absent fields get defaults.
func PolicyFromAPI(policy sdoperatorapi.Policy) savorydeal.Policy {
	mapped := savorydeal.Policy{
		Service:      policy.Service,
		RetryRatio:   policy.RetryRatio.Or(sdpolicy.DefaultRetryRatio),
		KeyRetention: milliseconds(policy.KeyRetentionMs.Or(sdpolicy.DefaultKeyRetention.Milliseconds())),
	}
	for _, operation := range policy.Operations {
		mapped.Operations = append(mapped.Operations, operationFromAPI(operation))
	}
	return mapped
}

func operationFromAPI(operation sdoperatorapi.Operation) savorydeal.Operation {
	return savorydeal.Operation{
		Name:           operation.Name,
		Methods:        operation.Methods,
		PathPrefix:     operation.PathPrefix,
		Class:          savorydeal.Class(operation.Class),
		Idempotent:     operation.Idempotent,
		Keyless:        savorydeal.Keyless(operation.Keyless.Or(string(savorydeal.KeylessRefuse))),
		MaxRetries:     operation.MaxRetries.Or(sdpolicy.DefaultMaxRetries),
		Timeout:        milliseconds(operation.TimeoutMs.Or(sdpolicy.DefaultTimeout.Milliseconds())),
		MaxBodyBytes:   operation.MaxBodyBytes.Or(sdpolicy.DefaultMaxBodyBytes),
		TargetRefusals: operation.TargetRefusals.Or(false),
	}
}

// maxMilliseconds keeps a wild number from overflowing a duration, so that the
// policy's check names the field instead.
const maxMilliseconds = int64(365 * 24 * time.Hour / time.Millisecond)

func milliseconds(n int64) time.Duration {
	return time.Duration(min(max(n, -1), maxMilliseconds)) * time.Millisecond
}

// PolicyToAPI maps a policy to the schema.
func PolicyToAPI(policy savorydeal.Policy) sdoperatorapi.Policy {
	mapped := sdoperatorapi.Policy{
		Service:        policy.Service,
		RetryRatio:     sdoperatorapi.NewOptFloat64(policy.RetryRatio),
		KeyRetentionMs: sdoperatorapi.NewOptInt64(policy.KeyRetention.Milliseconds()),
		Operations:     []sdoperatorapi.Operation{},
	}
	for _, operation := range policy.Operations {
		mapped.Operations = append(mapped.Operations, operationToAPI(operation))
	}
	return mapped
}

func operationToAPI(operation savorydeal.Operation) sdoperatorapi.Operation {
	methods := operation.Methods
	if methods == nil {
		methods = []string{}
	}
	return sdoperatorapi.Operation{
		Name:           operation.Name,
		Methods:        methods,
		PathPrefix:     operation.PathPrefix,
		Class:          string(operation.Class),
		Idempotent:     operation.Idempotent,
		Keyless:        sdoperatorapi.NewOptString(string(operation.Keyless)),
		MaxRetries:     sdoperatorapi.NewOptInt(operation.MaxRetries),
		TimeoutMs:      sdoperatorapi.NewOptInt64(operation.Timeout.Milliseconds()),
		MaxBodyBytes:   sdoperatorapi.NewOptInt64(operation.MaxBodyBytes),
		TargetRefusals: sdoperatorapi.NewOptBool(operation.TargetRefusals),
	}
}

// RecordToAPI maps one record without its history to the schema.
func RecordToAPI(record savorydeal.PolicyRecord) sdoperatorapi.PolicyRecord {
	mapped := sdoperatorapi.PolicyRecord{
		Service:   record.Service,
		Version:   record.Version,
		ChangeID:  record.ChangeID,
		Deleted:   record.Deleted,
		ChangedAt: record.ChangedAt.UTC(),
	}
	if !record.Deleted {
		mapped.Policy = sdoperatorapi.NewOptPolicy(PolicyToAPI(record.Policy))
	}
	return mapped
}

// RecordFromAPI maps one record from the schema.
func RecordFromAPI(record sdoperatorapi.PolicyRecord) savorydeal.PolicyRecord {
	mapped := savorydeal.PolicyRecord{
		Service:   record.Service,
		Version:   record.Version,
		ChangeID:  record.ChangeID,
		Deleted:   record.Deleted,
		ChangedAt: record.ChangedAt,
	}
	if policy, ok := record.Policy.Get(); ok {
		mapped.Policy = PolicyFromAPI(policy)
	}
	return mapped
}

// HistoryToAPI maps a record and its history, newest first.
func HistoryToAPI(record savorydeal.PolicyRecord) sdoperatorapi.PolicyHistory {
	history := sdoperatorapi.PolicyHistory{
		Service: record.Service,
		Changes: []sdoperatorapi.PolicyRecord{RecordToAPI(record)},
	}
	for _, earlier := range record.History {
		history.Changes = append(history.Changes, RecordToAPI(earlier))
	}
	return history
}
