// Package sdrecord converts policies between the domain types, the schema types
// of the admin API, and the values stored on the platform, which use the
// same schema.
package sdrecord

import (
	"time"

	"github.com/savorydeal/savorydeal"
	"github.com/savorydeal/savorydeal/internal/sdoperatorapi"
	"github.com/savorydeal/savorydeal/internal/sdpolicy"
)

// PolicyFromAPI converts a policy from the schema. Absent fields get defaults.
func PolicyFromAPI(policy sdoperatorapi.Policy) savorydeal.Policy {
	converted := savorydeal.Policy{
		Service:      policy.Service,
		RetryRatio:   policy.RetryRatio.Or(sdpolicy.DefaultRetryRatio),
		KeyRetention: milliseconds(policy.KeyRetentionMs.Or(sdpolicy.DefaultKeyRetention.Milliseconds())),
	}
	for _, operation := range policy.Operations {
		converted.Operations = append(converted.Operations, operationFromAPI(operation))
	}
	return converted
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

// maxMilliseconds limits the numbers converted to durations, since very large
// ones would overflow time.Duration. The limit itself is too large for any
// field, so the validation of the policy still reports the field.
const maxMilliseconds = int64(365 * 24 * time.Hour / time.Millisecond)

// milliseconds converts a number of milliseconds to a duration. Numbers below
// -1 become -1, which the validation rejects as well.
func milliseconds(n int64) time.Duration {
	return time.Duration(min(max(n, -1), maxMilliseconds)) * time.Millisecond
}

// PolicyToAPI converts a policy to the schema.
func PolicyToAPI(policy savorydeal.Policy) sdoperatorapi.Policy {
	converted := sdoperatorapi.Policy{
		Service:        policy.Service,
		RetryRatio:     sdoperatorapi.NewOptFloat64(policy.RetryRatio),
		KeyRetentionMs: sdoperatorapi.NewOptInt64(policy.KeyRetention.Milliseconds()),
		Operations:     []sdoperatorapi.Operation{},
	}
	for _, operation := range policy.Operations {
		converted.Operations = append(converted.Operations, operationToAPI(operation))
	}
	return converted
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

// RecordToAPI converts one record, without its history, to the schema.
func RecordToAPI(record savorydeal.PolicyRecord) sdoperatorapi.PolicyRecord {
	converted := sdoperatorapi.PolicyRecord{
		Service:   record.Service,
		Version:   record.Version,
		ChangeID:  record.ChangeID,
		Deleted:   record.Deleted,
		ChangedAt: record.ChangedAt.UTC(),
	}
	if !record.Deleted {
		converted.Policy = sdoperatorapi.NewOptPolicy(PolicyToAPI(record.Policy))
	}
	return converted
}

// RecordFromAPI converts one record from the schema.
func RecordFromAPI(record sdoperatorapi.PolicyRecord) savorydeal.PolicyRecord {
	converted := savorydeal.PolicyRecord{
		Service:   record.Service,
		Version:   record.Version,
		ChangeID:  record.ChangeID,
		Deleted:   record.Deleted,
		ChangedAt: record.ChangedAt,
	}
	if policy, ok := record.Policy.Get(); ok {
		converted.Policy = PolicyFromAPI(policy)
	}
	return converted
}

// HistoryToAPI converts a record and its history to the schema, newest first.
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
