package sdhttp

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
)

var buffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// maxPooledBytes is the capacity of the largest buffer that is returned to the
// pool, and the size of the buffer with which bodies are streamed.
const maxPooledBytes = 64 << 10

func putBuffer(b *bytes.Buffer) {
	if b.Cap() <= maxPooledBytes {
		b.Reset()
		buffers.Put(b)
	}
}

// isConnectionHeader reports whether a header must not be forwarded, because it
// applies to a single connection or frames the message.
func isConnectionHeader(name string) bool {
	switch name {
	case "Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length":
		return true
	}
	return false
}

func writeHeaders(b *bytes.Buffer, header http.Header) {
	for name, values := range header {
		if isConnectionHeader(name) {
			continue
		}
		for _, value := range values {
			b.WriteString(name)
			b.WriteString(": ")
			b.WriteString(value)
			b.WriteString("\r\n")
		}
	}
}

func hasNoBody(status int) bool {
	return status < http.StatusOK || status == http.StatusNoContent || status == http.StatusNotModified
}

// errUnframed is the error of an answer of unknown length to an HTTP/1.0
// caller: without chunked encoding a truncated answer would look complete.
var errUnframed = errors.New("answer of unknown length cannot be sent to an HTTP/1.0 caller")

// writeResponse writes an answer. After an error the connection must be closed. begun is called
// when the beginning of a streamed answer is written and no longer held.
func writeResponse(conn net.Conn, ex *exchange, closeConn bool, begun func()) error {
	response := ex.response
	b := buffers.Get().(*bytes.Buffer)
	defer putBuffer(b)
	b.WriteString("HTTP/1.1 ")
	b.WriteString(strconv.Itoa(response.Status))
	b.WriteByte(' ')
	b.WriteString(http.StatusText(response.Status))
	b.WriteString("\r\n")
	writeHeaders(b, response.Header)
	if closeConn {
		b.WriteString("Connection: close\r\n")
	}
	chunked := response.Remainder != nil && response.RemainderBytes < 0
	switch {
	case hasNoBody(response.Status):
	case chunked && ex.http10:
		_ = response.Remainder.Close()
		return errUnframed
	case chunked:
		b.WriteString("Transfer-Encoding: chunked\r\n")
	default:
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.FormatInt(int64(len(response.Body))+max(0, response.RemainderBytes), 10))
		b.WriteString("\r\n")
	}
	b.WriteString("\r\n")
	if ex.headMethod || hasNoBody(response.Status) {
		if response.Remainder != nil {
			_ = response.Remainder.Close()
		}
		_, err := conn.Write(b.Bytes())
		return err
	}
	if response.Remainder != nil {
		defer response.Remainder.Close()
		return writeStream(conn, b, response, chunked, begun)
	}
	if len(response.Body) > freeBodyBytes {
		if _, err := conn.Write(b.Bytes()); err != nil {
			return err
		}
		_, err := conn.Write(response.Body)
		return err
	}
	b.Write(response.Body)
	_, err := conn.Write(b.Bytes())
	return err
}

// streamBytes is the size of the buffer with which a body is streamed: there is one for each
// client that reads a large answer slowly.
const streamBytes = 16 << 10

// writeStream writes the header section and then the body as it is received.
// After an error the body lacks its end, so that the caller sees it is
// incomplete.
func writeStream(conn net.Conn, header *bytes.Buffer, response *Response, chunked bool, begun func()) error {
	if _, err := conn.Write(header.Bytes()); err != nil {
		return err
	}
	write := func(data []byte) error {
		if !chunked {
			_, err := conn.Write(data)
			return err
		}
		for len(data) > 0 { // an empty chunk would end the body
			n := min(len(data), streamBytes)
			if err := writeChunk(conn, data[:n]); err != nil {
				return err
			}
			data = data[n:]
		}
		return nil
	}
	if err := write(response.Body); err != nil {
		return err
	}
	response.Body = nil
	begun()
	left := response.RemainderBytes
	data := make([]byte, streamBytes)
	for chunked || left > 0 {
		size := int64(len(data))
		if !chunked {
			size = min(size, left)
		}
		n, err := response.Remainder.Read(data[:size])
		left -= int64(n)
		if writeErr := write(data[:n]); writeErr != nil {
			return writeErr
		}
		switch {
		case errors.Is(err, io.EOF) && chunked:
			_, err = io.WriteString(conn, "0\r\n\r\n")
			return err
		case errors.Is(err, io.EOF) && left > 0:
			return io.ErrUnexpectedEOF
		case err != nil && !errors.Is(err, io.EOF):
			return err
		}
	}
	return nil
}

func writeChunk(conn net.Conn, data []byte) error {
	chunk := make([]byte, 0, len(data)+16)
	chunk = strconv.AppendInt(chunk, int64(len(data)), 16)
	chunk = append(chunk, "\r\n"...)
	chunk = append(chunk, data...)
	chunk = append(chunk, "\r\n"...)
	_, err := conn.Write(chunk)
	return err
}

// writeRequestHead appends the head of a request to b.
func writeRequestHead(b *bytes.Buffer, request *Request) {
	b.WriteString(request.Method)
	b.WriteByte(' ')
	b.WriteString(request.Target)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(request.Host)
	b.WriteString("\r\n")
	writeHeaders(b, request.Header)
	if len(request.Body) > 0 || request.Method == http.MethodPost || request.Method == http.MethodPut {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(len(request.Body)))
		b.WriteString("\r\n")
	}
	b.WriteString("\r\n")
}
