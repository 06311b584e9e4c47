package sdstandstore

import (
	"maps"
	"slices"
	"time"
)

// statusAway is the status of a watch that is in progress while the store comes back from a
// copy: its connection is reset.
const statusAway = -1

// Copy is the state of a store at one revision.
type Copy struct {
	revision, compacted int64
	objects             map[string]map[string]Object
	events              []event
}

// Copy returns a copy of the store's state.
func (s *Store) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Copy{revision: s.revision, compacted: s.compacted, objects: cloneObjects(s.objects), events: slices.Clone(s.events)}
}

func cloneObjects(objects map[string]map[string]Object) map[string]map[string]Object {
	cloned := make(map[string]map[string]Object, len(objects))
	for kind, ofKind := range objects {
		cloned[kind] = maps.Clone(ofKind)
	}
	return cloned
}

// Era returns the store's era.
func (s *Store) Era() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

// GoBack replaces the store's state by a copy and raises the era. What was written since the
// copy is gone, and its revisions are given out again. Watches in progress end without an
// answer, and those from a revision that the copy does not have are answered with status 410.
func (s *Store) GoBack(from Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.revision, s.compacted, s.events = from.revision, from.compacted, slices.Clone(from.events)
	s.objects = cloneObjects(from.objects)
	close(s.changed)
	s.changed = make(chan struct{})
}

// Drill is away for a time, in which it resets the connections of all calls, and then goes
// back to the copy. rewrite, which may be nil, writes the data of operators and targets again
// before the first call is answered.
func (s *Store) Drill(from Copy, away time.Duration, rewrite func()) {
	s.SetFault(FaultReset)
	time.Sleep(away)
	s.GoBack(from)
	if rewrite != nil {
		rewrite()
	}
	s.SetFault(FaultNone)
}

// Has reports whether an object exists.
func (s *Store) Has(kind, name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.objects[kind][name]
	return ok
}

// Writes returns the number of writes of an object that the store holds events of.
func (s *Store) Writes(kind, name string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	count := 0
	for _, e := range s.events {
		if e.Kind == kind && e.Object.Metadata.Name == name {
			count++
		}
	}
	return count
}
