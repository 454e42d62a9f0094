package assembler

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestBadInput sends requests that must be refused with an error that names the
// cause, and checks that the entry still serves afterwards.
func TestBadInput(t *testing.T) {
	const chat = "/v1/chat/completions"
	valid := chatBody("hello", 5)
	cases := []struct {
		name    string
		method  string
		path    string
		team    string
		body    string
		header  map[string]string
		status  int
		message string
	}{
		{"no key", "POST", chat, "", valid, nil, 401, "key is missing"},
		{"unknown key", "POST", chat, "", valid, map[string]string{"Authorization": "Bearer rk-none"}, 401, "key is not known"},
		{"no route", "GET", "/nowhere", "big", "", nil, 404, "no route to /nowhere"},
		{"path beside a route", "GET", "/stockroom", "big", "", nil, 404, "no route to /stockroom"},
		{"wrong method", "DELETE", "/reserve", "big", "", nil, 405, "method DELETE"},
		{"wrong content type", "POST", chat, "big", valid, map[string]string{"Content-Type": "text/plain"}, 415, "Content-Type"},
		{"no JSON", "POST", chat, "big", "{", nil, 400, "body: unexpected end"},
		{"wrong JSON type", "POST", chat, "big", `{"model":7}`, nil, 400, "model must be a string"},
		{"not UTF-8", "POST", chat, "big", "{\"model\":\"\xff\"}", nil, 400, "UTF-8"},
		{"no model", "POST", chat, "big", `{}`, nil, 400, "model: is missing"},
		{"unknown model", "POST", chat, "big", `{"model":"x"}`, nil, 404, `model: "x" does not exist`},
		{"unknown adapter", "POST", chat, "big", `{"model":"m:x"}`, nil, 404, `no adapter "x"`},
		{"no messages", "POST", chat, "big", `{"model":"m"}`, nil, 400, "messages: is missing"},
		{"unknown role", "POST", chat, "big", `{"model":"m","messages":[{"role":"x"}]}`, nil, 400, "messages[0].role"},
		{"too many tokens", "POST", chat, "big", chatBody("hello", 100000), nil, 400, "max_tokens: 100000 is not between 1 and 2000"},
		{"two choices", "POST", chat, "big", `{"model":"m","n":2,"messages":[{"role":"user","content":"x"}]}`, nil, 400, "n: must be 1"},
		{"bad deadline", "POST", chat, "big", valid, map[string]string{"Radishspoke-Deadline": "soon"}, 400, "Radishspoke-Deadline"},
		{"bad priority", "POST", chat, "big", valid, map[string]string{"Radishspoke-Priority": "high"}, 400, "Radishspoke-Priority"},
		{"huge body", "POST", chat, "big", `{"model":"` + strings.Repeat("x", 5<<20) + `"}`, nil, 413, "longer than 4194304 bytes"},
		{"above the burst", "POST", chat, "small", chatBody(strings.Repeat("x", 9000), 5), nil, 400, "more than the team's burst"},
		{"deadline too short", "POST", chat, "big", chatBody(strings.Repeat("x", 100000), 5), map[string]string{"Radishspoke-Deadline": "50ms"}, 503, "the answer is expected to take"},
	}
	inBubble(t, nil, func(b *testbed) {
		time.Sleep(settleTime) // the budgets are full by then
		for _, c := range cases {
			r := b.call(0, c.method, c.path, c.team, c.body, c.header)
			comment := qt.Commentf("%s: %s %v", c.name, r.text, r.err)
			b.Check(r.status, qt.Equals, c.status, comment)
			b.Check(r.outcome(), qt.Equals, "not-run", comment)
			b.Check(r.header.Get("Radishspoke-Request"), qt.Not(qt.Equals), "", comment)
			var e struct {
				Error struct{ Message, Code, Type string }
			}
			b.Check(json.Unmarshal([]byte(r.text), &e), qt.IsNil, comment)
			b.Check(e.Error.Message, qt.Contains, c.message, comment)
			b.Check(e.Error.Code, qt.Not(qt.Equals), "", comment)
		}
		b.assertComplete(b.chat(0, "big", "hello", 5), "hello", 5)
	})
}

