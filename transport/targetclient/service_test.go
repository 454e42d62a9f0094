package targetclient_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"radishspoke"
	"radishspoke/transport"
	"radishspoke/transport/targetclient"
)

// Guards against inc1 at the targets of the own deployment: a service's stream of events
// that ended inside an event was read as complete.
func TestBrokenStreamOfService(t *testing.T) {
	for _, k := range []struct {
		name, framing, body string
		want                error
	}{
		{"whole, closed", "", "data: a\n\n", nil},
		{"broken, closed", "", "data: a\n\nda", io.ErrUnexpectedEOF},
		{"empty, closed", "", "", io.ErrUnexpectedEOF},
		{"broken, length", "Content-Length: 11\r\n", "data: a\n\nda", io.ErrUnexpectedEOF},
		{"broken, chunks", "Transfer-Encoding: chunked\r\n", "b\r\ndata: a\n\nda\r\n0\r\n\r\n", io.ErrUnexpectedEOF},
	} {
		t.Run(k.name, func(t *testing.T) {
			c := qt.New(t)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			c.Assert(err, qt.IsNil)
			defer func() { _ = l.Close() }()
			go func() {
				conn, err := l.Accept()
				if err != nil {
					return
				}
				defer func() { _ = conn.Close() }()
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream; charset=utf-8\r\n"+k.framing+"\r\n"+k.body)
				}
			}()
			s := targetclient.NewService(&transport.TCP{}, l.Addr().String())
			defer s.Close()
			a, err := s.Call(c.Context(), "r1", radishspoke.Call{Method: http.MethodGet, Path: "/"})
			c.Assert(err, qt.IsNil)
			defer func() { _ = a.Body.Close() }()
			_, err = io.ReadAll(a.Body)
			c.Assert(err, qt.ErrorIs, k.want)
		})
	}
}
