package transport

import (
	"fmt"
	"net/http"
	"regexp"

	"github.com/pkg/errors"
)

// ErrBrokenHead is returned for the head of a response inside which another response
// begins.
var ErrBrokenHead = errors.New("head of the response was broken off, and another response begins in it")

// statusLine matches the status line of an HTTP response at the end of a value. One that
// is quoted in the value is a part of the text.
var statusLine = regexp.MustCompile(`HTTP/[0-9]\.[0-9] [0-9]{3}( [^"]*)?$`)

// ErrStatus is returned for a response whose status code is below 100, which HTTP does not have.
var ErrStatus = errors.New("status code of the response is none")

// CheckHead returns ErrStatus if the status code of r is below 100, and ErrBrokenHead if another
// response begins inside the head of r. The sender has then failed after a part of the head,
// and the rest of the head and the body are those of the second response. Only the values
// of headers and the reason are looked at, because a status line elsewhere makes the head malformed.
func CheckHead(r *http.Response) error {
	if r.StatusCode < http.StatusContinue {
		return fmt.Errorf("status code %d: %w", r.StatusCode, ErrStatus)
	}
	if statusLine.MatchString(r.Status) {
		return ErrBrokenHead
	}
	for _, values := range r.Header {
		for _, v := range values {
			if statusLine.MatchString(v) {
				return ErrBrokenHead
			}
		}
	}
	return nil
}