// TestSlowSenders sends headers and bodies that never end. The entry must close
// their connections after a timeout, and serve other requests meanwhile.
func TestSlowSenders(t *testing.T) {
	inBubble(t, nil, func(b *testbed) {
		header, err := b.network.Host("caller").Dial(b.Entries[0].ctx, DevCallerAddress(0))
		b.Assert(err, qt.IsNil)
		_, err = io.WriteString(header, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n")
		b.Assert(err, qt.IsNil)
		body, err := b.network.Host("caller").Dial(b.Entries[0].ctx, DevCallerAddress(0))
		b.Assert(err, qt.IsNil)
		_, err = io.WriteString(body, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\nContent-Length: 100\r\n"+
			"Authorization: Bearer "+b.Secrets["big"]+"\r\n\r\n{")
		b.Assert(err, qt.IsNil)
		b.assertComplete(b.chat(0, "big", "hello", 5), "hello", 5)
		time.Sleep(time.Minute)
		_, err = io.ReadAll(header)
		b.Assert(err, qt.IsNil)
		text, err := io.ReadAll(body)
		b.Assert(err, qt.IsNil)
		b.Assert(string(text), qt.Contains, "408")
		_, _ = header.Close(), body.Close()
	})
}

// TestOrdinaryRequests tests typical requests: the list of models, a completion
// without streaming, and service requests with short and long bodies.
func TestOrdinaryRequests(t *testing.T) {
	inBubble(t, nil, func(b *testbed) {
		r := b.call(0, http.MethodGet, "/v1/models", "big", "", nil)
		b.Assert(r.text, qt.Contains, `"id":"m"`)
		plain := `{"model":"m","max_tokens":30,"messages":[{"role":"user","content":"hello"}]}`
		r = b.call(1, http.MethodPost, "/v1/chat/completions", "big", plain, nil)
		b.Assert(r.status, qt.Equals, http.StatusOK)
		var c struct {
			Choices []struct {
				Message struct{ Content string }
				Reason  string `json:"finish_reason"`
			}
			Usage struct {
				Prompt int `json:"prompt_tokens"`
				Output int `json:"completion_tokens"`
			}
		}
		b.Assert(json.Unmarshal([]byte(r.text), &c), qt.IsNil)
		b.Assert(c.Choices[0].Message.Content, qt.Equals, expectedText("hello", 30))
		b.Assert(c.Choices[0].Reason, qt.Equals, "length")
		b.Assert(c.Usage.Output, qt.Equals, 30)
		b.Assert(c.Usage.Prompt, qt.Equals, 3)
		r = b.call(0, http.MethodGet, "/stock/lamp", "small", "", nil)
		b.Assert(r.text, qt.Contains, "lamp")
		long := strings.Repeat("order ", 100000)
		r = b.call(0, http.MethodPost, "/reserve", "small", long, nil)
		b.Assert(r.status, qt.Equals, http.StatusOK)
		b.Assert(b.Ledgers["ledger"].Recorded()[0].Order, qt.Equals, long)
	})
}

// TestTruncatedBody closes a connection in the middle of a request body. The
// ledger must not record the incomplete request.
func TestTruncatedBody(t *testing.T) {
	inBubble(t, nil, func(b *testbed) {
		c, err := b.network.Host("caller").Dial(b.Entries[0].ctx, DevCallerAddress(0))
		b.Assert(err, qt.IsNil)
		head := "POST /reserve HTTP/1.1\r\nHost: x\r\nContent-Length: 200000\r\nAuthorization: Bearer " + b.Secrets["big"] + "\r\n\r\n"
		_, err = io.WriteString(c, head+strings.Repeat("x", 100000))
		b.Assert(err, qt.IsNil)
		time.Sleep(time.Second)
		_ = c.Close()
		time.Sleep(quiesceTime)
		b.Assert(b.Ledgers["ledger"].Recorded(), qt.HasLen, 0)
	})
}

// TestSlowReader pauses before it reads a long response. Meanwhile only a few
// buffers of the response may be held in memory, and it must be complete when it
// is read. The connection of a caller that never reads must be closed.
func TestSlowReader(t *testing.T) {
	const lines, lineBytes, maxHeld = 2 << 20, 8, 4 << 20 // 16 MiB in total, at most 4 MiB held
	edit := func(s *DevSettings) {
		s.Inventory = []byte(strings.Replace(string(s.Inventory), "idempotent = yes\ndeadline = 5s", "idempotent = yes\ndeadline = 5m", 1))
	}
	inBubble(t, edit, func(b *testbed) {
		path := fmt.Sprintf("/stock/list?lines=%d", lines)
		resp, err := b.client.Do(b.request(0, http.MethodGet, path, "big", "", nil))
		b.Assert(err, qt.IsNil)
		defer func() { _ = resp.Body.Close() }()
		time.Sleep(20 * time.Second)
		b.Assert(b.Ledgers["ledger"].BytesSent() < maxHeld, qt.IsTrue, qt.Commentf("%d bytes", b.Ledgers["ledger"].BytesSent()))
		text, err := io.ReadAll(resp.Body)
		b.Assert(err, qt.IsNil)
		b.Assert(len(text), qt.Equals, lines*lineBytes)
		b.Assert(string(text[len(text)-lineBytes:]), qt.Equals, fmt.Sprintf("%07d\n", lines-1))

		idle, err := b.client.Do(b.request(0, http.MethodGet, path, "big", "", nil))
		b.Assert(err, qt.IsNil)
		time.Sleep(2 * time.Minute)
		_, err = io.ReadAll(idle.Body)
		b.Assert(err, qt.IsNotNil)
		_ = idle.Body.Close()
	})
}
