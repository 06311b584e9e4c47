// Package sdpeerheader encodes and decodes the headers with which nodes
// describe a call to each other: Sd-Call on the request, Sd-Reply on the
// response.
package sdpeerheader

import (
	"errors"
	"fmt"
	"maps"
	"math"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/savorydeal/savorydeal"
)

// Names of the headers on requests and responses between nodes.
const (
	CallHeader  = "Sd-Call"
	ReplyHeader = "Sd-Reply"
)

// Call describes a request to the node of its target.
type Call struct {
	// Service is the service whose target the request is sent to.
	Service string
	// Route is the name of the route that the request matched.
	Route string
	// Rank is the priority of the first request of the call chain; 0 is the
	// highest.
	Rank int
	// Depth is the number of runs that the call is nested in, 0 for a request from
	// outside.
	Depth int
	// Remaining is the time until the request's deadline, in whole milliseconds
	// on the wire.
	Remaining time.Duration
	// MaxWait is how long the call may wait in the target's queue, in whole
	// milliseconds on the wire.
	MaxWait time.Duration
	// Repeatable is true if the call may be sent again after it may have run.
	Repeatable bool
	// CallerService is the service of the VM from which the request was sent.
	CallerService string
	// Account is the name of the client account of the call chain, empty if there is
	// none.
	Account string
}

const (
	// callFields is the number of fields of a call without an account.
	callFields     = 8
	replyFields    = 10
	fieldSeparator = ";"
)

// Encode returns the value of CallHeader. The account is appended only if there is one,
// because nodes of earlier versions accept exactly callFields fields.
func (c Call) Encode() string {
	fields := []string{
		c.Service, c.Route, strconv.Itoa(c.Rank), strconv.Itoa(c.Depth),
		strconv.FormatInt(c.Remaining.Milliseconds(), 10), strconv.FormatInt(c.MaxWait.Milliseconds(), 10),
		strconv.FormatBool(c.Repeatable), c.CallerService,
	}
	if c.Account != "" {
		fields = append(fields, url.QueryEscape(c.Account))
	}
	return strings.Join(fields, fieldSeparator)
}

// DecodeCall parses the value of CallHeader. Fields after those known here are ignored:
// a later version may append them.
func DecodeCall(text string) (Call, error) {
	fields := strings.Split(text, fieldSeparator)
	if len(fields) < callFields {
		return Call{}, fmt.Errorf("call %q: want at least %d fields separated by semicolons", text, callFields)
	}
	rank, err1 := strconv.Atoi(fields[2])
	depth, err2 := strconv.Atoi(fields[3])
	remaining, err3 := strconv.ParseInt(fields[4], 10, 64)
	maxWait, err4 := strconv.ParseInt(fields[5], 10, 64)
	repeatable, err5 := strconv.ParseBool(fields[6])
	var account string
	var err6 error
	if len(fields) > callFields {
		account, err6 = url.QueryUnescape(fields[callFields])
	}
	for _, err := range []error{err1, err2, err3, err4, err5, err6} {
		if err != nil {
			return Call{}, fmt.Errorf("call %q: %w", text, err)
		}
	}
	return Call{
		Service: fields[0], Route: fields[1], Rank: rank, Depth: depth,
		Remaining: time.Duration(remaining) * time.Millisecond, MaxWait: time.Duration(maxWait) * time.Millisecond,
		Repeatable: repeatable, CallerService: fields[7], Account: account,
	}, nil
}

// Outcome is how a call ended at the target's node.
type Outcome string

// Outcomes.
const (
	// OutcomeRan means that the answer comes from the target.
	OutcomeRan Outcome = "ran"
	// OutcomeNotRun means that the call has not run and never will.
	OutcomeNotRun Outcome = "not_run"
	// OutcomeUnknown means that the call may have run.
	OutcomeUnknown Outcome = "unknown"
)

// Reply describes the end of a call and the load of its target.
type Reply struct {
	Outcome Outcome
	Reason  string
	// ReachedTarget is true if the call was sent to the target, whether or not
	// the target ran it.
	ReachedTarget bool
	Load          Load
	// RunTime is the time on the target, 0 unless Outcome is OutcomeRan; in
	// whole microseconds on the wire.
	RunTime time.Duration
	// DownstreamCalls is the number of calls, by called service, that the run made
	// directly or through other services.
	DownstreamCalls map[string]float64
	// Pressures holds the load and demand last reported to the target's node, by
	// service.
	Pressures map[string]savorydeal.Pressure
}

// Load is the number of calls running on a target and queued for it.
type Load struct {
	Running int
	Queued  int
	// Limit is the target's concurrency limit.
	Limit int
	// Demand is the part of Limit that the arriving calls need if none waits:
	// 1 is all of it, more exceeds the target's capacity.
	Demand float64
}

