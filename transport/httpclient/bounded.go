package httpclient

import (
	"io"

	"github.com/pkg/errors"
)

// errHeadTooLong is returned for a response whose head does not end.
var errHeadTooLong = errors.New("head of the response is too long")

const noLimit = -1

// boundedReader reads at most a number of bytes, if it has a limit.
type boundedReader struct {
	io.Reader
	limited bool
	left    int // bytes, if limited
}

// limit sets the number of bytes that may be read from now on; noLimit for any
// number.
func (b *boundedReader) limit(n int) { b.limited, b.left = n != noLimit, n }

// Read implements io.Reader.
func (b *boundedReader) Read(p []byte) (int, error) {
	if !b.limited {
		return b.Reader.Read(p)
	}
	if b.left <= 0 {
		return 0, errHeadTooLong
	}
	n, err := b.Reader.Read(p[:min(len(p), b.left)])
	b.left -= n
	return n, err
}
