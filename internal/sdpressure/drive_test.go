package sdpressure_test

import (
	"testing"
	"time"
)

func driveCases() []driveCase {
	one := [][2]time.Duration{{5 * time.Second, 25 * time.Second}}
	waves := [][2]time.Duration{{5 * time.Second, 9 * time.Second}, {12 * time.Second, 16 * time.Second}, {19 * time.Second, 23 * time.Second}}
	const total = 32 * time.Second
	return []driveCase{
		{"slow 5x", 4, 150 * time.Millisecond, 1, 5, one, total},
		{"surge 3x", 4, 150 * time.Millisecond, 3, 1, one, total},
		{"surge 10x", 4, 150 * time.Millisecond, 10, 1, one, total},
		{"slow and surge", 4, 150 * time.Millisecond, 3, 5, one, total},
		{"waves", 4, 150 * time.Millisecond, 3, 1, waves, total},
		{"slow 5x, 40 slots", 40, 150 * time.Millisecond, 1, 5, one, total},
		{"surge 10x, 40 slots", 40, 150 * time.Millisecond, 10, 1, one, total},
		{"surge 3x, short calls", 4, 15 * time.Millisecond, 3, 1, one, total},
	}
}

func TestDrive(t *testing.T) {
	for _, c := range driveCases() {
		t.Run(c.name, func(t *testing.T) {
			for seed := range uint64(4) {
				d := newDriver(c, seed)
				d.run()
				r := d.judge()
				t.Logf("imp %.3f tot %.3f rec %v %v viol %d/%d fair %.3f", r.important, r.total, r.recovery, r.recovered, r.violations, r.refusals, r.fairness)
			}
		})
	}
}
