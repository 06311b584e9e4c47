package sdbenchoverload

import (
	"os"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	lagStep     = 5 * time.Millisecond
	maxLagUS    = 60_000_000
	lagDigits   = 3
	lagQuantile = 99
)

// lagMeter measures how late the machine wakes a sleeper: a busy machine shows
// in it, so that a figure spoilt by others' load can be told.
type lagMeter struct {
	stop chan struct{}
	done sync.WaitGroup
	lags *hdrhistogram.Histogram
}

func startLagMeter() *lagMeter {
	m := &lagMeter{stop: make(chan struct{}), lags: hdrhistogram.New(1, maxLagUS, lagDigits)}
	m.done.Add(1)
	go func() {
		defer m.done.Done()
		for {
			before := time.Now()
			select {
			case <-m.stop:
				return
			case <-time.After(lagStep):
				_ = m.lags.RecordValue(max(1, (time.Since(before) - lagStep).Microseconds()))
			}
		}
	}()
	return m
}

// end stops the meter and returns the 99th percentile and the most.
func (m *lagMeter) end() (time.Duration, time.Duration) {
	close(m.stop)
	m.done.Wait()
	return time.Duration(m.lags.ValueAtQuantile(lagQuantile)) * time.Microsecond, time.Duration(m.lags.Max()) * time.Microsecond
}

// loadAverage is the machine's load over the last minute.
func loadAverage() string {
	text, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return "unknown"
	}
	return strings.Fields(string(text))[0]
}
