//go:build !linux

package sdkeepalive

import (
	"errors"
	"net"
)

// stopHandshakes returns an error, since it is implemented on Linux only. On
// other systems, connections that are established between the last accept and
// the close of the listener are reset.
func stopHandshakes(net.Listener) error {
	return errors.New("stop handshakes: only supported on Linux")
}
