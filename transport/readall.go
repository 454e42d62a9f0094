package transport

import (
	"fmt"
	"io"
	"time"

	"github.com/pkg/errors"
)

// ErrTooLong is returned for a body that is longer than its reader accepts.
var ErrTooLong = errors.New("body is too long")

// ReadAll reads from r until its end. A read has no limit of its time as long as bytes
// arrive: ReadAll calls cancel, which must end a read that waits, when none has arrived for
// the time idle. The error wraps ErrTooLong if there are more bytes than most.
func ReadAll(r io.Reader, most int, idle time.Duration, cancel func()) ([]byte, error) {
	t := time.AfterFunc(idle, cancel)
	defer t.Stop()
	var out []byte
	for {
		if len(out) == cap(out) {
			out = append(out, make([]byte, max(512, len(out)))...)[:len(out)]
		}
		n, err := r.Read(out[len(out):cap(out)])
		out = out[:len(out)+n]
		switch {
		case len(out) > most:
			return nil, fmt.Errorf("read body of over %d bytes: %w", most, ErrTooLong)
		case err == io.EOF:
			return out, nil
		case err != nil:
			return nil, fmt.Errorf("read body after %d bytes: %w", len(out), err)
		}
		if n > 0 {
			t.Reset(idle)
		}
	}
}
