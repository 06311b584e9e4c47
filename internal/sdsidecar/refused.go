package sdsidecar

import (
	"sync"

	"github.com/cespare/xxhash/v2"
)

// maxRefusedIDs bounds the requests of which a node remembers that its target refused
// them. A further attempt at the same target follows within milliseconds.
const maxRefusedIDs = 4096

// refusedRequests holds hashes of the IDs of the requests that the target has refused last: a
// caller may send IDs of any length. Two IDs with one hash cost a new connection. It is safe
// for concurrent use.
type refusedRequests struct {
	mu  sync.Mutex
	ids map[uint64]struct{}
	// order holds ids as a ring; next is the index of the oldest one once it is full.
	order []uint64
	next  int
}

func newRefusedRequests() *refusedRequests {
	return &refusedRequests{ids: make(map[uint64]struct{})}
}

// add adds a request and removes the oldest one if there are too many.
func (r *refusedRequests) add(id string) {
	hash := xxhash.Sum64String(id)
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.ids[hash]; ok {
		return
	}
	r.ids[hash] = struct{}{}
	if len(r.order) < maxRefusedIDs {
		r.order = append(r.order, hash)
		return
	}
	delete(r.ids, r.order[r.next])
	r.order[r.next] = hash
	r.next = (r.next + 1) % maxRefusedIDs
}

func (r *refusedRequests) contains(id string) bool {
	hash := xxhash.Sum64String(id)
	r.mu.Lock()
	defer r.mu.Unlock()
	_, ok := r.ids[hash]
	return ok
}
