package fleetdispatcher

import (
	"fmt"
	"io"
	"net/http"

	"github.com/pkg/errors"

	"radishspoke/platform"
	"radishspoke/transport/budgeter"
)

// answerWriter writes the answer to the caller.
type answerWriter struct {
	w       http.ResponseWriter
	status  int
	started bool // the status has been sent

	// begin is called before the head of an answer with status 200 is sent. It may be nil.
	begin func()

	// conn is the connection to which the buffers of the answer are charged, or nil.
	conn *budgeter.Conn
}

// writeHead sends the status and the headers of the answer of a target.
func (aw *answerWriter) writeHead(status int, h http.Header) {
	out := aw.w.Header()
	for k, v := range platform.ReturnedHeaders(h) {
		out[k] = v
	}
	if _, ok := out["Content-Type"]; !ok {
		out["Content-Type"] = nil // nil disables content sniffing by the server
	}
	if status == http.StatusOK && aw.begin != nil {
		aw.begin()
	}
	aw.status, aw.started = status, true
	aw.w.WriteHeader(status)
}

// writeStreamHead is like writeHead, for a stream. The length that a target announces
// is left out, because the stream may continue at another target.
func (aw *answerWriter) writeStreamHead(status int, h http.Header) {
	h = h.Clone()
	h.Del("Content-Length")
	aw.writeHead(status, h)
}

// write sends a part of the body and flushes it.
func (aw *answerWriter) write(b []byte) error {
	if _, err := aw.w.Write(b); err != nil {
		return fmt.Errorf("write to the caller: %w", err)
	}
	if err := http.NewResponseController(aw.w).Flush(); err != nil {
		return fmt.Errorf("flush to the caller: %w", err)
	}
	return nil
}

const (
	// maxBuffered is the number of bytes of an answer that are buffered before any
	// of it is sent. The rest of a longer answer is copied as it arrives.
	maxBuffered = 1 << 20

	copyBuffer = 32 << 10 // bytes
)

// copyAnswer copies an answer to the caller. It sends nothing before it has read
// the whole answer, or its first maxBuffered bytes, or as much as there is memory for. If it returns an error and
// aw.started is false, nothing was sent and another target can still be tried.
// If aw.started is true, the caller has received a part of the answer.
func (aw *answerWriter) copyAnswer(status int, h http.Header, body io.Reader) error {
	buffered, err := budgeter.ReadAhead(body, aw.conn, maxBuffered)
	if err != nil && !errors.Is(err, io.EOF) {
		return fmt.Errorf("read answer: %w", err)
	}
	aw.writeHead(status, h)
	_, _ = aw.w.Write(buffered) // a disconnected caller cancels the context
	aw.conn.Credit(int64(cap(buffered)))
	buffered = nil // it is not held while the rest is copied
	if err != nil {
		return nil
	}
	if _, err := io.CopyBuffer(aw.w, body, make([]byte, copyBuffer)); err != nil {
		return fmt.Errorf("pass answer on: %w", err)
	}
	return nil
}

// keptAnswer is the answer of a target that has failed. The caller gets it if no other target
// does better.
type keptAnswer struct {
	status int
	header http.Header
	body   []byte
}

// errLongAnswer is returned for an answer that is longer than maxBuffered.
var errLongAnswer = errors.New("answer is too long to be kept")

// keepAnswer reads an answer. The error is errLongAnswer if only the begin of it was read, or
// another one if the answer is not whole.
func (aw *answerWriter) keepAnswer(r *reply) (*keptAnswer, error) {
	body, err := budgeter.ReadAhead(r, aw.conn, maxBuffered+1)
	k := &keptAnswer{status: r.Status, header: r.Header, body: body}
	switch {
	case err == nil:
		return k, errLongAnswer
	case errors.Is(err, io.EOF):
		return k, nil
	}
	return nil, fmt.Errorf("read failure of the target: %w", err)
}

// writeKept sends a kept answer.
func (aw *answerWriter) writeKept(k *keptAnswer) {
	aw.writeHead(k.status, k.header)
	_, _ = aw.w.Write(k.body) // a disconnected caller cancels the context
}
