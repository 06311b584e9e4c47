package savorydeal

import (
	"context"
	"errors"
	"time"
)

// Errors of the platform that callers branch on. Anything else that goes wrong
// leaves a write's fate unknown.
var (
	// ErrVersionConflict means that the object has another version than the
	// writer expected; nothing was written.
	ErrVersionConflict = errors.New("object has another version")
	// ErrObjectNotFound means that the object does not exist.
	ErrObjectNotFound = errors.New("object not found")
	// ErrPlatformRefused means that the platform refused the call before it
	// took effect: throttled, or not sent because the circuit is open.
	ErrPlatformRefused = errors.New("platform refused the call")
)

// Object is one versioned object of the platform.
type Object struct {
	Kind    string
	Name    string
	Version int64
	Deleted bool
	Value   []byte
}

// ObjectList is a list of objects and the revision of the store it was read at.
type ObjectList struct {
	Revision int64
	Objects  []Object
}

// Platform is the platform's object API.
type Platform interface {
	Get(ctx context.Context, kind, name string) (Object, error)
	// Put writes if the object has the expected version; 0 means absent.
	Put(ctx context.Context, kind, name string, expected int64, value []byte) (Object, error)
	Delete(ctx context.Context, kind, name string, expected int64) (Object, error)
	List(ctx context.Context, kind string) (ObjectList, error)
	// Watch waits up to wait for changes after the revision.
	Watch(ctx context.Context, kind string, after int64, wait time.Duration) (ObjectList, error)
}
