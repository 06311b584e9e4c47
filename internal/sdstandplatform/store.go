// Package sdstandplatform is a small stand-in for the platform's object API, for
// tests and the benchmark program. Its injected faults can be changed while it
// runs.
package sdstandplatform

import (
	"slices"
	"sync"
	"time"

	"github.com/savorydeal/savorydeal"
)

// Faults are the faults that the stand-in injects. The zero value injects none.
type Faults struct {
	// Down refuses every call with status 503 before it takes effect.
	Down bool
	// Hang delays every call until the fault is cleared.
	Hang bool
	// Delay is added before every call takes effect.
	Delay time.Duration
	// DropWriteAnswers closes the connection in place of the answer after a write
	// took effect.
	DropWriteAnswers bool
	// ReadLag is the number of revisions by which reads, lists and watches lag
	// behind the newest one.
	ReadLag int64
	// WritesPerSecond and ReadsPerSecond are rate limits; zero means no limit.
	// ReadsPerSecond holds for reads and lists together, and separately for
	// watches. Calls above a limit are refused with status 429.
	WritesPerSecond int
	ReadsPerSecond  int
}

// CallCounts counts the calls received, refused ones included.
type CallCounts struct {
	Reads   int64
	Writes  int64
	Watches int64
	// Refused counts calls answered with status 503 or 429.
	Refused int64
	// DroppedWriteAnswers counts writes that took effect and whose answer was
	// dropped.
	DroppedWriteAnswers int64
}

// Store holds every version of the objects. It is safe for concurrent use.
type Store struct {
	mu       sync.Mutex
	revision int64
	// versions holds all versions of all objects, oldest first.
	versions []savorydeal.Object
	// changed is closed, and replaced, at the next write.
	changed chan struct{}
	faults  Faults
	// hangEnded is closed, and replaced, when Faults.Hang is cleared.
	hangEnded chan struct{}
	calls     CallCounts
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{changed: make(chan struct{}), hangEnded: make(chan struct{})}
}

// SetFaults replaces the injected faults.
func (s *Store) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Hang && !faults.Hang {
		close(s.hangEnded)
		s.hangEnded = make(chan struct{})
	}
	s.faults = faults
}

// Faults returns the injected faults.
func (s *Store) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// CallCounts returns a copy of the counters.
func (s *Store) CallCounts() CallCounts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Revision returns the newest revision, 0 before the first write.
func (s *Store) Revision() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

// write stores a new version of an object if its present version is the expected
// one, and returns the object and its version. Expecting 0 requires that the
// object does not exist or is deleted. On a conflict it returns the present
// version and false.
func (s *Store) write(object savorydeal.Object, expected int64) (savorydeal.Object, int64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current, exists := s.find(object.Kind, object.Name, s.revision)
	if exists && current.Version != expected || !exists && expected != 0 {
		return savorydeal.Object{}, current.Version, false
	}
	s.revision++
	object.Version = s.revision
	s.versions = append(s.versions, object)
	close(s.changed)
	s.changed = make(chan struct{})
	return object, object.Version, true
}

// find returns the object as of a revision, and false if it was absent or deleted
// then. A deleted object is returned as its tombstone.
func (s *Store) find(kind, name string, revision int64) (savorydeal.Object, bool) {
	for _, object := range slices.Backward(s.versions) {
		if object.Version <= revision && object.Kind == kind && object.Name == name {
			return object, !object.Deleted
		}
	}
	return savorydeal.Object{}, false
}

// readRevision returns the revision that reads see under Faults.ReadLag.
func (s *Store) readRevision() int64 {
	return max(0, s.revision-s.faults.ReadLag)
}

func (s *Store) get(kind, name string) (savorydeal.Object, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.find(kind, name, s.readRevision())
}

// changesAfter returns the newest version of each object of the kind that changed
// after the revision, tombstones included, oldest change first, and a channel that
// is closed at the next write.
func (s *Store) changesAfter(kind string, after int64) (savorydeal.ObjectList, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	revision := s.readRevision()
	newest := make(map[string]savorydeal.Object)
	for _, object := range s.versions {
		if object.Kind == kind && object.Version > after && object.Version <= revision {
			newest[object.Name] = object
		}
	}
	list := savorydeal.ObjectList{Revision: revision}
	for _, object := range newest {
		list.Objects = append(list.Objects, object)
	}
	slices.SortFunc(list.Objects, func(a, b savorydeal.Object) int { return int(a.Version - b.Version) })
	return list, s.changed
}
