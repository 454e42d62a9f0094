package targetclient_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"radishspoke"
	"radishspoke/internal/fake"
	"radishspoke/transport"
	"radishspoke/transport/targetclient"
)

// call sends a request to the service of a script and returns the error, also that of
// reading the answer.
func call(c *qt.C, s *targetclient.Service) error {
	a, err := s.Call(c.Context(), "r1", radishspoke.Call{Method: http.MethodGet, Path: "/"})
	if err != nil {
		return err
	}
	defer func() { _ = a.Body.Close() }()
	_, err = io.Copy(io.Discard, a.Body)
	return err
}

// TestCutResponseOfService checks that a response of a service of which only a part
// arrived before the connection was closed is never taken as whole, nor as a refusal, at
// each byte, and that the request is not sent again.
func TestCutResponseOfService(t *testing.T) {
	for _, r := range fake.WholeResponses("r1") {
		for _, kept := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, kept=%t", r.Name, kept), func(t *testing.T) {
				c := qt.New(t)
				for n := range len(r.Text) + 1 {
					comment := qt.Commentf("%q", r.Text[:n])
					s := &fake.Script{Texts: []string{r.Text[:n]}}
					service := targetclient.NewService(s, "target:1")
					if kept {
						s.Texts = []string{fake.StrayResponse("r1", http.StatusOK), r.Text[:n]}
						c.Assert(call(c, service), qt.IsNil)
					}
					err := call(c, service)
					service.Close()
					c.Assert(s.Requests(), qt.Equals, len(s.Texts), comment)
					c.Assert(err == nil, qt.Equals, r.Whole(n), comment)
					c.Assert(err, qt.Not(qt.ErrorIs), radishspoke.ErrTargetRefused, comment)
					if n < r.HeadEnd {
						c.Assert(err, qt.ErrorIs, radishspoke.ErrTargetFailed, comment)
					}
				}
			})
		}
	}
}

// generate has the engine of a script generate and returns the tokens, whether the end
// arrived, and the error.
func generate(c *qt.C, e *targetclient.Engine) (tokens string, end bool, err error) {
	s, err := e.Generate(c.Context(), "r1", radishspoke.Generation{Model: "m", Prompt: "p"}, 0)
	if err != nil {
		return "", false, err
	}
	defer func() { _ = s.Close() }()
	for {
		b, err := s.Next()
		if err != nil {
			return tokens, false, err
		}
		if tokens += strings.Join(b.Tokens, ""); b.End {
			return tokens, true, nil
		}
	}
}

// TestCutResponseOfEngine checks that a generation of which only a part arrived before
// the connection was closed is never taken as whole, nor as a refusal, at each byte.
func TestCutResponseOfEngine(t *testing.T) {
	const lines = `{"tokens":["a"]}` + "\n" + `{"tokens":["b"],"end":true,"reason":"stop"}` + "\n"
	for name, text := range map[string]string{
		"length": fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(lines), lines),
		"chunks": fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(lines), lines),
		"close":  "\r\n" + lines,
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			text := "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n" + text
			for n := range len(text) + 1 {
				s := &fake.Script{Texts: []string{text[:n]}}
				e := targetclient.NewEngine(s, "target:1")
				tokens, end, err := generate(c, e)
				e.Close()
				c.Assert(s.Requests(), qt.Equals, 1)
				comment := qt.Commentf("%q", text[:n])
				c.Assert(end, qt.Equals, strings.Contains(text[:n], lines), comment)
				c.Assert(strings.HasPrefix("ab", tokens), qt.IsTrue, comment)
				if !end {
					c.Assert(err, qt.ErrorIs, radishspoke.ErrTargetFailed, comment)
					c.Assert(err, qt.Not(qt.ErrorIs), radishspoke.ErrTargetRefused, comment)
				}
			}
		})
	}
}

// Guards against issue 38 at the targets of the own deployment: a head that was broken off
// and followed by another response counted as that of the second one.
func TestHeadInsideHead(t *testing.T) {
	c := qt.New(t)
	for _, text := range fake.HeadsInHeads("r1") {
		s := &fake.Script{Texts: []string{text}}
		service := targetclient.NewService(s, "target:1")
		c.Check(call(c, service), qt.ErrorIs, radishspoke.ErrTargetFailed, qt.Commentf("%q", text))
		service.Close()
		e := targetclient.NewEngine(s, "target:1")
		c.Check(e.Cancel(c.Context(), "r1"), qt.ErrorIs, radishspoke.ErrTargetFailed, qt.Commentf("%q", text))
		e.Close()
	}
}

// TestResetDuringUpload guards against MIXED at the services of the own deployment: a service resets
// the connection while it still reads an upload, and the part of its answer counts as whole.
func TestResetDuringUpload(t *testing.T) {
	c := qt.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer func() { _ = l.Close() }()
	go fake.ResetUploads(l)
	s := targetclient.NewService(&transport.TCP{}, l.Addr().String())
	for i := range 200 {
		body := strings.NewReader(strings.Repeat("x", 64<<10<<(i%9)))
		a, err := s.Call(c.Context(), "r1", radishspoke.Call{Method: http.MethodPost, Path: "/", Body: body})
		if err != nil {
			continue
		}
		time.Sleep(time.Duration(i%3) * 2 * time.Millisecond)
		got, err := io.ReadAll(a.Body)
		_ = a.Body.Close()
		c.Check(err, qt.IsNotNil, qt.Commentf("upload of %d bytes: %q was taken as whole", body.Size(), got))
	}
}
