package sdkeepalive

import (
	"fmt"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// Offsets and masks of the TCP header, where the filter of a listening socket
// begins to read.
const (
	tcpFlagsOffset = 13
	tcpFlagSYN     = 0x02
	keepPacket     = 0xffff
)

// stopHandshakes lets the kernel drop the first packet of new connections,
// while handshakes under way still complete. A caller whose packet is dropped
// sends it again after a second and is refused by the closed port, before it
// has sent a byte of a request.
func stopHandshakes(listener net.Listener) error {
	source, ok := listener.(syscall.Conn)
	if !ok {
		return fmt.Errorf("stop handshakes: %T has no socket", listener)
	}
	control, err := source.SyscallConn()
	if err != nil {
		return fmt.Errorf("stop handshakes: %w", err)
	}
	filter := []unix.SockFilter{
		{Code: unix.BPF_LD | unix.BPF_B | unix.BPF_ABS, K: tcpFlagsOffset},
		{Code: unix.BPF_JMP | unix.BPF_JSET | unix.BPF_K, K: tcpFlagSYN, Jt: 0, Jf: 1},
		{Code: unix.BPF_RET | unix.BPF_K, K: 0},
		{Code: unix.BPF_RET | unix.BPF_K, K: keepPacket},
	}
	program := &unix.SockFprog{Len: uint16(len(filter)), Filter: &filter[0]}
	controlErr := control.Control(func(fd uintptr) {
		err = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, program)
	})
	if controlErr != nil {
		return fmt.Errorf("stop handshakes: %w", controlErr)
	}
	if err != nil {
		return fmt.Errorf("stop handshakes: %w", err)
	}
	return nil
}
