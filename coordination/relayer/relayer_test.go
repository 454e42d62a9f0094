package relayer_test

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"radishspoke"
	"radishspoke/coordination/avoider"
	"radishspoke/coordination/relayer"
	"radishspoke/internal/simulator"
	"radishspoke/transport/httpclient"
	"radishspoke/transport/ticker"
)

var silent = slog.New(slog.DiscardHandler)

// TestWorthwhile checks that a request is relayed only where sending the second
// copy of its body takes longer than the detour.
func TestWorthwhile(t *testing.T) {
	c := qt.New(t)
	const body = 9_190
	engine := []radishspoke.Instance{{ID: "e", Address: "10.0.0.1:80", Role: radishspoke.PrefillRole}, {ID: "d", Address: "10.0.0.2:80"}}
	for _, k := range []struct {
		megabits float64
		want     bool
	}{{0, false}, {10, true}, {200, false}, {1000, false}} {
		client := relayer.NewClient(relayer.ClientSettings{Link: k.megabits * 1e6 / 8}, nil, &simulator.ManualClock{}, silent)
		c.Assert(client.Worthwhile("e", body), qt.IsFalse) // engine is not listed yet
		client.SetEngines(engine)
		c.Assert(client.Worthwhile("e", body), qt.Equals, k.want, qt.Commentf("%v Mbit/s", k.megabits))
		c.Assert(client.Worthwhile("d", body), qt.IsFalse) // a plain target has no sidecar
		client.MarkSilent("e", "test")
		c.Assert(client.Worthwhile("e", body), qt.IsFalse)
	}
}

// TestSlowLink checks that relaying prevents congestion of slow links under
// peaks of long prompts. If bodies are sent twice, more than half of the requests
// need more than a third of the objective to leave the host; with one copy, less
// than one in twenty does.
func TestSlowLink(t *testing.T) {
	c := qt.New(t)
	const (
		link      = 10e6 / 8                // bytes/s
		body      = 9_190                   // bytes
		rate      = 613 * 1.9 * 1.87 / 28.0 // requests/s at one of 28 entries, in a burst during peak load
		objective = 200 * time.Millisecond
	)
	client := relayer.NewClient(relayer.ClientSettings{Link: link}, nil, &simulator.ManualClock{}, silent)
	client.SetEngines([]radishspoke.Instance{{ID: "e", Address: "10.0.0.1:80", Role: radishspoke.PrefillRole}})
	// late returns the share of requests whose last copy leaves the host only
	// after a third of the objective.
	late := func() float64 {
		random := rand.New(rand.NewPCG(1, 2))
		var now, free time.Duration
		n, out := 20_000, 0
		for range n {
			copies := 2.0
			if client.Worthwhile("e", body) {
				copies = 1
			}
			now += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
			free = max(free, now) + time.Duration(copies*body/link*float64(time.Second))
			if free-now > objective/3 {
				out++
			}
		}
		return float64(out) / float64(n)
	}
	c.Assert(late() < 0.05, qt.IsTrue, qt.Commentf("%v", late()))
	client.MarkSilent("e", "test") // bodies are sent twice from here on
	c.Assert(late() > 0.5, qt.IsTrue, qt.Commentf("%v", late()))
}

// engines simulates a prefill engine and a decode engine without a network. A
// prefill takes 10 ms of virtual time and then fails.
type engines struct {
	mu          sync.Mutex
	inFlight    int
	maxInFlight int // maximum number of concurrent prefills
	order       []string
}

// Do implements relayer.Targets.
func (e *engines) Do(_ context.Context, address string, k *httpclient.Call) (*httpclient.Response, error) {
	if address != "reader" {
		return nil, httpclient.ErrNotSent // only the prefill is simulated
	}
	if k.Method == http.MethodDelete {
		return nil, httpclient.ErrNotSent
	}
	e.mu.Lock()
	e.inFlight++
	e.maxInFlight = max(e.maxInFlight, e.inFlight)
	e.order = append(e.order, k.RequestURI)
	e.mu.Unlock()
	time.Sleep(10 * time.Millisecond)
	e.mu.Lock()
	e.inFlight--
	e.mu.Unlock()
	return nil, fmt.Errorf("%w: prefills fail in this test", httpclient.ErrNoResponse)
}

