package sdsidecar

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against confirmations that grow younger on their way through other nodes: a node
// would take its configuration for the newest while no node reads the store.
func TestAgeOfReportGrows(t *testing.T) {
	is := is.New(t)
	for _, age := range []time.Duration{0, time.Millisecond, 49 * time.Millisecond, 1999 * time.Millisecond, time.Hour} {
		report := configReport{version: 7, age: age}
		for range 40 {
			next := decodeConfigReport(report.encode())
			is.Equal(next.version, uint64(7))
			is.True(next.age >= min(report.age, maxReportAgeUnits*reportAgeUnit))
			is.True(next.age <= report.age+reportAgeUnit)
			report = next
			report.age += time.Millisecond
		}
	}
}
