package sdkeepalive

import (
	"fmt"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// Constants of the packet filter of a listening socket. The filter's data begins
// at the TCP header: tcpFlagsOffset is the offset of the byte that holds the
// flags. acceptPacket is the filter's result for packets that it passes.
const (
	tcpFlagsOffset = 13
	tcpFlagSYN     = 0x02
	acceptPacket   = 0xffff
)

// stopHandshakes makes the kernel drop the SYN packets of new connections,
// while handshakes that have begun still complete. A caller retransmits its
// dropped SYN after a second. By then the port is closed and refuses the
// connection, before the caller has sent a byte of a request.
func stopHandshakes(listener net.Listener) error {
	socket, ok := listener.(syscall.Conn)
	if !ok {
		return fmt.Errorf("stop handshakes: %T does not give access to its socket", listener)
	}
	rawConn, err := socket.SyscallConn()
	if err != nil {
		return fmt.Errorf("stop handshakes: %w", err)
	}
	filter := []unix.SockFilter{
		{Code: unix.BPF_LD | unix.BPF_B | unix.BPF_ABS, K: tcpFlagsOffset},
		{Code: unix.BPF_JMP | unix.BPF_JSET | unix.BPF_K, K: tcpFlagSYN, Jt: 0, Jf: 1},
		{Code: unix.BPF_RET | unix.BPF_K, K: 0},
		{Code: unix.BPF_RET | unix.BPF_K, K: acceptPacket},
	}
	program := &unix.SockFprog{Len: uint16(len(filter)), Filter: &filter[0]}
	controlErr := rawConn.Control(func(fd uintptr) {
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