// TestOrderAcrossEntries checks that the prompts of 28 entries at one engine
// share one queue: those that can be on time are prefilled before late ones, and
// no more than Window are in flight at the engine.
func TestOrderAcrossEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		e := &engines{}
		r := relayer.New(relayer.Settings{Engine: "reader", Window: 2}, e, avoider.New(&simulator.ManualClock{}, silent), ticker.NewMonotonicClock(), silent)
		var tasks sync.WaitGroup
		send := func(name string, onTime time.Duration) {
			o := relayer.Order{
				Request: relayer.Request{ID: name, Method: "POST", Target: name, Header: http.Header{}},
				OnTime:  onTime, Deadline: 5 * time.Second, ExpectedPrefill: 10 * time.Millisecond,
			}
			data, err := relayer.Encode(&o)
			c.Assert(err, qt.IsNil)
			tasks.Go(func() {
				w := httptest.NewRecorder()
				r.ServeHTTP(w, httptest.NewRequest("POST", relayer.Path, bytes.NewReader(data)))
				c.Check(w.Header().Get("Relay-Outcome"), qt.Equals, "silent")
			})
			synctest.Wait()
		}
		for i := range 28 {
			send(fmt.Sprint("late", i), 0)
		}
		for i := range 4 {
			send(fmt.Sprint("timely", i), 150*time.Millisecond)
		}
		tasks.Wait()
		c.Assert(e.maxInFlight, qt.Equals, 2)
		c.Assert(e.order, qt.HasLen, 32)
		timely := 0
		for _, n := range e.order[:2+6] { // two were in flight already; one turn in four goes to a late prompt
			if n[0] == 't' {
				timely++
			}
		}
		c.Assert(timely, qt.Equals, 4)
		c.Assert(r.Running(), qt.Equals, int64(0))
	})
}

// FuzzOrder checks that an order that can be decoded is encoded and decoded
// without change.
func FuzzOrder(f *testing.F) {
	data, err := relayer.Encode(&relayer.Order{Request: relayer.Request{ID: "a", Method: "POST", Target: "/x", Body: []byte("b"), Header: http.Header{"K": {"v"}}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		o, err := relayer.Decode(data)
		if err != nil {
			return
		}
		again, err := relayer.Encode(o)
		if err != nil {
			return // strings that are not valid UTF-8 cannot be encoded
		}
		p, err := relayer.Decode(again)
		if err != nil {
			t.Fatal(err)
		}
		qt.Assert(t, p, qt.DeepEquals, o)
	})
}

// queueingSidecar is a sidecar that never answers an order. It queues orders if it is alive.
type queueingSidecar struct{ alive bool }

// Do implements relayer.Targets.
func (s queueingSidecar) Do(ctx context.Context, _ string, k *httpclient.Call) (*httpclient.Response, error) {
	if s.alive {
		k.OnInterim(http.StatusProcessing, http.Header{})
	}
	<-ctx.Done()
	return nil, httpclient.ErrNoResponse
}

// TestCancelledOrder guards against sidecars that count as silent because the caller of a queued
// order has left, or another engine has answered it.
func TestCancelledOrder(t *testing.T) {
	for _, alive := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			const body = 9_190
			client := relayer.NewClient(relayer.ClientSettings{Link: 10e6 / 8}, queueingSidecar{alive}, ticker.NewMonotonicClock(), silent)
			client.SetEngines([]radishspoke.Instance{{ID: "e", Address: "10.0.0.1:80", Role: radishspoke.PrefillRole}})
			ctx, cancel := context.WithTimeout(c.Context(), time.Second)
			defer cancel()
			o := &relayer.Order{Request: relayer.Request{ID: "a", Method: "POST", Target: "/", Header: http.Header{}}}
			_, _, err := client.Do(ctx, "e", o, func(relayer.Stage, time.Duration) {})
			c.Assert(err, qt.ErrorIs, httpclient.ErrNoResponse)
			c.Assert(client.Worthwhile("e", body), qt.Equals, alive)
		})
	}
}
