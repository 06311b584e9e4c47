//go:build !linux

package sdkeepalive

import "net"

// unacknowledged is not known here.
func unacknowledged(net.Conn) int {
	return 0
}
