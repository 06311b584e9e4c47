package sdforward

import (
	"sync"
	"time"

	"github.com/savorydeal/savorydeal"
	"github.com/savorydeal/savorydeal/internal/sdpeerpb"
)

const (
	// maxStoredAnswerBytes is the largest answer body that is kept for a fetch.
	maxStoredAnswerBytes = 64 << 10
	// orphanTimeout is how long a call whose link was lost continues to run
	// without a fetch, and how long an answer is kept for a fetch.
	orphanTimeout = 5 * time.Second
	// blockDuration is how long an attempt is kept from running if the fetch of
	// its answer arrived before the call. Delayed bytes of the old link arrive
	// within this time or not at all.
	blockDuration = 2 * time.Minute
	// maxBlocked limits the number of blocked attempts.
	maxBlocked = 100_000
)

// Attempts holds the calls that this node runs for other nodes, so that an answer
// can be fetched after its link was lost. It is safe for concurrent use.
type Attempts struct {
	clock savorydeal.Clock

	mu   sync.Mutex
	byID map[string]*attempt
	// blocked holds the IDs of blocked attempts, blockedOrder the same with the times,
	// oldest first.
	blocked      map[string]struct{}
	blockedOrder []blockedAttempt
}

type blockedAttempt struct {
	id        string
	blockedAt time.Time
}

// attempt is one call that has arrived, and its answer.
type attempt struct {
	// frames are the messages of the answer. They are complete once done is
	// closed.
	frames []*sdpeerpb.CallFrame
	// bytes is the size of the answer's body so far.
	bytes int
	// tooLarge is true if the body exceeds maxStoredAnswerBytes; frames is then
	// nil.
	tooLarge bool
	done     chan struct{}

	mu sync.Mutex
	// fetches is the number of fetches that wait for the answer or are sending it.
	fetches int
}

// NewAttempts returns an empty set.
func NewAttempts(clock savorydeal.Clock) *Attempts {
	return &Attempts{clock: clock, byID: make(map[string]*attempt), blocked: make(map[string]struct{})}
}

// begin adds a call that has arrived. It reports false if the call must not run:
// a fetch of its answer arrived first and was refused as not run, or the call has
// arrived before.
func (a *Attempts) begin(id string) (*attempt, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, ok := a.blocked[id]; ok {
		return nil, false
	}
	if a.byID[id] != nil {
		return nil, false
	}
	started := &attempt{done: make(chan struct{})}
	a.byID[id] = started
	return started, true
}

// find returns the attempt to fetch from and counts the fetch. An attempt that has
// not arrived is blocked under the same lock, so that it cannot run later.
func (a *Attempts) find(id string) (*attempt, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if existing := a.byID[id]; existing != nil {
		existing.addFetches(1)
		return existing, true
	}
	a.block(id)
	return nil, false
}

// block keeps an attempt from running. At the limit the oldest ones are dropped: the
// bytes of their links are the least likely to arrive still.
func (a *Attempts) block(id string) {
	if _, ok := a.blocked[id]; ok {
		return
	}
	now := a.clock.Now()
	for len(a.blockedOrder) > 0 && (len(a.blockedOrder) >= maxBlocked || now.Sub(a.blockedOrder[0].blockedAt) >= blockDuration) {
		delete(a.blocked, a.blockedOrder[0].id)
		a.blockedOrder = a.blockedOrder[1:]
	}
	a.blocked[id] = struct{}{}
	a.blockedOrder = append(a.blockedOrder, blockedAttempt{id: id, blockedAt: now})
}

func (a *Attempts) remove(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.byID, id)
}

// Len returns the number of calls that are running or whose answers are kept.
func (a *Attempts) Len() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.byID)
}

// record keeps a message of the answer for a fetch, unless the body is too large.
func (a *attempt) record(frame *sdpeerpb.CallFrame) {
	a.bytes += len(frame.GetBody())
	if a.bytes > maxStoredAnswerBytes {
		a.tooLarge = true
		a.frames = nil
		return
	}
	if body := frame.GetBody(); body != nil {
		// The sender reuses its buffer.
		copied := append([]byte(nil), body...)
		frame = &sdpeerpb.CallFrame{Frame: &sdpeerpb.CallFrame_Body{Body: copied}}
	}
	a.frames = append(a.frames, frame)
}

func (a *attempt) finish() {
	close(a.done)
}

func (a *attempt) addFetches(n int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.fetches += n
}

// hasFetch reports whether a fetch has arrived and not ended.
func (a *attempt) hasFetch() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.fetches > 0
}
