// Package sdconfig keeps the policies a node has in force: the newest version
// of each wins, deletes are tombstones, and digests tell two nodes whether they
// hold the same. It does no I/O.
package sdconfig

import (
	"encoding/binary"
	"fmt"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/savorydeal/savorydeal"
	"github.com/savorydeal/savorydeal/internal/sdinvariant"
)

// Decode reads a policy from the platform's object.
type Decode func(savorydeal.Object) (savorydeal.PolicyRecord, error)

// Entry is what a node holds of one policy.
type Entry struct {
	// Newest is the newest object seen. It is passed on to other nodes also
	// when this node cannot read it.
	Newest savorydeal.Object
	// InForce is the newest record this node could read; zero if there is
	// none.
	InForce savorydeal.PolicyRecord
	// Rejected says why Newest is not in force; empty if it is.
	Rejected string
}

// Store holds the entries of one node. One goroutine owns it.
type Store struct {
	decode  Decode
	entries map[string]Entry
	digest  uint64
}

// NewStore returns an empty store.
func NewStore(decode Decode) *Store {
	return &Store{decode: decode, entries: make(map[string]Entry)}
}

// Apply takes objects from anywhere, in any order, repeated or stale, and
// returns those that were newer than what the store held.
func (s *Store) Apply(objects []savorydeal.Object) []savorydeal.Object {
	var applied []savorydeal.Object
	for _, object := range objects {
		if s.applyOne(object) {
			applied = append(applied, object)
		}
	}
	return applied
}

func (s *Store) applyOne(object savorydeal.Object) bool {
	entry, known := s.entries[object.Name]
	if known && object.Version <= entry.Newest.Version {
		return false
	}
	if known {
		s.digest ^= objectDigest(entry.Newest)
	}
	s.digest ^= objectDigest(object)
	entry.Newest = object
	record, err := s.decode(object)
	if err != nil {
		entry.Rejected = err.Error()
	} else {
		sdinvariant.NoVersionReversal.Check(record.Version >= entry.InForce.Version, func() string {
			return fmt.Sprintf("%s goes from version %d to %d", object.Name, entry.InForce.Version, record.Version)
		})
		entry.InForce = record
		entry.Rejected = ""
	}
	s.entries[object.Name] = entry
	return true
}

// objectDigest covers name and version: equal versions of one object are equal
// objects, since the platform never gives a version twice.
func objectDigest(object savorydeal.Object) uint64 {
	var version [8]byte
	binary.BigEndian.PutUint64(version[:], uint64(object.Version))
	digest := xxhash.New()
	_, _ = digest.WriteString(object.Name)
	_, _ = digest.Write(version[:])
	return digest.Sum64()
}

// Digest is equal on two nodes that hold the same versions.
func (s *Store) Digest() uint64 {
	return s.digest
}

// Entry returns what the store holds of a service.
func (s *Store) Entry(service string) (Entry, bool) {
	entry, ok := s.entries[service]
	return entry, ok
}

// Objects returns the newest objects sorted by name.
func (s *Store) Objects() []savorydeal.Object {
	objects := make([]savorydeal.Object, 0, len(s.entries))
	for _, entry := range s.entries {
		objects = append(objects, entry.Newest)
	}
	slices.SortFunc(objects, func(a, b savorydeal.Object) int {
		return strings.Compare(a.Name, b.Name)
	})
	return objects
}

// InForce returns the records in force.
func (s *Store) InForce() []savorydeal.PolicyRecord {
	records := make([]savorydeal.PolicyRecord, 0, len(s.entries))
	for _, entry := range s.entries {
		if entry.InForce.Version > 0 {
			records = append(records, entry.InForce)
		}
	}
	return records
}

// Rejected returns how many services have a newest version this node cannot
// read.
func (s *Store) Rejected() int {
	rejected := 0
	for _, entry := range s.entries {
		if entry.Rejected != "" {
			rejected++
		}
	}
	return rejected
}
