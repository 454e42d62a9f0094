package fleetdispatcher

import (
	"fmt"

	"github.com/pkg/errors"

	"radishspoke/transport/budgeter"
)

const (
	// maxEventBytes is the maximum length of an event. Events hold a few tokens.
	maxEventBytes = 256 << 10

	// freeEventBytes is the first capacity of an eventBuffer. It is not charged.
	freeEventBytes = 4 << 10
)

// errEventTooLong is returned for a stream with an event that does not end.
var errEventTooLong = errors.New("event of the stream is too long")

// eventBuffer holds the part of a stream that is not forwarded yet, because its last event has
// not ended. Long parts are charged to the connection of the caller, so that many streams
// with an event that does not end can't together fill the memory.
type eventBuffer struct {
	data    []byte
	conn    *budgeter.Conn // may be nil
	charged int64
}

// append adds bytes. The error wraps errEventTooLong or budgeter.ErrFull.
func (b *eventBuffer) append(p []byte) error {
	length := len(b.data) + len(p)
	if length > maxEventBytes {
		return errEventTooLong
	}
	if length > cap(b.data) {
		size := max(freeEventBytes, min(2*cap(b.data), maxEventBytes), length)
		if size > freeEventBytes {
			if !b.conn.TryCharge(int64(size)) {
				return fmt.Errorf("read event of over %d bytes: %w", len(b.data), budgeter.ErrFull)
			}
			b.conn.Credit(b.charged)
			b.charged = int64(size)
		}
		b.data = append(make([]byte, 0, size), b.data...)
	}
	b.data = append(b.data, p...)
	return nil
}

// drop removes the first n bytes. A long buffer that is empty then is released.
func (b *eventBuffer) drop(n int) {
	b.data = append(b.data[:0], b.data[n:]...)
	if len(b.data) == 0 && b.charged > 0 {
		b.release()
	}
}

// release releases the buffer.
func (b *eventBuffer) release() {
	b.conn.Credit(b.charged)
	b.data, b.charged = nil, 0
}
