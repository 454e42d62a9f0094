package fleetdispatcher

import (
	"io"
	"net"
	"net/http"
	"testing"
	"testing/iotest"
	"testing/synctest"

	qt "github.com/frankban/quicktest"

	"radishspoke"
	"radishspoke/platform"
)

// counter is a response writer that counts the bytes of the body.
type counter struct {
	header http.Header
	body   int64 // bytes
}

func (w *counter) Header() http.Header { return w.header }
func (w *counter) WriteHeader(int)     {}
func (w *counter) Write(b []byte) (int, error) {
	w.body += int64(len(b))
	return len(b), nil
}

// aheadReader is a long body, which fails the test if much more of it is read than was
// written to w.
type aheadReader struct {
	c    *qt.C
	w    *counter
	read int64
}

// Read implements io.Reader.
func (r *aheadReader) Read(p []byte) (int, error) {
	r.read += int64(len(p))
	r.c.Assert(r.read-r.w.body <= 2*maxBuffered, qt.IsTrue, qt.Commentf("%d bytes read, %d written", r.read, r.w.body))
	return len(p), nil
}

// TestLongAnswer checks that a body of more than 64 MiB is passed on as it arrives, and that
// one that is cut then is not ended as whole.
func TestLongAnswer(t *testing.T) {
	const length = 64<<20 + 1 // bytes
	for _, end := range []error{nil, io.ErrUnexpectedEOF} {
		c := qt.New(t)
		w := &counter{header: http.Header{}}
		body := io.LimitReader(&aheadReader{c: c, w: w}, length)
		if end != nil {
			body = io.MultiReader(body, iotest.ErrReader(end))
		}
		aw := &answerWriter{w: w}
		err := aw.copyAnswer(http.StatusOK, http.Header{}, body)
		c.Assert(err, qt.ErrorIs, end)
		c.Assert(aw.started, qt.IsTrue)
		c.Assert(w.body, qt.Equals, int64(length))
	}
}

// TestFailureOfTargetIsPassedOn guards against answers of targets that are replaced by a failure
// of this process, because no other target takes the request.
func TestFailureOfTargetIsPassedOn(t *testing.T) {
	fail := func(conn net.Conn, r *http.Request) {
		writeStatus(conn, r, platform.AnswerHeader{Stamped: true}, "500 Failed\r\nContent-Length: 4")
		_, _ = io.WriteString(conn, "mine")
	}
	for _, role := range []radishspoke.Role{"", radishspoke.DecodeRole} {
		for name, other := range map[string]answerFunc{"does not listen": nil, "refuses": writeRefusal, "fails": fail} {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				for seed := range uint64(10) {
					n := &memoryNetwork{targets: map[string]answerFunc{"a:1": fail, "b:1": other}}
					w, aborted := serveOnce(c, newSilenceDispatcher(n, role, 9, seed), n, shortPrompt)
					comment := qt.Commentf("role %q, the other target %s; sent to %v", role, name, n.requests())
					c.Check(aborted, qt.IsFalse, comment)
					c.Assert(w.Code, qt.Equals, http.StatusInternalServerError, comment)
					c.Assert(w.Body.String(), qt.Equals, "mine", comment)
				}
			})
		}
	}
}
