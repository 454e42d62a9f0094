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
)

// replayLimit is the longest body, in bytes, that is read whole before the
// request starts, so that it can be sent again.
const replayLimit = 64 << 10

// hopHeaders concern one connection only and are not passed on.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Proxy-Connection", DeadlineHeader, PriorityHeader,
}

// serveCall passes a request to a plain service.
func (g *Gateway) serveCall(w http.ResponseWriter, r *http.Request, q *radishspoke.Request) {
	c := &radishspoke.Call{Method: r.Method, Path: r.URL.RequestURI(), Header: r.Header.Clone()}
	for _, h := range hopHeaders {
		delete(c.Header, h)
	}
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(g.settings.BodyTimeout))
	body := http.MaxBytesReader(w, r.Body, g.settings.MaxBody)
	start, err := io.ReadAll(io.LimitReader(body, replayLimit))
	if err != nil {
		w.Header().Set("Connection", "close")
		writeFailure(w, q.ID, badRequest(http.StatusBadRequest, "body_not_read", "body", "was not received whole: "+err.Error()))
		return
	}
	if len(start) < replayLimit {
		c.Replay = start
		_ = control.SetReadDeadline(time.Time{})
	} else {
		c.Body = io.MultiReader(bytes.NewReader(start), &timedBody{r: body, control: control})
	}
	q.Call = c
	q.Claim = claimOf(q, r.Header.Get(IdempotencyHeader), c, start)
	s := &callSink{w: w, control: control, id: q.ID, timeout: g.settings.WriteTimeout}
	err = g.dispatch(r.Context(), q, s)
	switch {
	case err == nil:
	case !s.started:
		g.fail(w, r, q, err)
	default:
		// The answer is cut so that it can't be taken for a whole one.
		panic(http.ErrAbortHandler)
	}
}

// claimOf returns the claim of a request that brings an idempotency key, or
// nil if it needs none. Requests are the same if their method, path and first
// replayLimit bytes are.
func claimOf(q *radishspoke.Request, key string, c *radishspoke.Call, start []byte) *radishspoke.Claim {
	if key == "" || q.Route.Idempotent {
		return nil
	}
	return &radishspoke.Claim{
		Key:         hashOf(q.Team, q.Route.Name, key),
		Fingerprint: hashOf(c.Method, c.Path, string(start)),
	}
}

// hashOf hashes parts so that no two lists of parts give the same input.
func hashOf(parts ...string) string {
	h := sha256.New()
	for _, p := range parts {
		_, _ = fmt.Fprintf(h, "%d:%s", len(p), p)
	}
	return hex.EncodeToString(h.Sum(nil))
}

// timedBody lifts the read deadline once the body has been read. Left in
// place, it would end the request when it passes.
type timedBody struct {
	r       io.Reader
	control *http.ResponseController
}

func (b *timedBody) Read(p []byte) (int, error) {
	n, err := b.r.Read(p)
	if err == io.EOF {
		_ = b.control.SetReadDeadline(time.Time{})
	}
	return n, err
}

// callSink passes a service's answer to the caller.
type callSink struct {
	w       http.ResponseWriter
	control *http.ResponseController
	id      string
	timeout time.Duration
	started bool
}

// Head implements radishspoke.Sink.
func (s *callSink) Head(status int, header map[string][]string) error {
	s.started = true
	h := s.w.Header()
	for name, values := range header {
		h[name] = values
	}
	for _, name := range hopHeaders {
		h.Del(name)
	}
	h.Set(RequestHeader, s.id)
	h.Set(OutcomeHeader, string(radishspoke.OutcomeRun))
	s.w.WriteHeader(status)
	return nil
}

// Tokens is never called on a service route.
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
