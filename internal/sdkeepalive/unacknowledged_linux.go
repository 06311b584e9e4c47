package sdkeepalive

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// unacknowledged returns the number of bytes that the peer's kernel has not
// acknowledged, 0 if that is not known.
func unacknowledged(raw net.Conn) int {
	source, ok := raw.(syscall.Conn)
	if !ok {
		return 0
	}
	control, err := source.SyscallConn()
	if err != nil {
		return 0
	}
	left := 0
	err = control.Control(func(fd uintptr) {
		left, err = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ)
	})
	if err != nil {
		return 0
	}
	return left
}
