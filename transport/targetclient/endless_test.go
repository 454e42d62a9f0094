package targetclient_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"radishspoke"
	"radishspoke/internal/fake"
	"radishspoke/transport/targetclient"
)

// TestEndlessAnswersOfEngine guards against LOST: an engine of the own deployment sends bytes without
// end, and its client reads or keeps them until the call ends.
func TestEndlessAnswersOfEngine(t *testing.T) {
	const (
		ok     = "HTTP/1.1 200 OK\r\n"
		body   = ok + "Content-Type: application/json\r\n\r\n"
		head   = 256 << 10
		answer = 2 << 20
	)
	load := func(c *qt.C, e *targetclient.Engine) error {
		_, err := e.Load(c.Context())
		return err
	}
	apply := func(c *qt.C, e *targetclient.Engine) error { return e.Apply(c.Context(), radishspoke.Order{}) }
	tokens := func(c *qt.C, e *targetclient.Engine) error {
		s, err := e.Generate(c.Context(), "r1", radishspoke.Generation{Model: "m", Prompt: "p", MaxTokens: 1000}, 0)
		for err == nil {
			_, err = s.Next()
		}
		if s != nil {
			_ = s.Close()
		}
		return err
	}
	for _, k := range []struct {
		name, start, repeated string
		call                  func(*qt.C, *targetclient.Engine) error
		most                  int64 // bytes read
	}{
		{"header line", ok + "A: ", "a", load, head},
		{"value of a field", body + `{"running":"`, "a", load, answer},
		{"fields", body + `{"a":1`, `,"a":1`, load, answer},
		{"answer to an order", body, "a", apply, answer},
		{"line of a generation", body, "a", tokens, head},
		{"tokens of a generation", body, `{"tokens":["a"]}` + "\n", tokens, head},
		{"answer to a prompt", "HTTP/1.1 500 Error\r\n\r\n", "a", tokens, head},
	} {
		t.Run(k.name, func(t *testing.T) {
			c := qt.New(t)
			n := &fake.Endless{Start: k.start, Repeated: k.repeated}
			e := targetclient.NewEngine(n, "engine:1")
			c.Assert(k.call(c, e), qt.IsNotNil)
			e.Close()
			read := n.Wait()
			c.Assert(read < k.most, qt.IsTrue, qt.Commentf("%d bytes were read", read))
		})
	}
}
