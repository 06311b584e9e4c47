package sdstandcrowd

import (
	"context"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"time"
)

const (
	// smallReceiveBytes is the receive buffer of clients that read slowly or not at all.
	smallReceiveBytes = 4 << 10
	pieceBytes        = 1 << 10
	// overBytes is what clients send of a body that is far over the limit.
	overBytes = 8 << 20
	// trickleInterval is the time between two bytes.
	trickleInterval = 20 * time.Millisecond
)

// ManyFields returns clients that send requests one behind the other, each with a head
// of headBytes at most that consists of short fields. Every second client repeats one
// name, the others send a different name in each field.
func (r Request) ManyFields(headBytes, requests int) Client {
	return func(_ context.Context, conn net.Conn, client int) {
		for number := range requests {
			if _, err := io.WriteString(conn, r.manyFields(headBytes, client, number)); err != nil {
				return
			}
		}
	}
}

func (r Request) manyFields(headBytes, client, number int) string {
	const nameRadix, firstName = 36, 36 * 36
	var head strings.Builder
	head.WriteString(r.head("GET", client, number))
	for i := int64(firstName); ; i++ {
		field := "x:\r\n"
		if client%2 == 0 {
			field = strconv.FormatInt(i, nameRadix) + ":\r\n"
		}
		if head.Len()+len(field)+len("\r\n") > headBytes {
			break
		}
		head.WriteString(field)
	}
	head.WriteString("\r\n")
	return head.String()
}

// Bodies returns clients that send bodies: one third all but the last byte of a body of
// bodyBytes in one piece, one third the same in small chunks, one third a body that is
// far over the limit.
func (r Request) Bodies(bodyBytes int) Client {
	piece := strings.Repeat("x", pieceBytes)
	body := strings.Repeat("x", bodyBytes)
	return func(_ context.Context, conn net.Conn, client int) {
		head := r.head("POST", client, 0)
		switch client % 3 {
		case 0:
			_, _ = io.WriteString(conn, head+fmt.Sprintf("Content-Length: %d\r\n\r\n", bodyBytes)+body[1:])
		case 1:
			_, err := io.WriteString(conn, head+"Transfer-Encoding: chunked\r\n\r\n")
			for sent := pieceBytes; err == nil && sent < bodyBytes; sent += pieceBytes {
				_, err = fmt.Fprintf(conn, "%x\r\n%s\r\n", pieceBytes, piece)
			}
		default:
			_, err := io.WriteString(conn, head+"Transfer-Encoding: chunked\r\n\r\n")
			for sent := 0; err == nil && sent < overBytes; sent += bodyBytes {
				_, err = fmt.Fprintf(conn, "%x\r\n%s\r\n", bodyBytes, body)
			}
		}
	}
}

// PipelinedBodies returns clients that send requests with complete bodies one behind the
// other and read nothing.
func (r Request) PipelinedBodies(bodyBytes, requests int) Client {
	body := strings.Repeat("x", bodyBytes)
	return func(_ context.Context, conn net.Conn, client int) {
		for number := range requests {
			if _, err := fmt.Fprintf(conn, "%sContent-Length: %d\r\n\r\n%s", r.head("POST", client, number), bodyBytes, body); err != nil {
				return
			}
		}
	}
}

// Pipelined returns clients that send requests one behind the other and read nothing.
func (r Request) Pipelined(requests int) Client {
	return func(_ context.Context, conn net.Conn, client int) {
		setSmallReceiveBuffer(conn)
		for number := range requests {
			if _, err := io.WriteString(conn, r.head("GET", client, number)+"\r\n"); err != nil {
				return
			}
		}
	}
}

// SlowReaders returns clients that send requests one behind the other and read the
// answers a byte at a time.
func (r Request) SlowReaders(requests int) Client {
	send := r.Pipelined(requests)
	return func(ctx context.Context, conn net.Conn, client int) {
		send(ctx, conn, client)
		var one [1]byte
		for ctx.Err() == nil {
			if _, err := conn.Read(one[:]); err != nil {
				return
			}
			time.Sleep(trickleInterval)
		}
	}
}

// Holders returns clients that hold a connection: one third sends nothing, one third half
// a head, one third a head a byte at a time.
func (r Request) Holders() Client {
	return func(ctx context.Context, conn net.Conn, client int) {
		head := r.head("GET", client, 0)
		switch client % 3 {
		case 0:
		case 1:
			_, _ = io.WriteString(conn, head)
		default:
			for i := 0; i < len(head) && ctx.Err() == nil; i++ {
				if _, err := io.WriteString(conn, head[i:i+1]); err != nil {
					return
				}
				time.Sleep(trickleInterval)
			}
		}
	}
}

func setSmallReceiveBuffer(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetReadBuffer(smallReceiveBytes)
	}
}
