// Package sdconfig replicates the platform's versioned objects, such as
// policies, between nodes and determines which versions a node has in force.
// The newest version of an object wins and deletes are tombstones. Nodes
// announce new versions to each other and find missing ones by comparing
// digests. The package does no I/O.
package sdconfig

import (
	"encoding/binary"
	"fmt"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/savorydeal/savorydeal"
	"github.com/savorydeal/savorydeal/internal/sddigest"
	"github.com/savorydeal/savorydeal/internal/sdinvariant"
)

// Decode reads the policy in an object of the platform. For an object of
// another kind it returns an empty record. It returns an error for an object
// that this node cannot read.
type Decode func(savorydeal.Object) (savorydeal.PolicyRecord, error)

// Key identifies an object.
type Key struct {
	Kind string
	Name string
}

// KeyOf returns the key of an object.
func KeyOf(object savorydeal.Object) Key {
	return Key{Kind: object.Kind, Name: object.Name}
}

// encode returns the key as one string. Digests cover it, so all nodes must
// encode keys alike.
func (k Key) encode() string {
	return k.Kind + "\x00" + k.Name
}

// compareKeys orders keys by kind, then by name.
func compareKeys(a, b Key) int {
	return strings.Compare(a.encode(), b.encode())
}

// Entry is the state of one object in a store.
type Entry struct {
	// Newest is the newest version received. It is passed on to other nodes
	// even if this node cannot read it.
	Newest savorydeal.Object
	// Readable is the newest version that this node could read, and thus the
	// one in force; its Version is 0 if there is none.
	Readable savorydeal.Object
	// InForce is the record decoded from Readable, empty unless it is a policy.
	InForce savorydeal.PolicyRecord
	// Rejected is the reason why Newest is not in force; empty if it is.
	Rejected string
}

// Store holds the newest objects that a node has received, and those that it
// has in force. One goroutine owns it.
type Store struct {
	decode  Decode
	entries map[Key]Entry
	// newestDigest covers the newest versions, inForceDigest those in force.
	newestDigest  sddigest.Tree
	inForceDigest uint64
}

// NewStore returns an empty store.
func NewStore(decode Decode) *Store {
	return &Store{decode: decode, entries: make(map[Key]Entry)}
}

// Apply stores the objects that are newer than the stored ones and returns
// them. Objects may come from any source, in any order, repeated or stale.
func (s *Store) Apply(objects []savorydeal.Object) []savorydeal.Object {
	var applied []savorydeal.Object
	for _, object := range objects {
		if s.applyOne(object) {
			applied = append(applied, object)
		}
	}
	return applied
}

// applyOne stores an object if it is newer than the stored one and reports
// whether it was.
func (s *Store) applyOne(object savorydeal.Object) bool {
	key := KeyOf(object)
	entry, known := s.entries[key]
	if object.Version <= entry.Newest.Version {
		return false
	}
	if known {
		s.newestDigest.Toggle(key.encode(), versionDigest(key, entry.Newest.Version))
	}
	s.newestDigest.Toggle(key.encode(), versionDigest(key, object.Version))
	entry.Newest = object
	record, err := s.decode(object)
	if err != nil {
		entry.Rejected = err.Error()
	} else {
		sdinvariant.NoVersionReversal.Check(record.Version >= entry.InForce.Version, func() string {
			return fmt.Sprintf("%s: the policy in force goes from version %d back to %d", object.Name, entry.InForce.Version, record.Version)
		})
		s.inForceDigest ^= versionDigest(key, entry.Readable.Version) ^ versionDigest(key, object.Version)
		entry.Readable = object
		entry.InForce = record
		entry.Rejected = ""
	}
	s.entries[key] = entry
	return true
}

// versionDigest returns the hash of a key and version, 0 for version 0, which
// stands for an object that is not held. The value need not be covered: the
// platform never assigns a version twice, so equal versions of an object have
// equal values.
func versionDigest(key Key, version int64) uint64 {
	if version == 0 {
		return 0
	}
	var bits [8]byte
	binary.BigEndian.PutUint64(bits[:], uint64(version))
	digest := xxhash.New()
	_, _ = digest.WriteString(key.encode())
	_, _ = digest.Write(bits[:])
	return digest.Sum64()
}

// Digest returns a digest of the newest versions. It is equal on two nodes that
// hold the same versions.
func (s *Store) Digest() uint64 {
	return s.newestDigest.Root()
}

// InForceDigest returns a digest of the versions in force. It is equal on two
// nodes that have the same versions in force.
func (s *Store) InForceDigest() uint64 {
	return s.inForceDigest
}

// Entry returns the entry of an object.
func (s *Store) Entry(key Key) (Entry, bool) {
	entry, ok := s.entries[key]
	return entry, ok
}

// Objects returns the newest objects of all kinds, tombstones included, sorted
// by kind and name.
func (s *Store) Objects() []savorydeal.Object {
	objects := make([]savorydeal.Object, 0, len(s.entries))
	for _, entry := range s.entries {
		objects = append(objects, entry.Newest)
	}
	slices.SortFunc(objects, func(a, b savorydeal.Object) int { return compareKeys(KeyOf(a), KeyOf(b)) })
	return objects
}

// InForce returns the records of the policies in force, tombstones included.
func (s *Store) InForce() []savorydeal.PolicyRecord {
	records := make([]savorydeal.PolicyRecord, 0, len(s.entries))
	for _, entry := range s.entries {
		if entry.InForce.Version > 0 {
			records = append(records, entry.InForce)
		}
	}
	return records
}

// ObjectsInForce returns the objects of a kind that are in force, tombstones
// included, sorted by name.
func (s *Store) ObjectsInForce(kind string) []savorydeal.Object {
	var objects []savorydeal.Object
	for key, entry := range s.entries {
		if key.Kind == kind && entry.Readable.Version > 0 {
			objects = append(objects, entry.Readable)
		}
	}
	slices.SortFunc(objects, func(a, b savorydeal.Object) int { return strings.Compare(a.Name, b.Name) })
	return objects
}

// RejectedCount returns the number of objects whose newest version this node
// cannot read.
func (s *Store) RejectedCount() int {
	rejected := 0
	for _, entry := range s.entries {
		if entry.Rejected != "" {
			rejected++
		}
	}
	return rejected
}
