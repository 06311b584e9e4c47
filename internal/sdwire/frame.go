// Package sdwire implements the protocol between nodes: length-delimited protobuf
// messages on yamux streams. It reads and writes the messages and converts domain
// types to wire types and back. Unknown fields are ignored, so that nodes of two
// versions can run side by side.
package sdwire

import (
	"bufio"
	"fmt"
	"io"

	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"
)

const (
	// ProtocolVersion is the version of the messages that this node sends.
	ProtocolVersion = 1
	// OldestProtocolVersion is the oldest version that this node can read.
	OldestProtocolVersion = 1
	// MaxMessageBytes is the size limit of a received message. Reading a larger
	// one fails, which ends the stream.
	MaxMessageBytes = 1 << 20
	// BodyChunkBytes is the largest body chunk in one message.
	BodyChunkBytes = 32 << 10

	bufferBytes = 2 << 10
)

// Conn reads and writes messages on one stream. At most one goroutine may read and
// at most one may write at a time.
type Conn struct {
	reader *bufio.Reader
	writer *bufio.Writer
	stream io.ReadWriteCloser
}

// NewConn returns a Conn on a stream.
func NewConn(stream io.ReadWriteCloser) *Conn {
	return &Conn{
		reader: bufio.NewReaderSize(stream, bufferBytes),
		writer: bufio.NewWriterSize(stream, bufferBytes),
		stream: stream,
	}
}

// Write adds one message to the write buffer, which is sent when it is full or by
// Flush.
func (c *Conn) Write(message proto.Message) error {
	if _, err := protodelim.MarshalTo(c.writer, message); err != nil {
		return fmt.Errorf("write message: %w", err)
	}
	return nil
}

// Flush sends the buffered messages.
func (c *Conn) Flush() error {
	if err := c.writer.Flush(); err != nil {
		return fmt.Errorf("flush messages: %w", err)
	}
	return nil
}

// Send writes one message and flushes the buffer.
func (c *Conn) Send(message proto.Message) error {
	if err := c.Write(message); err != nil {
		return err
	}
	return c.Flush()
}

// Read reads the next message into message. If the stream ends between two
// messages, the error wraps io.EOF.
func (c *Conn) Read(message proto.Message) error {
	options := protodelim.UnmarshalOptions{MaxSize: MaxMessageBytes}
	if err := options.UnmarshalFrom(c.reader, message); err != nil {
		return fmt.Errorf("read message: %w", err)
	}
	return nil
}

// Close closes the stream.
func (c *Conn) Close() error {
	return c.stream.Close()
}
