package sdkeepalive

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// unacknowledgedBytes returns the number of written bytes that the peer's
// kernel has not acknowledged, 0 if it cannot be determined.
func unacknowledgedBytes(netConn net.Conn) int {
	socket, ok := netConn.(syscall.Conn)
	if !ok {
		return 0
	}
	rawConn, err := socket.SyscallConn()
	if err != nil {
		return 0
	}
	unacked := 0
	err = rawConn.Control(func(fd uintptr) {
		unacked, err = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ)
	})
	if err != nil {
		return 0
	}
	return unacked
}
