package sdbenchoverload

import (
	"os"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	lagInterval   = 5 * time.Millisecond
	maxLagUS      = 60_000_000
	lagDigits     = 3
	lagPercentile = 99
)

// lagMeter measures how late timers fire. High values show that other processes
// load the VM, so that the figures of the benchmark are not reliable.
type lagMeter struct {
	stop chan struct{}
	done sync.WaitGroup
	lags *hdrhistogram.Histogram
}

func startLagMeter() *lagMeter {
	meter := &lagMeter{stop: make(chan struct{}), lags: hdrhistogram.New(1, maxLagUS, lagDigits)}
	meter.done.Add(1)
	go func() {
		defer meter.done.Done()
		for {
			before := time.Now()
			select {
			case <-meter.stop:
				return
			case <-time.After(lagInterval):
				_ = meter.lags.RecordValue(max(1, (time.Since(before) - lagInterval).Microseconds()))
			}
		}
	}()
	return meter
}

// end stops the meter and returns the 99th percentile and the maximum of the
// delays.
func (meter *lagMeter) end() (time.Duration, time.Duration) {
	close(meter.stop)
	meter.done.Wait()
	return time.Duration(meter.lags.ValueAtQuantile(lagPercentile)) * time.Microsecond, time.Duration(meter.lags.Max()) * time.Microsecond
}

// loadAverage returns the VM's load average over the last minute.
func loadAverage() string {
	text, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return "unknown"
	}
	return strings.Fields(string(text))[0]
}
