//go:build !linux

package sdkeepalive

import "net"

// unacknowledgedBytes is only implemented on Linux; elsewhere it returns 0.
func unacknowledgedBytes(net.Conn) int {
	return 0
}
