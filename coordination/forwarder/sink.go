package forwarder

import (
	"bytes"
	"fmt"
	"io"
	"net/http"

	"github.com/pkg/errors"

	"radishspoke/platform"
)

// sink is a caller's side of an answer.
type sink struct {
	w       http.ResponseWriter
	status  int
	started bool // the status has been sent
}

// head sends the status and headers of a target's answer.
func (s *sink) head(status int, h http.Header) {
	out := s.w.Header()
	for k, v := range platform.Returned(h) {
		out[k] = v
	}
	if _, ok := out["Content-Type"]; !ok {
		out["Content-Type"] = nil // keeps the server from guessing one
	}
	s.status, s.started = status, true
	s.w.WriteHeader(status)
}

// write sends a part of the body at once.
func (s *sink) write(b []byte) error {
	if _, err := s.w.Write(b); err != nil {
		return fmt.Errorf("write to the caller: %w", err)
	}
	if err := http.NewResponseController(s.w).Flush(); err != nil {
		return fmt.Errorf("flush to the caller: %w", err)
	}
	return nil
}

const (
	// mostHeld is how much of an answer is held back until it is whole, in
	// bytes; longer ones are passed on as they come.
	mostHeld = 1 << 20

	copyBuffer = 32 << 10 // bytes
)

// whole passes on an answer. Nothing is sent to the caller before the answer
// is whole, unless it is long. The error is of the target's side.
func (s *sink) whole(status int, h http.Header, body io.Reader) error {
	var held bytes.Buffer
	_, err := io.CopyN(&held, body, mostHeld)
	if err != nil && !errors.Is(err, io.EOF) {
		return fmt.Errorf("read answer: %w", err)
	}
	s.head(status, h)
	_, _ = s.w.Write(held.Bytes()) // a caller who has left ends the context
	if err != nil {
		return nil
	}
	if _, err := io.CopyBuffer(s.w, body, make([]byte, copyBuffer)); err != nil {
		return fmt.Errorf("pass answer on: %w", err)
	}
	return nil
}

// readBody reads a body of a size that may be known.
func readBody(r io.Reader, size int64) ([]byte, error) {
	var b bytes.Buffer
	if size > 0 {
		b.Grow(int(size) + bytes.MinRead)
	}
	if _, err := b.ReadFrom(r); err != nil {
		return nil, fmt.Errorf("read body: %w", err)
	}
	return b.Bytes(), nil
}
