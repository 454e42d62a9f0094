package fake

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"

	"radishspoke"
	"radishspoke/platform"
)

// Script is a network with one target that answers the nth request on a connection with
// the nth text, as it is, and closes the connection after the last one. A request must
// be written at once and be shorter than maxScriptRequest. Only one connection may be
// open at a time.
type Script struct {
	radishspoke.Network
	Texts []string

	requests int
	done     chan struct{} // closed when the target has closed the connection
}

// maxScriptRequest is the maximum length of a request to a Script in bytes.
const maxScriptRequest = 4 << 10

// Dial implements radishspoke.Network.
func (s *Script) Dial(context.Context, string) (net.Conn, error) {
	client, target := net.Pipe()
	s.done = make(chan struct{})
	go func() {
		defer close(s.done)
		defer func() { _ = target.Close() }()
		for _, text := range s.Texts {
			if _, err := target.Read(make([]byte, maxScriptRequest)); err != nil {
				return
			}
			s.requests++
			if _, err := io.WriteString(target, text); err != nil {
				return
			}
		}
	}()
	return client, nil
}

// Requests waits until the last connection is closed and returns the number of requests
// on all connections.
func (s *Script) Requests() int {
	<-s.done
	return s.requests
}

// WholeResponse is the text of a response with a successful status, and what a part of
// it may be taken for.
type WholeResponse struct {
	Name, Text string
	HeadEnd    int // length of the heads in bytes, informational ones included
	UntilClose bool
	Stream     bool // the body is a stream of events
}

// Whole reports whether the response may be whole after n of its bytes, if the connection
// is closed without a reset then: only a body that ends with the connection has no other
// end, and a stream must end after an event.
func (r WholeResponse) Whole(n int) bool {
	switch {
	case n == len(r.Text):
		return true
	case n < r.HeadEnd || !r.UntilClose:
		return false
	}
	return !r.Stream || n > r.HeadEnd && r.Text[n-2:n] == "\n\n"
}

// WholeResponses returns responses with a request id in each way of framing, plain and
// as a stream of events, with and without an informational response before. All parts
// that HTTP knows are in some of them: chunks with an extension, and a trailer.
func WholeResponses(id string) []WholeResponse {
	const (
		first, second = "id: 1\ndata: abcd\n\n", "id: 2\ndata: efghijk\n\n"
		body          = first + second
		interim       = "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n"
	)
	length := fmt.Sprintf("Content-Length: %d\r\n", len(body))
	h := http.Header{}
	platform.SetID(h, id)
	var idLine strings.Builder
	_ = h.Write(&idLine) // a Builder returns no errors
	var out []WholeResponse
	for _, stream := range []bool{false, true} {
		kind, head := "plain", idLine.String()+"Content-Type: "
		if stream {
			kind, head = "stream", head+"text/event-stream\r\n"
		} else {
			head += "application/json\r\n"
		}
		for _, r := range []WholeResponse{
			{Name: "length", Text: head + length + "\r\n" + body},
			{Name: "length first", Text: length + head + "\r\n" + body},
			{Name: "chunks", Text: fmt.Sprintf("%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n%x;x=y\r\n%s\r\n0\r\n\r\n", head, len(first), first, len(second), second)},
			{Name: "trailer", Text: fmt.Sprintf("%sTransfer-Encoding: chunked\r\nTrailer: A\r\n\r\n%x\r\n%s\r\n0\r\nA: b\r\n\r\n", head, len(body), body)},
			{Name: "close", Text: head + "Connection: close\r\n\r\n" + body, UntilClose: true},
		} {
			r.Name, r.Stream, r.Text = kind+", "+r.Name, stream, "HTTP/1.1 200 OK\r\n"+r.Text
			r.HeadEnd = strings.Index(r.Text, "\r\n\r\n") + len("\r\n\r\n")
			out = append(out, r)
			r.Name, r.Text, r.HeadEnd = "interim, "+r.Name, interim+r.Text, len(interim)+r.HeadEnd
			out = append(out, r)
		}
	}
	return out
}

// HeadsInHeads returns the bytes of a target that has broken off at each byte of the head
// of a successful response to the request with the given id, and has begun another
// response there.
func HeadsInHeads(id string) []string {
	var head strings.Builder
	head.WriteString("HTTP/1.1 200 OK\r\n")
	_ = platform.EncodeAnswer(platform.AnswerHeader{ID: id, Stamped: true}, "stamp").Write(&head) // a Builder returns no errors
	head.WriteString("Content-Length: 40\r\n")
	var out []string
	for _, second := range []string{"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 5\r\n\r\nWRONG", "HTTP/1.0 502\r\n\r\nWRONG", StrayResponse(id, http.StatusOK)} {
		for n := 1; n <= head.Len(); n++ {
			out = append(out, head.String()[:n]+second)
		}
	}
	return out
}
