package sdrecord

import (
	"fmt"

	"github.com/savorydeal/savorydeal"
	"github.com/savorydeal/savorydeal/internal/sdoperatorapi"
	"github.com/savorydeal/savorydeal/internal/sdpolicy"
)

const (
	// KindPolicy is the kind of the platform's objects that hold policies.
	KindPolicy = "policy"
	// MaxHistory is the number of earlier changes kept with a policy.
	MaxHistory = 20
)

// EncodeValue returns the value the platform keeps for a record: the schema's
// PolicyHistory, the record itself first.
func EncodeValue(record savorydeal.PolicyRecord) ([]byte, error) {
	if len(record.History) > MaxHistory {
		record.History = record.History[:MaxHistory]
	}
	history := HistoryToAPI(record)
	value, err := history.MarshalJSON()
	if err != nil {
		return nil, fmt.Errorf("encode policy %s: %w", record.Service, err)
	}
	return value, nil
}

// DecodeValue reads an object of the platform. The record's version is the
// object's, since a writer cannot know it beforehand. An object that the
// platform has deleted is a tombstone. The policy is validated, so that what
// another version of the node has accepted is never half understood.
func DecodeValue(object savorydeal.Object) (savorydeal.PolicyRecord, error) {
	if object.Deleted {
		return savorydeal.PolicyRecord{Service: object.Name, Version: object.Version, Deleted: true}, nil
	}
	var history sdoperatorapi.PolicyHistory
	if err := history.UnmarshalJSON(object.Value); err != nil {
		return savorydeal.PolicyRecord{}, fmt.Errorf("decode policy %s version %d: %w", object.Name, object.Version, err)
	}
	if len(history.Changes) == 0 {
		return savorydeal.PolicyRecord{}, fmt.Errorf("decode policy %s version %d: it holds no change", object.Name, object.Version)
	}
	record := RecordFromAPI(history.Changes[0])
	record.Version = object.Version
	for _, earlier := range history.Changes[1:] {
		record.History = append(record.History, RecordFromAPI(earlier))
	}
	if record.Service != object.Name {
		return savorydeal.PolicyRecord{}, fmt.Errorf("decode policy %s version %d: it names service %q", object.Name, object.Version, record.Service)
	}
	if record.Deleted {
		return record, nil
	}
	policy, err := sdpolicy.Validate(record.Policy)
	if err != nil {
		return savorydeal.PolicyRecord{}, fmt.Errorf("decode policy %s version %d: %w", object.Name, object.Version, err)
	}
	record.Policy = policy
	return record, nil
}
