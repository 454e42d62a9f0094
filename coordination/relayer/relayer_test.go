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
	"radishspoke/coordination/relayer"
	"radishspoke/internal/trial"
	"radishspoke/transport/caller"
	"radishspoke/transport/ticker"
)

var silent = slog.New(slog.DiscardHandler)

// TestPays goes by way of a sidecar only where the second copy of a body takes
// longer than the way.
func TestPays(t *testing.T) {
	c := qt.New(t)
	const body = 9_190
	engine := []radishspoke.Instance{{ID: "e", Address: "10.0.0.1:80", Role: radishspoke.PrefillRole}, {ID: "d", Address: "10.0.0.2:80"}}
	for _, k := range []struct {
		megabits float64
		want     bool
	}{{0, false}, {10, true}, {200, false}, {1000, false}} {
		client := relayer.NewClient(relayer.ClientSettings{Link: k.megabits * 1e6 / 8}, nil, &trial.Clock{}, silent)
		c.Assert(client.Pays("e", body), qt.IsFalse) // not listed yet
		client.List(engine)
		c.Assert(client.Pays("e", body), qt.Equals, k.want, qt.Commentf("%v Mbit/s", k.megabits))
		c.Assert(client.Pays("d", body), qt.IsFalse) // no engine, no sidecar
		client.Lost("e", "test")
		c.Assert(client.Pays("e", body), qt.IsFalse)
	}
}

// TestSlowLink answers a rush of long prompts at entries whose links are slow:
// bodies that are sent twice queue behind each other until a third of the
// objective is gone, bodies that are sent once don't.
func TestSlowLink(t *testing.T) {
	c := qt.New(t)
	const (
		link      = 10e6 / 8                // bytes/s
		body      = 9_190                   // bytes
		rate      = 613 * 1.9 * 1.87 / 28.0 // requests/s at one of 28 entries, in a burst within a rush
		objective = 200 * time.Millisecond
	)
	client := relayer.NewClient(relayer.ClientSettings{Link: link}, nil, &trial.Clock{}, silent)
	client.List([]radishspoke.Instance{{ID: "e", Address: "10.0.0.1:80", Role: radishspoke.PrefillRole}})
	// late returns the share of requests whose last copy has left the host
	// only after a third of the objective.
	late := func() float64 {
		random := rand.New(rand.NewPCG(1, 2))
		var now, free time.Duration
		n, out := 20_000, 0
		for range n {
			copies := 2.0
			if client.Pays("e", body) {
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
	client.Lost("e", "test") // sent twice now
	c.Assert(late() > 0.5, qt.IsTrue, qt.Commentf("%v", late()))
}

// engines is a pair of engines without a network. Readings take 10 ms of
// virtual time.
type engines struct {
	mu      sync.Mutex
	reading int
	most    int // readings at a time
	order   []string
}

// Do implements relayer.Targets.
func (e *engines) Do(_ context.Context, address string, k *caller.Call) (*caller.Answer, error) {
	if address != "reader" {
		return nil, caller.ErrNotSent // the test ends here
	}
	if k.Method == http.MethodDelete {
		return nil, caller.ErrNotSent
	}
	e.mu.Lock()
	e.reading++
	e.most = max(e.most, e.reading)
	e.order = append(e.order, k.Target)
	e.mu.Unlock()
	time.Sleep(10 * time.Millisecond)
	e.mu.Lock()
	e.reading--
	e.mu.Unlock()
	return nil, fmt.Errorf("%w: not read in this test", caller.ErrLost)
}

// TestAllEntries answers a rush of prompts from 28 entries at one engine: the
// order is kept over all of them, so that what can be on time is read before
// what is late, and no more than the window is at the engine.
func TestAllEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		e := &engines{}
		r := relayer.New(relayer.Settings{Engine: "reader", Window: 2}, e, ticker.NewRunClock(), silent)
		var tasks sync.WaitGroup
		ask := func(name string, onTime time.Duration) {
			o := relayer.Order{
				Request: relayer.Request{ID: name, Method: "POST", Target: name, Header: http.Header{}},
				OnTime:  onTime, Deadline: 5 * time.Second, Reading: 10 * time.Millisecond,
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
			ask(fmt.Sprint("late", i), 0)
		}
		for i := range 4 {
			ask(fmt.Sprint("timely", i), 150*time.Millisecond)
		}
		tasks.Wait()
		c.Assert(e.most, qt.Equals, 2)
		c.Assert(e.order, qt.HasLen, 32)
		timely := 0
		for _, n := range e.order[:2+6] { // two were under way, one turn in four is for late ones
			if n[0] == 't' {
				timely++
			}
		}
		c.Assert(timely, qt.Equals, 4)
		c.Assert(r.Running(), qt.Equals, int64(0))
	})
}

// FuzzOrder decodes bytes as orders; what can be read is sent on as it came.
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
			return // text that is not UTF-8 can't be encoded
		}
		p, err := relayer.Decode(again)
		if err != nil {
			t.Fatal(err)
		}
		qt.Assert(t, p, qt.DeepEquals, o)
	})
}
