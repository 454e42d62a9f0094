package assembler

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"radishspoke"
	"radishspoke/internal/fake"
	"radishspoke/state/editor"
	"radishspoke/state/parser"
	"radishspoke/state/storer"
	"radishspoke/transport"
	"radishspoke/transport/ticker"
)

// testInventory describes two engines of one model and two targets that share a
// ledger.
const testInventory = `
[zone a]
[zone b]
[host h1]
zone = a
[host h2]
zone = b
[model m]
version = 1
[target e1]
host = h1
kind = engine
address = 127.0.0.1:1101
sidecar = 127.0.0.1:1201
model = m
fencing = yes
[target e2]
host = h2
kind = engine
address = 127.0.0.1:1102
sidecar = 127.0.0.1:1202
model = m
[target l1]
host = h1
kind = service
group = ledger
address = 127.0.0.1:1103
sidecar = 127.0.0.1:1203
[target l2]
host = h2
kind = service
group = ledger
address = 127.0.0.1:1104
sidecar = 127.0.0.1:1204
[team big]
weight = 2
rate = 100000
burst = 200000
[team small]
rate = 1000
burst = 2000
[route chat]
path = /v1/chat/completions
methods = POST
kind = model
idempotent = yes
deadline = 60s
[route stock]
path = /stock
methods = GET
kind = service
group = ledger
idempotent = yes
deadline = 5s
[route reserve]
path = /reserve
methods = POST
kind = service
group = ledger
deadline = 20s
[rules]
drain-timeout = 30s
max-output = 2000
`

// testbed is a development deployment on an in-memory network, within a synctest
// bubble.
type testbed struct {
	*qt.C
	*Dev
	settings DevSettings
	network  *fake.Network
	client   *http.Client
}

// inBubble calls f with a new deployment within a synctest bubble. The function
// change modifies the settings of the deployment; it may be nil.
func inBubble(t *testing.T, change func(*DevSettings), f func(*testbed)) {
	clearPools()
	synctest.Test(t, func(t *testing.T) {
		b := newTestbed(t, change)
		defer b.close()
		time.Sleep(3 * time.Second) // leases are taken and sessions are open by then
		f(b)
	})
}

// clearPools empties every sync.Pool. The session library keeps timers in a
// pool, and a timer of one bubble must not be used in another.
func clearPools() {
	runtime.GC()
	runtime.GC()
}

func newTestbed(t *testing.T, change func(*DevSettings)) *testbed {
	b := &testbed{C: qt.New(t), network: fake.NewNetwork()}
	b.settings = DevSettings{Inventory: []byte(testInventory), Network: b.network.Host, UsageWindow: 15 * time.Second}
	if change != nil {
		change(&b.settings)
	}
	log := slog.New(slog.DiscardHandler)
	if testing.Verbose() {
		log = slog.New(slog.NewTextHandler(testWriter{t}, &slog.HandlerOptions{Level: slog.LevelWarn}))
	}
	d, err := NewDev(t.Context(), b.settings, Environment{Clock: ticker.NewMonotonicClock(), Log: log, Seed: 1})
	b.Assert(err, qt.IsNil)
	b.Dev = d
	b.client = &http.Client{Transport: transport.HTTP(b.network.Host("caller"))}
	return b
}

type testWriter struct{ t *testing.T }

func (w testWriter) Write(p []byte) (int, error) {
	w.t.Log(strings.TrimSpace(string(p)))
	return len(p), nil
}

func (b *testbed) close() {
	b.client.CloseIdleConnections()
	b.Close()
	time.Sleep(quiesceTime) // the handlers of the fakes return meanwhile
}

// quiesceTime is longer than any pending request or message can take to have an
// effect.
const quiesceTime = 30 * time.Second

// target returns a target of the inventory and its index.
func (b *testbed) target(name string) (radishspoke.Target, int) {
	v, err := parser.ParseInventory("test", b.settings.Inventory)
	b.Assert(err, qt.IsNil)
	for i, t := range v.Targets {
		if t.Name == name {
			return t, i
		}
	}
	b.Fatalf("no target %s", name)
	return radishspoke.Target{}, 0
}

// liveEntry returns the index of a running entry, counted from 0. Successive
// values of i choose running entries in turn.
func (b *testbed) liveEntry(i int) int {
	var n int
	_, err := fmt.Sscanf(b.Entries[i%len(b.Entries)].settings.Process.Name, "entry-%d", &n)
	b.Assert(err, qt.IsNil)
	return n - 1
}

// killSidecar ends a sidecar immediately, like a crash.
func (b *testbed) killSidecar(target string) {
	b.Sidecars[target].Close()
	delete(b.Sidecars, target)
}

func (b *testbed) restartSidecar(target string) {
	t, i := b.target(target)
	b.Assert(b.StartSidecar(context.Background(), b.settings, t, i), qt.IsNil)
}

