package gateway

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"time"

	"radishspoke"
	"radishspoke/transport"
)

// maxReplayBody is the length, in bytes, below which a body is read completely
// before the request is dispatched, so that the request can be sent again.
const maxReplayBody = 64 << 10

// unforwardedHeaders are the headers that are not passed on: the hop-by-hop
// headers, and the headers that the gateway itself handles.
var unforwardedHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Proxy-Connection", DeadlineHeader, PriorityHeader,
}

// serveCall serves a request on a service route. It passes the request and the
// response on while they are received, except that a body shorter than maxReplayBody
// is read completely first.
func (g *Gateway) serveCall(w http.ResponseWriter, r *http.Request, q *radishspoke.Request) {
	c := &radishspoke.Call{Method: r.Method, Path: r.URL.RequestURI(), Header: r.Header.Clone()}
	for _, h := range unforwardedHeaders {
		delete(c.Header, h)
	}
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(g.settings.BodyTimeout))
	body := http.MaxBytesReader(w, r.Body, g.settings.MaxBody)
	prefix, err := io.ReadAll(io.LimitReader(body, maxReplayBody))
	if err != nil {
		w.Header().Set("Connection", "close")
		writeFailure(w, q.ID, badRequest(http.StatusBadRequest, "body_not_read", "body", "was not received whole: "+err.Error()))
		return
	}
	if len(prefix) < maxReplayBody {
		c.Replay = prefix
		_ = control.SetReadDeadline(time.Time{})
	} else {
		c.Body = io.MultiReader(bytes.NewReader(prefix), &deadlineReader{r: body, control: control})
	}
	q.Call = c
	q.Claim = newClaim(q, r.Header.Get(IdempotencyHeader), c, prefix)
	s := &callSink{w: w, control: control, id: q.ID, timeout: g.settings.WriteTimeout}
	err = g.dispatch(r.Context(), q, s)
	switch {
	case err == nil:
	case !s.started:
		g.fail(w, r, q, err)
	default:
		transport.Abort(w, r)
	}
}

// newClaim returns the claim of a request with an idempotency key. It returns nil
// if there is no key or the route is idempotent. Two requests have the same
// fingerprint if their methods, paths and first maxReplayBody bytes are equal.
func newClaim(q *radishspoke.Request, key string, c *radishspoke.Call, prefix []byte) *radishspoke.Claim {
	if key == "" || q.Route.Idempotent {
		return nil
	}
	return &radishspoke.Claim{
		Key:         hashParts(q.Team, q.Route.Name, key),
		Fingerprint: hashParts(c.Method, c.Path, string(prefix)),
	}
}

// hashParts returns the SHA-256 hash of parts in hexadecimal. Each part is hashed
// with its length, so that different lists never give the same hash input.
func hashParts(parts ...string) string {
	h := sha256.New()
	for _, p := range parts {
		_, _ = fmt.Fprintf(h, "%d:%s", len(p), p)
	}
	return hex.EncodeToString(h.Sum(nil))
}

// deadlineReader reads a request body and clears the read deadline of the
// connection at its end. Otherwise the server would cancel the request when the
// deadline passes.
type deadlineReader struct {
	r       io.Reader
	control *http.ResponseController
}

func (d *deadlineReader) Read(p []byte) (int, error) {
	n, err := d.r.Read(p)
	if err == io.EOF {
		_ = d.control.SetReadDeadline(time.Time{})
	}
	return n, err
}

// callSink writes the response of a service to the caller.
type callSink struct {
	w       http.ResponseWriter
	control *http.ResponseController
	id      string        // of the request
	timeout time.Duration // of each write
	started bool          // whether the headers have been written
}

// Head implements radishspoke.Sink.
func (s *callSink) Head(status int, header map[string][]string) error {
	s.started = true
	h := s.w.Header()
	for name, values := range header {
		h[name] = values
	}
	for _, name := range unforwardedHeaders {
		h.Del(name)
	}
	h.Set(RequestHeader, s.id)
	h.Set(OutcomeHeader, string(radishspoke.OutcomeRun))
	s.w.WriteHeader(status)
	return nil
}

// Tokens implements radishspoke.Sink. It is not called on service routes.
func (s *callSink) Tokens([]string) error { return nil }

// Data implements radishspoke.Sink.
func (s *callSink) Data(b []byte) error {
	_ = s.control.SetWriteDeadline(time.Now().Add(s.timeout))
	if _, err := s.w.Write(b); err != nil {
		return fmt.Errorf("write answer: %w", err)
	}
	if err := s.control.Flush(); err != nil {
		return fmt.Errorf("flush answer: %w", err)
	}
	return nil
}

// End implements radishspoke.Sink.
func (s *callSink) End(radishspoke.End) error {
	_ = s.control.SetWriteDeadline(time.Time{})
	return nil
}
