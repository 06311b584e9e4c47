package sdwire

import (
	"time"

	"github.com/savorydeal/savorydeal/internal/sdpeerpb"
	"github.com/savorydeal/savorydeal/internal/sdpoison"
)

// EncodeCrashRecord converts a crash record to its wire type, with ages instead of times
// of day, so that clock skew has no effect.
func EncodeCrashRecord(record sdpoison.Record, now time.Time) *sdpeerpb.PoisonRecord {
	encoded := &sdpeerpb.PoisonRecord{
		Fingerprint: uint64(record.Fingerprint), Service: record.Service, Method: record.Method, Path: record.Path,
		Crashes: uint32(record.Crashes), LastCrashAgeNs: int64(now.Sub(record.LastCrash)),
	}
	if record.BlockedUntil.After(now) {
		encoded.BlockedForNs = int64(record.BlockedUntil.Sub(now))
	}
	return encoded
}

// DecodeCrashRecord converts a crash record from its wire type.
func DecodeCrashRecord(record *sdpeerpb.PoisonRecord, now time.Time) sdpoison.Record {
	decoded := sdpoison.Record{
		Fingerprint: sdpoison.Fingerprint(record.GetFingerprint()), Service: record.GetService(), Method: record.GetMethod(), Path: record.GetPath(),
		Crashes: int(record.GetCrashes()), LastCrash: now.Add(-time.Duration(record.GetLastCrashAgeNs())),
	}
	if blockedFor := time.Duration(record.GetBlockedForNs()); blockedFor > 0 {
		decoded.BlockedUntil = now.Add(blockedFor)
	}
	return decoded
}
