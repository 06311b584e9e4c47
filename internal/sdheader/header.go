// Package sdheader names the HTTP headers of the data path and selects the
// headers of a message that a node forwards.
package sdheader

import (
	"net/http"
	"strings"

	"github.com/savorydeal/savorydeal"
)

// Headers of the data path. Nodes set those with the prefix Savorydeal-. A node
// reads them from a caller or a target only where the protocol provides for it,
// and never forwards them.
const (
	Outcome   = "Savorydeal-Outcome"
	Reason    = "Savorydeal-Reason"
	RequestID = "Savorydeal-Request-Id"
	// Chain holds the token of a run: in a request to the target, in the onward calls of
	// that run and, if the target returns it, in its answer.
	Chain = "Savorydeal-Chain"
	// DeadlineMS holds the time until the deadline in milliseconds.
	DeadlineMS = "Savorydeal-Deadline-Ms"
	Service    = "Savorydeal-Service"
	Caller     = "Savorydeal-Caller"
	Key        = "Idempotency-Key"
	KeyPrefix  = "Savorydeal-Key-Prefix"
	RetryAfter = "Retry-After"

	// KeyPrefixPath is the path on which a GET returns only a prefix for
	// idempotency keys.
	KeyPrefixPath = "/.well-known/savorydeal/key_prefix"

	reservedPrefix = "Savorydeal-"
)

// EndToEnd returns the headers that a node forwards: all but the hop-by-hop
// headers, the idempotency key and those with the prefix Savorydeal-. Names
// must be in canonical form.
func EndToEnd(header http.Header) []savorydeal.Header {
	forwarded := make([]savorydeal.Header, 0, len(header))
	for name, values := range header {
		if strings.HasPrefix(name, reservedPrefix) || name == Key || hopByHop(name) {
			continue
		}
		for _, value := range values {
			forwarded = append(forwarded, savorydeal.Header{Name: name, Value: value})
		}
	}
	return forwarded
}

// hopByHop reports whether a header, named in canonical form, applies to a
// single connection.
func hopByHop(name string) bool {
	switch name {
	case "Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
		"Te", "Trailer", "Transfer-Encoding", "Upgrade":
		return true
	}
	return false
}