// reply is a response as a caller receives it.
type reply struct {
	status  int
	header  http.Header
	text    string // text of a streamed completion, or else the body
	tokens  int    // number of events with text
	done    bool   // whether [DONE] was received
	failure string // message of an error event in the stream
	err     error
}

func (r reply) outcome() string { return r.header.Get("Radishspoke-Outcome") }

func (b *testbed) request(entry int, method, path, team, body string, header map[string]string) *http.Request {
	q, err := http.NewRequest(method, "http://"+DevCallerAddress(entry)+path, strings.NewReader(body))
	b.Assert(err, qt.IsNil)
	if team != "" {
		q.Header.Set("Authorization", "Bearer "+b.Secrets[team])
	}
	if strings.HasPrefix(path, "/v1/") {
		q.Header.Set("Content-Type", "application/json")
	}
	for k, v := range header {
		q.Header.Set(k, v)
	}
	return q
}

// call sends a request and reads the complete response.
func (b *testbed) call(entry int, method, path, team, body string, header map[string]string) reply {
	return b.read(b.request(entry, method, path, team, body, header), nil)
}

// chat requests a streamed completion and reads it.
func (b *testbed) chat(entry int, team, prompt string, maxTokens int) reply {
	return b.read(b.request(entry, http.MethodPost, "/v1/chat/completions", team, chatBody(prompt, maxTokens), nil), nil)
}

func chatBody(prompt string, maxTokens int) string {
	return fmt.Sprintf(`{"model":"m","stream":true,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, maxTokens, prompt)
}

// expectedText returns the completion of a prompt.
func expectedText(prompt string, maxTokens int) string {
	return fake.AnswerText("m", "user: "+prompt+"\n", maxTokens)
}

// read sends q and reads the response. The function onEvent is called for every
// line of a streamed response, with the number of tokens so far; it may be nil.
func (b *testbed) read(q *http.Request, onEvent func(tokens int)) reply {
	resp, err := b.client.Do(q)
	if err != nil {
		return reply{err: err, header: http.Header{}}
	}
	defer func() { _ = resp.Body.Close() }()
	r := reply{status: resp.StatusCode, header: resp.Header}
	if resp.Header.Get("Content-Type") != "text/event-stream" {
		data, err := io.ReadAll(resp.Body)
		r.text, r.err = string(data), err
		return r
	}
	s := bufio.NewScanner(resp.Body)
	for s.Scan() {
		r.event(s.Text())
		if onEvent != nil {
			onEvent(r.tokens)
		}
	}
	r.err = s.Err()
	return r
}

// event adds one line of an event stream to the reply.
func (r *reply) event(line string) {
	text, ok := strings.CutPrefix(line, "data: ")
	if !ok {
		return
	}
	if text == "[DONE]" {
		r.done = true
		return
	}
	var e struct {
		Choices []struct {
			Delta struct {
				Content string `json:"content"`
			} `json:"delta"`
		} `json:"choices"`
		Error struct {
			Message string `json:"message"`
			Outcome string `json:"outcome"`
		} `json:"error"`
	}
	if err := json.Unmarshal([]byte(text), &e); err != nil {
		r.err = err
		return
	}
	r.failure = e.Error.Message
	for _, c := range e.Choices {
		if c.Delta.Content != "" {
			r.text += c.Delta.Content
			r.tokens++
		}
	}
}

// assertComplete checks that a reply is the complete completion of the prompt.
func (b *testbed) assertComplete(r reply, prompt string, maxTokens int) {
	b.Helper()
	b.Assert(r.err, qt.IsNil)
	b.Assert(r.failure, qt.Equals, "")
	b.Assert(r.status, qt.Equals, http.StatusOK, qt.Commentf("%s", r.text))
	b.Assert(r.text, qt.Equals, expectedText(prompt, maxTokens))
	b.Assert(r.done, qt.IsTrue)
}

// withdraw commits a configuration that withdraws a key.
func (b *testbed) withdraw(id string) {
	b.edit(func(d *radishspoke.Document) {
		for i := range d.Keys {
			d.Keys[i].Withdrawn = d.Keys[i].Withdrawn || d.Keys[i].ID == id
		}
	})
}

// edit commits a change to the configuration and returns the new version.
func (b *testbed) edit(f func(*radishspoke.Document)) int64 {
	c := storer.New(b.network.Host("operator"), DevPlatformAddress(), storeTimeout)
	defer c.Close()
	e := editor.New(c)
	current, err := e.Current(context.Background())
	b.Assert(err, qt.IsNil)
	f(&current.Document)
	n, err := e.Commit(context.Background(), current.Version, current.Document)
	b.Assert(err, qt.IsNil)
	return n
}
