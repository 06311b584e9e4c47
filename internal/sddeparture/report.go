package sddeparture

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/savorydeal/savorydeal"
)

// Report is what nodes tell each other, and the store, of the departures of one VM.
type Report struct {
	// Node is the node of the VM.
	Node       savorydeal.NodeID
	DataCentre string
	Departures []savorydeal.Departure
	// Complete is true in the answer of a node that knows the departures which are older
	// than its own process.
	Complete bool
}

type wireReport struct {
	Node       string          `json:"node"`
	DataCentre string          `json:"data_centre,omitempty"`
	Departures []wireDeparture `json:"departures"`
	Complete   bool            `json:"complete,omitempty"`
}

// wireDeparture holds times in Unix milliseconds.
type wireDeparture struct {
	Identity  string `json:"identity"`
	StartedMS int64  `json:"started_ms"`
	LeftAtMS  int64  `json:"left_at_ms"`
}

// Encode returns the JSON form of a report.
func (r Report) Encode() ([]byte, error) {
	wire := wireReport{Node: string(r.Node), DataCentre: r.DataCentre, Complete: r.Complete, Departures: []wireDeparture{}}
	for _, departure := range r.Departures {
		wire.Departures = append(wire.Departures, wireDeparture{
			Identity: departure.Start.Identity, StartedMS: departure.Start.Started, LeftAtMS: departure.LeftAt.UnixMilli(),
		})
	}
	text, err := json.Marshal(wire)
	if err != nil {
		return nil, fmt.Errorf("encode departures of %s: %w", r.Node, err)
	}
	return text, nil
}

// DecodeReport parses the JSON form of a report.
func DecodeReport(text []byte) (Report, error) {
	var wire wireReport
	if err := json.Unmarshal(text, &wire); err != nil {
		return Report{}, fmt.Errorf("decode departures: %w", err)
	}
	if wire.Node == "" || len(wire.Departures) > maxPerVM {
		return Report{}, fmt.Errorf("decode departures: node %q, %d departures: want a node and at most %d", wire.Node, len(wire.Departures), maxPerVM)
	}
	report := Report{Node: savorydeal.NodeID(wire.Node), DataCentre: wire.DataCentre, Complete: wire.Complete}
	for _, departure := range wire.Departures {
		if departure.Identity == "" {
			return Report{}, fmt.Errorf("decode departures of %s: one has no identity", wire.Node)
		}
		report.Departures = append(report.Departures, savorydeal.Departure{
			Start: savorydeal.TargetStart{Identity: departure.Identity, Started: departure.StartedMS}, LeftAt: time.UnixMilli(departure.LeftAtMS),
		})
	}
	return report, nil
}

// Expired reports whether all departures of the report are older than TTL.
func (r Report) Expired(now time.Time) bool {
	for _, departure := range r.Departures {
		if !Expired(now, departure) {
			return false
		}
	}
	return true
}
