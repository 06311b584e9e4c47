package sdsoak

import (
	"context"
	"time"

	"github.com/savorydeal/savorydeal/internal/sdstandcaller"
)

const keyPrefixTimeout = time.Second

// key returns the key for a new request that is sent to this VM's node. It adds
// the node's key prefix, as the documentation advises callers, or returns the
// plain key if the node does not answer with a prefix. An empty key stays empty.
func (v *vm) key(plain string) string {
	if plain == "" {
		return ""
	}
	ctx, cancel := context.WithTimeout(context.Background(), keyPrefixTimeout)
	defer cancel()
	node, _ := v.current()
	caller := sdstandcaller.New(node.Settings.CallerAddress, 1)
	defer caller.Close()
	prefix, err := caller.FetchKeyPrefix(ctx)
	if err != nil {
		return plain
	}
	return prefix + plain
}
