package encoder

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"sync"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"
)

// MaxMessage is the maximum length of an encoded message in bytes.
const MaxMessage = 8 << 20

const bufferSize = 4 << 10 // bytes

// ErrTooLong is returned for a message that is longer than MaxMessage.
var ErrTooLong = errors.New("message too long")

// Stream reads and writes messages on a byte stream. One goroutine may read while
// another one writes, but reads must not be concurrent, and neither must writes.
type Stream struct {
	c   io.ReadWriteCloser
	r   *bufio.Reader
	buf []byte // buffer for an encoded message, reused by every Read
}

// New returns a Stream that reads from and writes to c.
func New(c io.ReadWriteCloser) *Stream {
	return &Stream{c: c, r: bufio.NewReaderSize(c, bufferSize)}
}

// Close closes the underlying byte stream.
func (s *Stream) Close() error { return s.c.Close() }

// buffers holds buffers for encoding messages.
var buffers = sync.Pool{New: func() any { b := make([]byte, 0, bufferSize); return &b }}

// Write writes one message, with a single write to the underlying byte stream. The
// error wraps ErrTooLong if the message is longer than MaxMessage.
func (s *Stream) Write(m proto.Message) error {
	p := buffers.Get().(*[]byte)
	defer buffers.Put(p)
	n := proto.Size(m)
	if n > MaxMessage {
		return fmt.Errorf("encode %d bytes: %w", n, ErrTooLong)
	}
	b := binary.AppendUvarint((*p)[:0], uint64(n))
	b, err := proto.MarshalOptions{UseCachedSize: true}.MarshalAppend(b, m)
	if err != nil {
		return fmt.Errorf("encode message: %w", err)
	}
	*p = b
	if _, err := s.c.Write(b); err != nil {
		return fmt.Errorf("write message: %w", err)
	}
	return nil
}

// Read reads one message into m. The error wraps io.EOF only if the stream ends
// between two messages, and ErrTooLong if the message is longer than MaxMessage.
func (s *Stream) Read(m proto.Message) error {
	n, err := binary.ReadUvarint(s.r)
	if err != nil {
		return fmt.Errorf("read length: %w", err)
	}
	if n > MaxMessage {
		return fmt.Errorf("read %d bytes: %w", n, ErrTooLong)
	}
	if uint64(cap(s.buf)) < n {
		s.buf = make([]byte, n)
	}
	b := s.buf[:n]
	if _, err := io.ReadFull(s.r, b); err != nil {
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		return fmt.Errorf("read message: %w", err)
	}
	if err := proto.Unmarshal(b, m); err != nil {
		return fmt.Errorf("decode message: %w", err)
	}
	return nil
}

// Buffered returns the number of received bytes that can be read without blocking.
func (s *Stream) Buffered() int { return s.r.Buffered() }
