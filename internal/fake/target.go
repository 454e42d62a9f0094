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

	"radishspoke/platform"
)

// Target is a worker of the users' platform at the level of bytes, so that it
// can misbehave as no HTTP server would. It answers each request by what Answer
// returns. Make it with NewTarget.
type Target struct {
	ID string

	// Answer makes the answer to a request. It may return nil to drop the
	// connection.
	Answer func(r *http.Request, body []byte) *TargetAnswer

	mu       sync.Mutex
	requests []*http.Request
	conns    int
}

// TargetAnswer is an answer as it goes on the wire.
type TargetAnswer struct {
	Status int
	Header http.Header
	Body   string

	// Before is written ahead of the answer, as an answer to an earlier
	// request would be; After behind it.
	Before, After string

	// Cut is how many bytes of the body are sent before the connection is
	// closed; 0 for all of it.
	Cut int

	// Unframed leaves the length out: the body ends with the connection.
	Unframed bool

	// Chunked sends the body in two chunks instead of stating its length.
	Chunked bool
}

// Stray returns a whole answer to the request of an id, as a target sends it that
// answers late or to nobody.
func Stray(id string, status int) string {
	var b strings.Builder
	_, _ = fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status)) // a Builder takes all
	_ = platform.EncodeAnswer(platform.AnswerHeader{ID: id}, "").Write(&b)
	return b.String() + "Content-Length: 5\r\n\r\nWRONG"
}

// NewTarget returns a target that answers with what answer returns.
func NewTarget(id string, answer func(r *http.Request, body []byte) *TargetAnswer) *Target {
	return &Target{ID: id, Answer: answer}
}

// Requests returns the requests that came so far.
func (t *Target) Requests() []*http.Request {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]*http.Request(nil), t.requests...)
}

// Connections returns how many connections were opened so far.
func (t *Target) Connections() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.conns
}

// Serve takes connections until the listener is closed.
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
		a := t.Answer(r, body)
		if a == nil || !a.write(c, r) {
			return
		}
	}
}

// write sends an answer. It tells whether the connection goes on.
func (a *TargetAnswer) write(c net.Conn, r *http.Request) bool {
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
	_, _ = fmt.Fprintf(w, "HTTP/1.1 %d %s\r\n", a.Status, http.StatusText(a.Status))
	_ = h.Write(w)
	body := a.Body
	if a.Cut > 0 {
		body = body[:a.Cut]
	}
	if a.Chunked {
		body = chunks(body, a.Cut == 0)
	}
	_, _ = w.WriteString("\r\n" + body + a.After)
	return w.Flush() == nil && a.Cut == 0 && !a.Unframed
}

// chunks frames a body in two chunks, and the end if it is whole.
func chunks(body string, whole bool) string {
	out := ""
	for _, b := range []string{body[:len(body)/2], body[len(body)/2:]} {
		if b != "" {
			out += fmt.Sprintf("%x\r\n%s\r\n", len(b), b)
		}
	}
	if whole {
		out += "0\r\n\r\n"
	}
	return out
}
