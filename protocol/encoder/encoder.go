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

// MaxMessage is the longest message, in bytes.
const MaxMessage = 8 << 20

const readBuffer = 4 << 10 // bytes

// ErrTooLong says that a message is longer than MaxMessage.
var ErrTooLong = errors.New("message too long")

// Stream reads and writes messages. Reads and writes may go on at once, but
// each from one goroutine only.
type Stream struct {
	c  io.ReadWriteCloser
	r  *bufio.Reader
	in []byte
}

// New returns a Stream on c.
func New(c io.ReadWriteCloser) *Stream {
	return &Stream{c: c, r: bufio.NewReaderSize(c, readBuffer)}
}

// Close closes the underlying stream.
func (s *Stream) Close() error { return s.c.Close() }

var buffers = sync.Pool{New: func() any { b := make([]byte, 0, readBuffer); return &b }}

// Write sends one message with a single write.
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

// Read receives one message into m. The error wraps io.EOF only when the
// stream ends between two messages.
func (s *Stream) Read(m proto.Message) error {
	n, err := binary.ReadUvarint(s.r)
	if err != nil {
		return fmt.Errorf("read length: %w", err)
	}
	if n > MaxMessage {
		return fmt.Errorf("read %d bytes: %w", n, ErrTooLong)
	}
	if uint64(cap(s.in)) < n {
		s.in = make([]byte, n)
	}
	b := s.in[:n]
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

// Buffered tells how many bytes can be read without blocking.
func (s *Stream) Buffered() int { return s.r.Buffered() }
