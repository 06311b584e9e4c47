package sdstandcaller

import (
	"context"
	"fmt"
	"io"
	"net/http"

	"github.com/savorydeal/savorydeal/internal/sdheader"
)

const maxKeyPrefixBytes = 255

// FetchKeyPrefix requests from the node a prefix of the keys that the node owns.
func (c *Caller) FetchKeyPrefix(ctx context.Context) (string, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.address+sdheader.KeyPrefixPath, nil)
	if err != nil {
		return "", fmt.Errorf("request key prefix: %w", err)
	}
	response, err := c.client.Do(r)
	if err != nil {
		return "", fmt.Errorf("request key prefix: %w", err)
	}
	defer response.Body.Close()
	prefix, err := io.ReadAll(io.LimitReader(response.Body, maxKeyPrefixBytes))
	if err != nil {
		return "", fmt.Errorf("read key prefix: %w", err)
	}
	if response.StatusCode != http.StatusOK {
		return "", fmt.Errorf("request key prefix: status %d", response.StatusCode)
	}
	return string(prefix), nil
}

// OwnedKey returns a key for a new request: the last key prefix that the node sent
// followed by plain, or plain alone before the node has sent a prefix.
func (c *Caller) OwnedKey(plain string) string {
	prefix := c.keyPrefix.Load()
	if prefix == nil {
		return plain
	}
	return *prefix + plain
}

func (c *Caller) storeKeyPrefix(header http.Header) {
	if prefix := header.Get(sdheader.KeyPrefix); prefix != "" {
		c.keyPrefix.Store(&prefix)
	}
}
