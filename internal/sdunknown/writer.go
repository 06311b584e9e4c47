package sdunknown

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/savorydeal/savorydeal"
)

const (
	// maxBatch bounds the outcomes in one object, whose value then stays far below
	// a megabyte.
	maxBatch = 1000
	// minInterval is the mean time between two writes. Every failed write doubles
	// the interval, up to maxInterval, until a write succeeds.
	minInterval = 10 * time.Second
	maxInterval = 5 * time.Minute
	// maxDeletes bounds the deletes of expired objects in one Flush or List.
	maxDeletes = 20
)

// Writer writes the outcomes of a queue to the platform, and deletes its own
// objects once all their outcomes are older than Retention.
type Writer struct {
	Queue    *Queue
	Platform savorydeal.Platform
	Clock    savorydeal.Clock
	Random   savorydeal.Random
	Node     savorydeal.NodeID
	// OnError is called with the error of every failed Flush in Run.
	OnError func(error)

	sequence int
	written  []writtenObject
}

// writtenObject identifies a platform object that this writer has written.
type writtenObject struct {
	kind, name string
	version    int64
	writtenAt  time.Time
}

// outcomeValue is the stored form of an Outcome.
type outcomeValue struct {
	At        time.Time `json:"at"`
	Service   string    `json:"service"`
	Operation string    `json:"operation"`
	Key       string    `json:"key"`
	Caller    string    `json:"caller"`
	RequestID string    `json:"request_id"`
	Reason    string    `json:"reason"`
	Node      string    `json:"node"`
}

// ObjectKind returns the kind of the platform objects that hold a service's
// outcomes. Each service has its own kind, so that one call lists them.
func ObjectKind(service string) string {
	return fmt.Sprintf("unknown_%016x", xxhash.Sum64String(service))
}

// Run calls Flush periodically until ctx ends. It does not write what is queued
// then: the caller may call Flush once more.
func (w *Writer) Run(ctx context.Context) error {
	interval := minInterval
	for {
		// The jitter spreads the writes of nodes that lost their connections to the
		// platform at the same time.
		jittered := time.Duration(float64(interval) * (0.5 + w.Random.Float64()))
		select {
		case <-w.Clock.After(jittered):
		case <-ctx.Done():
			return nil
		}
		if err := w.Flush(ctx); err != nil {
			w.OnError(err)
			interval = min(2*interval, maxInterval)
			continue
		}
		interval = minInterval
	}
}

// Flush writes one batch of outcomes of one service, and deletes expired objects.
func (w *Writer) Flush(ctx context.Context) error {
	w.deleteExpired(ctx)
	outcomes := w.Queue.TakeBatch(maxBatch)
	if len(outcomes) == 0 {
		return nil
	}
	w.sequence++
	written := writtenObject{kind: ObjectKind(outcomes[0].Service), writtenAt: w.Clock.Now()}
	written.name = fmt.Sprintf("%d.%s.%d", written.writtenAt.UnixNano(), hex.EncodeToString([]byte(w.Node)), w.sequence)
	value, err := encode(outcomes)
	if err != nil {
		w.Queue.Requeue(outcomes)
		return fmt.Errorf("write unknown outcomes: %w", err)
	}
	stored, err := w.Platform.Put(ctx, written.kind, written.name, 0, value)
	if err != nil {
		// If only the answer was lost, the next Flush writes the outcomes again
		// under another name: they may be listed twice but are not lost.
		w.Queue.Requeue(outcomes)
		return fmt.Errorf("write unknown outcomes: %w", err)
	}
	written.version = stored.Version
	w.written = append(w.written, written)
	return nil
}

func (w *Writer) deleteExpired(ctx context.Context) {
	now := w.Clock.Now()
	for range maxDeletes {
		if len(w.written) == 0 || now.Sub(w.written[0].writtenAt) < Retention {
			return
		}
		oldest := w.written[0]
		w.written = w.written[1:]
		_, _ = w.Platform.Delete(ctx, oldest.kind, oldest.name, oldest.version)
	}
}

func encode(outcomes []Outcome) ([]byte, error) {
	values := make([]outcomeValue, 0, len(outcomes))
	for _, outcome := range outcomes {
		values = append(values, outcomeValue{
			At:        outcome.Time,
			Service:   outcome.Service,
			Operation: outcome.Operation,
			Key:       outcome.Key,
			Caller:    outcome.Caller,
			RequestID: outcome.RequestID,
			Reason:    string(outcome.Reason),
			Node:      string(outcome.Node),
		})
	}
	value, err := json.Marshal(values)
	if err != nil {
		return nil, fmt.Errorf("encode unknown outcomes: %w", err)
	}
	return value, nil
}

func decode(value []byte) ([]Outcome, error) {
	var values []outcomeValue
	if err := json.Unmarshal(value, &values); err != nil {
		return nil, fmt.Errorf("decode unknown outcomes: %w", err)
	}
	outcomes := make([]Outcome, 0, len(values))
	for _, stored := range values {
		outcomes = append(outcomes, Outcome{
			Time:      stored.At,
			Service:   stored.Service,
			Operation: stored.Operation,
			Key:       stored.Key,
			Caller:    stored.Caller,
			RequestID: stored.RequestID,
			Reason:    savorydeal.Reason(stored.Reason),
			Node:      savorydeal.NodeID(stored.Node),
		})
	}
	return outcomes, nil
}

// List returns the outcomes of a service that are younger than Retention, the
// newest first; key "" means all keys. If the platform cannot be read, or an
// object cannot be decoded, it returns the other outcomes, including those queued
// on this node, and an error.
func List(ctx context.Context, platform savorydeal.Platform, queue *Queue, now time.Time, service, key string) ([]Outcome, error) {
	found := queue.Pending()
	list, err := platform.List(ctx, ObjectKind(service))
	if err != nil {
		err = fmt.Errorf("list unknown outcomes: %w", err)
	}
	deletesLeft := maxDeletes
	for _, stored := range list.Objects {
		outcomes, decodeErr := decode(stored.Value)
		err = errors.Join(err, decodeErr)
		found = append(found, outcomes...)
		if deletesLeft > 0 && allExpired(outcomes, now) {
			// Normally its writer deletes it, but that process may have ended.
			deletesLeft--
			_, _ = platform.Delete(ctx, stored.Kind, stored.Name, stored.Version)
		}
	}
	found = slices.DeleteFunc(found, func(outcome Outcome) bool {
		return outcome.Service != service || key != "" && outcome.Key != key || now.Sub(outcome.Time) >= Retention
	})
	slices.SortFunc(found, func(a, b Outcome) int { return b.Time.Compare(a.Time) })
	return found, err
}

func allExpired(outcomes []Outcome, now time.Time) bool {
	for _, outcome := range outcomes {
		if now.Sub(outcome.Time) < Retention {
			return false
		}
	}
	return len(outcomes) > 0
}
