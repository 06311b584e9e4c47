//go:build !linux

package sdkeepalive

import (
	"errors"
	"net"
)

// stopHandshakes is not possible here: connections that complete between the
// last accept and the close of the listener are reset.
func stopHandshakes(net.Listener) error {
	return errors.New("stop handshakes: not supported on this system")
}
