package eventreader

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/pkg/errors"
)

// ErrBrokenOff is returned for a stream that ends inside an event, whose connection was
// closed before the first one, or in which an HTTP response begins where an event may
// begin. It wraps io.ErrUnexpectedEOF.
var ErrBrokenOff = fmt.Errorf("stream of events was broken off: %w", io.ErrUnexpectedEOF)

// blankLines are the endings of an event: a blank line, in each form of line end.
var blankLines = [][]byte{[]byte("\n\n"), []byte("\n\r\n"), []byte("\r\r")}

// responseStart is the start of the status line of an HTTP response.
const responseStart = "HTTP/"

// maxBlankLine is the length of the longest of blankLines in bytes.
const maxBlankLine = 3

// End returns the number of bytes at the start of b that hold whole events.
func End(b []byte) int {
	end := 0
	for _, l := range blankLines {
		if i := bytes.LastIndex(b, l); i >= 0 {
			end = max(end, i+len(l))
		}
	}
	return end
}

// BeforeResponse returns the part of whole events before the first one that begins with the
// status line of an HTTP response, and false if there is none. The sender has then begun
// another response inside the stream, which belongs to no event.
func BeforeResponse(events []byte) ([]byte, bool) {
	for start := 0; start < len(events); {
		if bytes.HasPrefix(events[start:], []byte(responseStart)) {
			return events[:start], true
		}
		next := len(events)
		for _, l := range blankLines {
			if i := bytes.Index(events[start:next], l); i >= 0 {
				next = start + i + len(l)
			}
		}
		start = next
	}
	return events, false
}

// Check makes the body of a response end with ErrBrokenOff, instead of io.EOF, if
// the response is a stream of events and was broken off. The framing of the body
// does not tell: a sender that fails may still end its framing, and if there is
// none, the end of the connection is the end of the body.
func Check(r *http.Response) {
	mediaType, _, _ := strings.Cut(r.Header.Get("Content-Type"), ";")
	if r.Body == http.NoBody || !strings.EqualFold(strings.TrimSpace(mediaType), "text/event-stream") {
		return
	}
	r.Body = &reader{ReadCloser: r.Body, framed: r.ContentLength >= 0 || len(r.TransferEncoding) > 0}
}

// reader is the body of a stream of events.
type reader struct {
	io.ReadCloser
	framed bool   // the body has a length or chunks
	tail   []byte // last bytes read, at most maxBlankLine

	inside  bool // more of the current event was read than a part of responseStart
	matched int  // bytes of responseStart with which the current event begins, unless inside
	foreign bool // a response begins here
}

// Read implements io.Reader.
func (r *reader) Read(p []byte) (int, error) {
	if r.foreign {
		return 0, ErrBrokenOff
	}
	n, err := r.ReadCloser.Read(p)
	if before, found := r.beforeResponse(p[:n]); found {
		return before, ErrBrokenOff
	}
	if errors.Is(err, io.EOF) && !r.complete() {
		return n, ErrBrokenOff
	}
	return n, err
}

// beforeResponse records the bytes that were read. If a response begins in them, it
// returns the number of bytes before it. Of a response that began in earlier bytes,
// these have been returned.
func (r *reader) beforeResponse(b []byte) (int, bool) {
	for i, v := range b {
		switch {
		case r.inside:
		case v == responseStart[r.matched]:
			if r.matched++; r.matched == len(responseStart) {
				r.foreign = true
				return max(0, i+1-len(responseStart)), true
			}
		case r.matched > 0 || v != '\n' && v != '\r':
			r.inside = true
		}
		if len(r.tail) == maxBlankLine {
			r.tail = append(r.tail[:0], r.tail[1:]...)
		}
		r.tail = append(r.tail, v)
		if (v == '\n' || v == '\r') && r.inside && End(r.tail) == len(r.tail) {
			r.inside, r.matched = false, 0
		}
	}
	return 0, false
}

// complete reports whether the stream is whole if it ends here. A connection that is
// closed without an event may be that of a sender that failed.
func (r *reader) complete() bool {
	if len(r.tail) == 0 {
		return r.framed
	}
	return End(r.tail) == len(r.tail)
}
