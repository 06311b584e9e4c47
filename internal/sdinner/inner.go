// Package sdinner maps what nodes tell each other of a call to the headers
// that go with it.
package sdinner

import (
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Names of the headers between nodes.
const (
	CallHeader  = "Sd-Call"
	ReplyHeader = "Sd-Reply"
)

// Call is what the first node tells the target's node.
type Call struct {
	// Service is the service that is to run the request.
	Service string
	Route   string
	// Rank orders calls: the priority of the first request of the chain.
	Rank int
	// Depth is 0 for a request from outside.
	Depth int
	// Left is the time left.
	Left time.Duration
	// Patience is how long the call may wait for its turn.
	Patience   time.Duration
	Repeatable bool
	// CallerService is the service of the VM on which the request began.
	CallerService string
}

const (
	callFields  = 8
	replyFields = 9
	separator   = ";"
)

// Encode returns the text of a call.
func (c Call) Encode() string {
	return strings.Join([]string{
		c.Service, c.Route, strconv.Itoa(c.Rank), strconv.Itoa(c.Depth),
		strconv.FormatInt(c.Left.Milliseconds(), 10), strconv.FormatInt(c.Patience.Milliseconds(), 10),
		strconv.FormatBool(c.Repeatable), c.CallerService,
	}, separator)
}

// DecodeCall reads the text of a call.
func DecodeCall(text string) (Call, error) {
	parts := strings.Split(text, separator)
	if len(parts) != callFields {
		return Call{}, fmt.Errorf("call %q has not %d fields", text, callFields)
	}
	rank, err1 := strconv.Atoi(parts[2])
	depth, err2 := strconv.Atoi(parts[3])
	left, err3 := strconv.ParseInt(parts[4], 10, 64)
	patience, err4 := strconv.ParseInt(parts[5], 10, 64)
	repeatable, err5 := strconv.ParseBool(parts[6])
	for _, err := range []error{err1, err2, err3, err4, err5} {
		if err != nil {
			return Call{}, fmt.Errorf("call %q: %w", text, err)
		}
	}
	return Call{
		Service: parts[0], Route: parts[1], Rank: rank, Depth: depth,
		Left: time.Duration(left) * time.Millisecond, Patience: time.Duration(patience) * time.Millisecond,
		Repeatable: repeatable, CallerService: parts[7],
	}, nil
}

// Verdict is how a call ended at the target's node.
type Verdict string

// Verdicts.
const (
	// VerdictRan means that the answer is the target's own.
	VerdictRan Verdict = "ran"
	// VerdictNotRun means that the call has not run and never will.
	VerdictNotRun Verdict = "not_run"
	// VerdictUnknown means that the call may have run.
	VerdictUnknown Verdict = "unknown"
)

// Reply is what the target's node tells of the call and of its target.
type Reply struct {
	Verdict Verdict
	Reason  string
	// Reached is true if the call came to the target, run or not.
	Reached bool
	Load    Load
	// Ran is the time on the target.
	Ran time.Duration
	// Below is the number of calls that the run made, by service, with the
	// calls below them.
	Below map[string]float64
	// Loads are the loads of services as the target's node knows them, as
	// shares of their places.
	Loads map[string]float64
}

// Load is the state of a target and its queue.
type Load struct {
	Running int
	Queued  int
	Limit   int
}

// Encode returns the text of a reply.
func (r Reply) Encode() string {
	return strings.Join([]string{
		string(r.Verdict), r.Reason, strconv.FormatBool(r.Reached), strconv.Itoa(r.Load.Running), strconv.Itoa(r.Load.Queued),
		strconv.Itoa(r.Load.Limit), strconv.FormatInt(r.Ran.Microseconds(), 10), encodeFigures(r.Below), encodeFigures(r.Loads),
	}, separator)
}

// DecodeReply reads the text of a reply.
func DecodeReply(text string) (Reply, error) {
	parts := strings.Split(text, separator)
	if len(parts) != replyFields {
		return Reply{}, fmt.Errorf("reply %q has not %d fields", text, replyFields)
	}
	var numbers [4]int64
	for i := range numbers {
		number, err := strconv.ParseInt(parts[3+i], 10, 64)
		if err != nil {
			return Reply{}, fmt.Errorf("reply %q: %w", text, err)
		}
		numbers[i] = number
	}
	reached, err := strconv.ParseBool(parts[2])
	if err != nil {
		return Reply{}, fmt.Errorf("reply %q: %w", text, err)
	}
	below, err1 := decodeFigures(parts[7])
	loads, err2 := decodeFigures(parts[8])
	if err := errors.Join(err1, err2); err != nil {
		return Reply{}, fmt.Errorf("reply %q: %w", text, err)
	}
	return Reply{
		Verdict: Verdict(parts[0]), Reason: parts[1], Reached: reached,
		Load: Load{Running: int(numbers[0]), Queued: int(numbers[1]), Limit: int(numbers[2])},
		Ran:  time.Duration(numbers[3]) * time.Microsecond, Below: below, Loads: loads,
	}, nil
}

const (
	figureSeparator = ","
	figureEquals    = "="
	figureDigits    = 2
	floatBits       = 64
)

// encodeFigures writes figures by name, sorted.
func encodeFigures(figures map[string]float64) string {
	if len(figures) == 0 {
		return ""
	}
	parts := make([]string, 0, len(figures))
	for _, name := range slices.Sorted(maps.Keys(figures)) {
		parts = append(parts, name+figureEquals+strconv.FormatFloat(figures[name], 'f', figureDigits, floatBits))
	}
	return strings.Join(parts, figureSeparator)
}

func decodeFigures(text string) (map[string]float64, error) {
	if text == "" {
		return nil, nil
	}
	figures := make(map[string]float64)
	for part := range strings.SplitSeq(text, figureSeparator) {
		name, value, ok := strings.Cut(part, figureEquals)
		figure, err := strconv.ParseFloat(value, floatBits)
		if !ok || err != nil || math.IsNaN(figure) || figure < 0 {
			return nil, fmt.Errorf("figure %q is not a name and a number from 0", part)
		}
		figures[name] = figure
	}
	return figures, nil
}
