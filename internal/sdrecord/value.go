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
	// MaxHistory is the number of earlier changes stored with a policy.
	MaxHistory = 20
)

// EncodeValue returns the value of the platform's object for a record: the
// schema's PolicyHistory with the record first, followed by at most MaxHistory
// earlier changes.
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

// DecodeValue reads a policy record from an object of the platform. Its version
// is the object's, since the writer of a value cannot know the version that the
// platform will assign. A deleted object becomes a tombstone. The policy is
// validated: one that a node of another release has accepted is rejected if
// this release cannot apply it in full.
func DecodeValue(object savorydeal.Object) (savorydeal.PolicyRecord, error) {
	if object.Deleted {
		return savorydeal.PolicyRecord{Service: object.Name, Version: object.Version, Deleted: true}, nil
	}
	var history sdoperatorapi.PolicyHistory
	if err := history.UnmarshalJSON(object.Value); err != nil {
		return savorydeal.PolicyRecord{}, fmt.Errorf("decode policy %s version %d: %w", object.Name, object.Version, err)
	}
	if len(history.Changes) == 0 {
		return savorydeal.PolicyRecord{}, fmt.Errorf("decode policy %s version %d: the list of changes is empty", object.Name, object.Version)
	}
	record := RecordFromAPI(history.Changes[0])
	record.Version = object.Version
	for _, earlier := range history.Changes[1:] {
		record.History = append(record.History, RecordFromAPI(earlier))
	}
	if record.Service != object.Name {
		return savorydeal.PolicyRecord{}, fmt.Errorf("decode policy %s version %d: its value is the policy of service %q", object.Name, object.Version, record.Service)
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
