package sdhttp

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

// applyKeepAlive lowers the idle timeout to a share of the one in the server's
// Keep-Alive header.
func (c *clientConn) applyKeepAlive(header http.Header) {
	for _, part := range strings.Split(header.Get("Keep-Alive"), ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(part), "=")
		if !ok || name != "timeout" {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil && seconds > 0 {
			c.idleTimeout = min(c.idleTimeout, time.Duration(float64(seconds)*keepAliveShare*float64(time.Second)))
		}
	}
}

// keepAliveShare is the part of the server's idle timeout after which a
// connection is no longer used, so that a request is not sent while the server
// closes it.
const keepAliveShare = 0.7
