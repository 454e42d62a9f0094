package transport

import (
	"fmt"
	"io"
	"time"

	"github.com/pkg/errors"
)

// Errors returned by ReadAll.
var (
	// ErrTooLong is returned for a body that is longer than its reader accepts.
	ErrTooLong = errors.New("body is too long")

	// ErrOtherLongBody is returned for a long body while another one is being read.
	ErrOtherLongBody = errors.New("another long body is being read")
)

// LongBodies lets one body of more than a number of bytes be read at a time, so that senders of
// bytes without end can't together fill the memory. Create it with NewLongBodies. It may be
// used concurrently.
type LongBodies struct {
	above int // bytes
	slot  chan struct{}
}

// NewLongBodies returns a LongBodies for bodies of more than the given number of bytes.
func NewLongBodies(above int) *LongBodies {
	return &LongBodies{above: above, slot: make(chan struct{}, 1)}
}

// ReadOptions holds the parameters of ReadAll.
type ReadOptions struct {
	Most int           // maximum length of the body in bytes
	Idle time.Duration // time in which at least one byte must arrive
	Long *LongBodies   // bound of bodies that are read at a time; none if nil
}

// ReadAll reads from r until its end. A read has no limit of its time as long as bytes
// arrive: ReadAll calls cancel, which must end a read that waits, when none has arrived for
// the time o.Idle. The error wraps ErrTooLong if there are more bytes than o.Most, and
// ErrOtherLongBody if the body is long and another one is still being read after o.Idle.
func ReadAll(r io.Reader, o ReadOptions, cancel func()) ([]byte, error) {
	t := time.AfterFunc(o.Idle, cancel)
	defer t.Stop()
	var out []byte
	long := false
	for {
		if len(out) == cap(out) {
			size := min(max(512, 2*cap(out)), o.Most+1)
			if o.Long != nil && !long && size > o.Long.above {
				t.Stop()
				select {
				case o.Long.slot <- struct{}{}:
				case <-time.After(o.Idle):
					return nil, fmt.Errorf("read body of over %d bytes: %w", len(out), ErrOtherLongBody)
				}
				defer func() { <-o.Long.slot }()
				long = true
				t.Reset(o.Idle)
			}
			out = append(make([]byte, 0, size), out...)
		}
		n, err := r.Read(out[len(out):cap(out)])
		out = out[:len(out)+n]
		switch {
		case len(out) > o.Most:
			return nil, fmt.Errorf("read body of over %d bytes: %w", o.Most, ErrTooLong)
		case err == io.EOF:
			return out, nil
		case err != nil:
			return nil, fmt.Errorf("read body after %d bytes: %w", len(out), err)
		}
		if n > 0 {
			t.Reset(o.Idle)
		}
	}
}
