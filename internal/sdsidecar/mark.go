package sdsidecar

import "time"

const (
	markAgeBits = 16
	// markAgeUnit is the unit of a mark's age.
	markAgeUnit = 50 * time.Millisecond
	maxMarkAge  = 1<<markAgeBits - 1
)

// configMark is what each datagram tells of the sender's configuration: its
// version, and how long ago somebody has read the store and found no newer one.
type configMark struct {
	version uint64
	age     time.Duration
}

func (m configMark) encode() uint64 {
	age := min(maxMarkAge, uint64(max(0, m.age)/markAgeUnit))
	return m.version<<markAgeBits | age
}

func decodeMark(mark uint64) configMark {
	return configMark{version: mark >> markAgeBits, age: time.Duration(mark&maxMarkAge) * markAgeUnit}
}
