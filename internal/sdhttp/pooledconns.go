package sdhttp

import (
	"errors"
	"sync/atomic"
)

// ErrNoConnection is the error of a request for which ConnLimit allows no new connection.
// Nothing was sent.
var ErrNoConnection = errors.New("all connections allowed are in use")

// ConnLimit bounds the connections that several pools have open together. A nil ConnLimit has
// no bound.
type ConnLimit struct {
	// Limit is the largest number of connections. Requests with Control set may exceed it.
	Limit int
	// Reclaim closes idle connections of the pools. It is called at the limit.
	Reclaim func()

	open atomic.Int64
}

// Open returns the number of open connections.
func (l *ConnLimit) Open() int {
	return int(l.open.Load())
}

// take counts a new connection if the limit allows it, or in any case if force is true.
func (l *ConnLimit) take(force bool) bool {
	if l == nil || l.tryTake() {
		return true
	}
	if l.Reclaim != nil {
		l.Reclaim()
	}
	if l.tryTake() {
		return true
	}
	if force {
		l.open.Add(1)
	}
	return force
}

func (l *ConnLimit) tryTake() bool {
	if l.open.Add(1) <= int64(l.Limit) {
		return true
	}
	l.open.Add(-1)
	return false
}

func (l *ConnLimit) give(conns int) {
	if l != nil {
		l.open.Add(int64(-conns))
	}
}
