// Package sdkeys holds the rules by which no call with an idempotency key runs
// twice: it parses keys, keeps the records of the keys that one process decides
// on, and computes the leases on partitions of a service's keys. It does no I/O.
package sdkeys

import (
	"encoding/base64"
	"encoding/hex"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/savorydeal/savorydeal"
)

// Kind classifies keys by whether they contain their owner or their creation time.
type Kind string

const (
	// KindOwned is a key with a prefix that names the process (node and
	// generation) that issued it. Only that process decides on it, or its
	// successor after a handover.
	KindOwned Kind = "owned"
	// KindTimed is a UUID of version 7, which contains its creation time.
	KindTimed Kind = "timed"
	// KindOpaque is any other key: it names neither an owner nor a time.
	KindOpaque Kind = "opaque"
)

const (
	ownedKeyTag    = "k1"
	ownedKeyFields = 5
	base36         = 36
	// PartitionCount is the number of partitions into which a service's timed
	// and opaque keys are hashed. It bounds the lease writes to the platform:
	// services times partitions, independent of the number of nodes.
	PartitionCount = 8
)

// Incarnation identifies one process of a node; a restart gives it a new
// generation.
type Incarnation struct {
	Node       savorydeal.NodeID
	Generation uint64
}

// Name returns the object name under which the platform stores the incarnation.
func (i Incarnation) Name() string {
	return hex.EncodeToString([]byte(i.Node)) + "." + strconv.FormatUint(i.Generation, base36)
}

// Key is a parsed idempotency key.
type Key struct {
	Kind Kind
	// Owner is set for an owned key.
	Owner Incarnation
	// Issued is the time from the owner's start until it issued the prefix, on
	// its monotonic clock, so that clock steps do not affect it. It is set for
	// an owned key.
	Issued time.Duration
	// Created is set for a timed key. It is the wall clock of the caller.
	Created time.Time
}

// Prefix returns a prefix for keys that only the owner decides on. issued is the
// time since the owner's start. The caller appends a text that it never uses
// twice.
func Prefix(owner Incarnation, issued time.Duration) string {
	return strings.Join([]string{
		ownedKeyTag,
		base64.RawURLEncoding.EncodeToString([]byte(owner.Node)),
		strconv.FormatUint(owner.Generation, base36),
		strconv.FormatInt(issued.Milliseconds(), base36),
		"",
	}, ".")
}

// Parse parses a key. A key that is neither owned nor timed is opaque.
func Parse(text string) Key {
	if key, ok := parseOwned(text); ok {
		return key
	}
	if created, ok := parseTimed(text); ok {
		return Key{Kind: KindTimed, Created: created}
	}
	return Key{Kind: KindOpaque}
}

func parseOwned(text string) (Key, bool) {
	fields := strings.SplitN(text, ".", ownedKeyFields)
	if len(fields) != ownedKeyFields || fields[0] != ownedKeyTag || fields[ownedKeyFields-1] == "" {
		return Key{}, false
	}
	node, err := base64.RawURLEncoding.DecodeString(fields[1])
	if err != nil || len(node) == 0 {
		return Key{}, false
	}
	generation, err := strconv.ParseUint(fields[2], base36, 64)
	if err != nil {
		return Key{}, false
	}
	issued, err := strconv.ParseInt(fields[3], base36, 48)
	if err != nil || issued < 0 {
		return Key{}, false
	}
	return Key{
		Kind:   KindOwned,
		Owner:  Incarnation{Node: savorydeal.NodeID(node), Generation: generation},
		Issued: time.Duration(issued) * time.Millisecond,
	}, true
}

const uuidLength = 36

// parseTimed returns the creation time of a UUID of version 7. Its first 48
// bits are Unix time in milliseconds.
func parseTimed(text string) (time.Time, bool) {
	if len(text) != uuidLength || text[8] != '-' || text[13] != '-' || text[14] != '7' || text[18] != '-' || text[23] != '-' {
		return time.Time{}, false
	}
	if _, err := hex.DecodeString(strings.ReplaceAll(text, "-", "")); err != nil {
		return time.Time{}, false
	}
	unixMillis, err := strconv.ParseInt(text[:8]+text[9:13], 16, 64)
	if err != nil {
		return time.Time{}, false
	}
	return time.UnixMilli(unixMillis), true
}

// PartitionOf returns the partition of a timed or opaque key, in
// [0, PartitionCount).
func PartitionOf(service, key string) int {
	return int(xxhash.Sum64String(service+"\x00"+key) % PartitionCount)
}
