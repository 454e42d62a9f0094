package fake

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"radishspoke/platform"
)

// Target is a fake of a target for the deployment on an external platform. It writes
// its responses as raw bytes, so that they can violate HTTP. Create it with
// NewTarget.
type Target struct {
	ID string // of the target instance

	// Respond returns the response to a request, or nil to close the connection
	// without a response.
	Respond func(r *http.Request, body []byte) *TargetResponse

	mu       sync.Mutex
	requests []*http.Request
	conns    int
}

// TargetResponse is a response of a Target. Unless Header has a request ID,
// the response gets the ID of the request.
type TargetResponse struct {
	Status int
	Header http.Header
	Body   string

	// Before and After are written before and after the response, for example
	// to simulate a late response to an earlier request.
	Before, After string

	// TruncateAt is the number of bytes of the body after which the connection is
	// closed; 0 sends the complete body.
	TruncateAt int

	// Unframed omits Content-Length; the body ends when the connection is
	// closed.
	Unframed bool

	// Reset resets the connection after the response.
	Reset bool

	// Chunked sends the body in two chunks instead of with Content-Length.
	Chunked bool

	// Pause is the time between the two chunks.
	Pause time.Duration

	// Halfway is called when the first half of the body has been sent. It may be nil.
	Halfway func()
}

// StrayResponse returns the bytes of a complete response with the given
// request ID, to simulate a response that comes late or belongs to no request.
func StrayResponse(id string, status int) string {
	var b strings.Builder
	_, _ = fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status)) // a Builder returns no errors
	_ = platform.EncodeAnswer(platform.AnswerHeader{ID: id}, "").Write(&b)
	return b.String() + "Content-Length: 5\r\n\r\nWRONG"
}

// NewTarget returns a target with the given ID that responds with the results of
// the function respond.
func NewTarget(id string, respond func(r *http.Request, body []byte) *TargetResponse) *Target {
	return &Target{ID: id, Respond: respond}
}

// Requests returns the requests received so far.
func (t *Target) Requests() []*http.Request {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]*http.Request(nil), t.requests...)
}

// Connections returns the number of connections accepted so far.
func (t *Target) Connections() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.conns
}

// Serve accepts and serves connections until the listener is closed.
func (t *Target) Serve(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		t.mu.Lock()
		t.conns++
		t.mu.Unlock()
		go t.serve(c)
	}
}

func (t *Target) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		t.mu.Lock()
		t.requests = append(t.requests, r)
		t.mu.Unlock()
		a := t.Respond(r, body)
		if a == nil || !a.Write(c, r) {
			return
		}
	}
}

// Write writes the response to request r. It returns false if the connection must be
// closed.
func (a *TargetResponse) Write(c net.Conn, r *http.Request) bool {
	h := a.Header.Clone()
	if h == nil {
		h = http.Header{}
	}
	if platform.RequestID(h) == "" {
		platform.SetID(h, platform.RequestID(r.Header))
	}
	if a.Chunked {
		h.Set("Transfer-Encoding", "chunked")
	} else if !a.Unframed {
		h.Set("Content-Length", strconv.Itoa(len(a.Body)))
	}
	w := bufio.NewWriter(c)
	_, _ = w.WriteString(a.Before)
	_, _ = fmt.Fprintf(w, "HTTP/1.1 %03d %s\r\n", a.Status, http.StatusText(a.Status))
	_ = h.Write(w)
	body := a.Body
	if a.TruncateAt > 0 {
		body = body[:a.TruncateAt]
	}
	_, _ = w.WriteString("\r\n")
	first, rest := body[:len(body)/2], body[len(body)/2:]
	if a.Chunked {
		if first, rest = chunk(first), chunk(rest); a.TruncateAt == 0 {
			rest += "0\r\n\r\n"
		}
	}
	if _, _ = w.WriteString(first); a.Chunked && a.Pause > 0 || a.Halfway != nil {
		_ = w.Flush() // an error shows in the second half
	}
	if a.Chunked {
		time.Sleep(a.Pause)
	}
	if a.Halfway != nil {
		a.Halfway()
	}
	_, _ = w.WriteString(rest + a.After)
	err := w.Flush()
	if t, ok := c.(interface{ SetLinger(int) error }); ok && a.Reset {
		_ = t.SetLinger(0) // fails only if the connection is closed already
	}
	return err == nil && a.TruncateAt == 0 && !a.Unframed && !a.Reset
}

// chunk returns a part of a body as a chunk, or "" if it is empty.
func chunk(part string) string {
	if part == "" {
		return ""
	}
	return fmt.Sprintf("%x\r\n%s\r\n", len(part), part)
}
