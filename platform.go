package savorydeal

import (
	"context"
	"errors"
	"time"
)

// Errors of the platform that need their own handling. After any other error of
// a write it is unknown whether the write took effect.
var (
	// ErrVersionConflict means that the object's version differs from the one
	// that the writer expected; nothing was written.
	ErrVersionConflict = errors.New("object has another version")
	// ErrObjectNotFound means that the object does not exist.
	ErrObjectNotFound = errors.New("object not found")
	// ErrPlatformRefused means that the call had no effect: the platform
	// throttled it, or it was not sent because the circuit is open.
	ErrPlatformRefused = errors.New("platform refused the call")
)

// Object is one versioned object of the platform.
type Object struct {
	Kind    string
	Name    string
	Version int64
	Deleted bool
	Value   []byte
	// Era is the era of the store in which the object was read or written. It is 0 on
	// platforms whose stores have none. A version is meaningful only within its era.
	Era uint64
}

// ObjectList is a list of objects, read at one revision of the store.
type ObjectList struct {
	Revision int64
	Objects  []Object
	// Era is the era of the store in which the list was read, 0 on platforms whose stores
	// have none.
	Era uint64
}

// Platform is the platform's object API.
type Platform interface {
	Get(ctx context.Context, kind, name string) (Object, error)
	// Put writes the object if it has the expected version. The expected
	// version 0 writes it only if it does not exist yet.
	Put(ctx context.Context, kind, name string, expected int64, value []byte) (Object, error)
	Delete(ctx context.Context, kind, name string, expected int64) (Object, error)
	List(ctx context.Context, kind string) (ObjectList, error)
	// Watch waits for changes after the revision, at most for the duration
	// wait.
	Watch(ctx context.Context, kind string, after int64, wait time.Duration) (ObjectList, error)
}
