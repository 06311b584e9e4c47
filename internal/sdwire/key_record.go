package sdwire

import (
	"time"

	"github.com/savorydeal/savorydeal"
	"github.com/savorydeal/savorydeal/internal/sdpeerpb"
)

// EncodeKeyRecord converts the record of a key to its wire type.
func EncodeKeyRecord(record savorydeal.KeyRecord) *sdpeerpb.KeyRecord {
	encoded := &sdpeerpb.KeyRecord{
		Id:     record.ID[:],
		Digest: record.Digest[:],
		Caller: record.Caller,
		State:  string(record.State),
		LeftNs: int64(record.ExpiresIn),
	}
	if record.Answer != nil {
		encoded.Answer = &sdpeerpb.StoredAnswer{
			Status:  int32(record.Answer.Status),
			Headers: encodeHeaders(record.Answer.Headers),
			Body:    record.Answer.Body,
		}
	}
	return encoded
}

// DecodeKeyRecord converts the record of a key from its wire type. Any state
// but finished becomes lost, including one that a newer version introduced, so
// that the request cannot run again.
func DecodeKeyRecord(record *sdpeerpb.KeyRecord) savorydeal.KeyRecord {
	decoded := savorydeal.KeyRecord{
		Caller:    record.GetCaller(),
		State:     savorydeal.KeyState(record.GetState()),
		ExpiresIn: time.Duration(record.GetLeftNs()),
	}
	copy(decoded.ID[:], record.GetId())
	copy(decoded.Digest[:], record.GetDigest())
	if decoded.State != savorydeal.KeyFinished {
		decoded.State = savorydeal.KeyLost
	}
	if answer := record.GetAnswer(); answer != nil {
		decoded.Answer = &savorydeal.StoredAnswer{
			Status:  int(answer.GetStatus()),
			Headers: decodeHeaders(answer.GetHeaders()),
			Body:    answer.GetBody(),
		}
	}
	return decoded
}
