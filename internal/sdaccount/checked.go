package sdaccount

import (
	"crypto/sha256"
	"sync"
	"time"
)

const (
	// checkedTime is how long a key that was found unknown in the newest configuration needs
	// no further check. Callers with a withdrawn key send it again and again; a check for
	// each interval that they fill was more than half of all calls of the store.
	checkedTime = 10 * time.Second
	// maxChecked bounds the memory of keys that callers invent.
	maxChecked = 1024
)

// CheckedKeys holds the keys that were found unknown in one configuration when it was known
// to be the newest. It is safe for concurrent use.
type CheckedKeys struct {
	mu sync.Mutex
	at map[keyDigest]time.Time
}

// Add records the Authorization value of a request whose key was checked. If there is no
// room, the key is checked again the next time.
func (c *CheckedKeys) Add(now time.Time, authorization string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.at == nil {
		c.at = make(map[keyDigest]time.Time)
	}
	if len(c.at) >= maxChecked {
		for digest, at := range c.at {
			if now.Sub(at) > checkedTime {
				delete(c.at, digest)
			}
		}
	}
	if len(c.at) < maxChecked {
		c.at[sha256.Sum256([]byte(authorization))] = now
	}
}

// Contains reports whether the Authorization value was checked lately.
func (c *CheckedKeys) Contains(now time.Time, authorization string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	at, ok := c.at[sha256.Sum256([]byte(authorization))]
	return ok && now.Sub(at) <= checkedTime
}
