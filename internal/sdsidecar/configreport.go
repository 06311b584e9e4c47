package sdsidecar

import "time"

const (
	// reportAgeBits is the number of low bits that hold the age.
	reportAgeBits = 16
	// reportAgeUnit is the unit of an encoded age.
	reportAgeUnit = 50 * time.Millisecond
	// maxReportAgeUnits is the largest encoded age, in units of reportAgeUnit.
	maxReportAgeUnits = 1<<reportAgeBits - 1
)

// configReport describes the sender's configuration in every datagram: its version,
// and the time since some node last read the store and found no newer one.
type configReport struct {
	version uint64
	age     time.Duration
}

// encode packs the version into the upper 48 bits and the age into the lower 16 bits.
// An age above the maximum, about 55 minutes, is encoded as the maximum. The age is rounded
// up: it passes through many nodes, and would fall behind the time that passes meanwhile.
func (r configReport) encode() uint64 {
	units := max(0, r.age) / reportAgeUnit
	if r.age > units*reportAgeUnit {
		units++
	}
	age := min(maxReportAgeUnits, uint64(units))
	return r.version<<reportAgeBits | age
}

func decodeConfigReport(encoded uint64) configReport {
	return configReport{version: encoded >> reportAgeBits, age: time.Duration(encoded&maxReportAgeUnits) * reportAgeUnit}
}
