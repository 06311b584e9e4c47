package sdsoak

import (
	"context"
	"io"
	"net/http"
	"time"
)

const (
	keyPrefixPath    = "/.well-known/savorydeal/key_prefix"
	keyPrefixTimeout = time.Second
)

// key returns a key for a new request through this VM's node: one that begins
// with the node's prefix, as callers are advised to send, or a plain one if the
// node gives none.
func (v *vm) key(plain string) string {
	if plain == "" {
		return ""
	}
	ctx, cancel := context.WithTimeout(context.Background(), keyPrefixTimeout)
	defer cancel()
	node, _ := v.parts()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+node.Settings.CallerAddress+keyPrefixPath, nil)
	if err != nil {
		return plain
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return plain
	}
	defer func() { _ = response.Body.Close() }()
	prefix, err := io.ReadAll(response.Body)
	if err != nil || response.StatusCode != http.StatusOK {
		return plain
	}
	return string(prefix) + plain
}
