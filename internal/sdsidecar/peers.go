package sdsidecar

import (
	"sync"
	"time"

	"github.com/savorydeal/savorydeal/internal/sdhttp"
)

const (
	// peerDialTimeout bounds the opening of a connection to another node.
	// Ways between data centres of one region take a few milliseconds.
	peerDialTimeout = 400 * time.Millisecond
	// peerIdle is shorter than peerIdleTimeout, so that no request meets the
	// close of its connection.
	peerIdle = 20 * time.Second
)

// peers are the connections to other nodes.
type peers struct {
	mu    sync.Mutex
	pools map[string]*sdhttp.Pool
}

func (p *peers) init() {
	p.pools = make(map[string]*sdhttp.Pool)
}

func (p *peers) pool(address string) *sdhttp.Pool {
	p.mu.Lock()
	defer p.mu.Unlock()
	pool := p.pools[address]
	if pool == nil {
		pool = &sdhttp.Pool{Address: address, DialTimeout: peerDialTimeout, IdleTimeout: peerIdle}
		p.pools[address] = pool
	}
	return pool
}

func (p *peers) expire(now time.Time) {
	p.mu.Lock()
	pools := make([]*sdhttp.Pool, 0, len(p.pools))
	for address, pool := range p.pools {
		if pool.Open() == 0 {
			delete(p.pools, address)
			continue
		}
		pools = append(pools, pool)
	}
	p.mu.Unlock()
	for _, pool := range pools {
		pool.Expire(now)
	}
}