// Encode returns the value of ReplyHeader.
func (r Reply) Encode() string {
	return strings.Join([]string{
		string(r.Outcome), r.Reason, strconv.FormatBool(r.ReachedTarget), strconv.Itoa(r.Load.Running), strconv.Itoa(r.Load.Queued),
		strconv.Itoa(r.Load.Limit), strconv.FormatInt(r.RunTime.Microseconds(), 10), encodeNumbers(r.DownstreamCalls), encodePressures(r.Pressures),
		formatNumber(r.Load.Demand),
	}, fieldSeparator)
}

// DecodeReply parses the value of ReplyHeader.
func DecodeReply(text string) (Reply, error) {
	fields := strings.Split(text, fieldSeparator)
	if len(fields) != replyFields {
		return Reply{}, fmt.Errorf("reply %q: want %d fields separated by semicolons", text, replyFields)
	}
	var numbers [4]int64
	for i := range numbers {
		number, err := strconv.ParseInt(fields[3+i], 10, 64)
		if err != nil {
			return Reply{}, fmt.Errorf("reply %q: %w", text, err)
		}
		numbers[i] = number
	}
	reachedTarget, err := strconv.ParseBool(fields[2])
	if err != nil {
		return Reply{}, fmt.Errorf("reply %q: %w", text, err)
	}
	downstreamCalls, err1 := decodeNumbers(fields[7])
	pressures, err2 := decodePressures(fields[8])
	demand, err3 := parseNumber(fields[9])
	if err := errors.Join(err1, err2, err3); err != nil {
		return Reply{}, fmt.Errorf("reply %q: %w", text, err)
	}
	return Reply{
		Outcome: Outcome(fields[0]), Reason: fields[1], ReachedTarget: reachedTarget,
		Load:    Load{Running: int(numbers[0]), Queued: int(numbers[1]), Limit: int(numbers[2]), Demand: demand},
		RunTime: time.Duration(numbers[3]) * time.Microsecond, DownstreamCalls: downstreamCalls, Pressures: pressures,
	}, nil
}

const (
	listSeparator  = ","
	nameSeparator  = "="
	numberDecimals = 2
	floatBits      = 64
	// pressureSeparator separates the load and the demand of a pressure.
	pressureSeparator = "/"
)

// encodeNumbers formats numbers as "name=number,...", sorted by name.
func encodeNumbers(values map[string]float64) string {
	if len(values) == 0 {
		return ""
	}
	entries := make([]string, 0, len(values))
	for _, name := range slices.Sorted(maps.Keys(values)) {
		entries = append(entries, name+nameSeparator+formatNumber(values[name]))
	}
	return strings.Join(entries, listSeparator)
}

func decodeNumbers(text string) (map[string]float64, error) {
	if text == "" {
		return nil, nil
	}
	values := make(map[string]float64)
	for entry := range strings.SplitSeq(text, listSeparator) {
		name, value, _ := strings.Cut(entry, nameSeparator)
		number, err := parseNumber(value)
		if err != nil {
			return nil, fmt.Errorf("number of %q: %w", name, err)
		}
		values[name] = number
	}
	return values, nil
}

func formatNumber(number float64) string {
	return strconv.FormatFloat(number, 'f', numberDecimals, floatBits)
}

func parseNumber(text string) (float64, error) {
	number, err := strconv.ParseFloat(text, floatBits)
	if err != nil || math.IsNaN(number) || math.IsInf(number, 0) || number < 0 {
		return 0, fmt.Errorf("%q is not a finite number of at least 0", text)
	}
	return number, nil
}

// encodePressures formats pressures as "service=load/demand,...", sorted by
// service.
func encodePressures(pressures map[string]savorydeal.Pressure) string {
	entries := make([]string, 0, len(pressures))
	for _, name := range slices.Sorted(maps.Keys(pressures)) {
		p := pressures[name]
		entries = append(entries, name+nameSeparator+formatNumber(p.Load)+pressureSeparator+formatNumber(p.Demand))
	}
	return strings.Join(entries, listSeparator)
}

func decodePressures(text string) (map[string]savorydeal.Pressure, error) {
	if text == "" {
		return nil, nil
	}
	pressures := make(map[string]savorydeal.Pressure)
	for entry := range strings.SplitSeq(text, listSeparator) {
		name, value, _ := strings.Cut(entry, nameSeparator)
		loadText, demandText, _ := strings.Cut(value, pressureSeparator)
		load, err1 := parseNumber(loadText)
		demand, err2 := parseNumber(demandText)
		if err := errors.Join(err1, err2); err != nil {
			return nil, fmt.Errorf("pressure of %q: %w", name, err)
		}
		pressures[name] = savorydeal.Pressure{Load: load, Demand: demand}
	}
	return pressures, nil
}
