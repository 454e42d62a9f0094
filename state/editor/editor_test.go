package editor_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"radishspoke"
	"radishspoke/internal/fake"
	"radishspoke/state/editor"
	"radishspoke/state/storer"
)

const inventory = "[zone a]\n[team t]\nrate = 1\nburst = 1\n"

// operation is a read, or a commit based on the version base.
type operation struct {
	commit bool
	base   int64
	author string
}

// outcome is the result of an operation as seen by the operator.
type outcome struct {
	version int64
	author  string
	race    bool // the commit failed with radishspoke.ErrConflict
	unknown bool // the operation failed with another error
}

// state is the version in the table and its author.
type state struct {
	version int64
	author  string
}

// model is a register with conditional writes. A commit with an unknown outcome
// may have taken effect or not.
var model = porcupine.NondeterministicModel{
	Init:  func() []any { return []any{state{}} },
	Step:  func(s, in, out any) []any { return step(s.(state), in.(operation), out.(outcome)) },
	Equal: func(a, b any) bool { return a == b },
}

// step returns the states that are possible after an operation in state s. It
// returns none if the outcome is not possible in s.
func step(s state, in operation, out outcome) []any {
	next := state{version: in.base + 1, author: in.author}
	switch {
	case !in.commit && (out.unknown || out.version == s.version && out.author == s.author):
		return []any{s}
	case !in.commit:
		return nil
	case out.unknown && s.version == in.base:
		return []any{s, next}
	case out.unknown, out.race && s.version != in.base:
		return []any{s}
	case !out.race && s.version == in.base && out.version == next.version:
		return []any{next}
	}
	return nil
}

// history records concurrent operations.
type history struct {
	mu   sync.Mutex
	list []porcupine.Operation
}

// run calls f, which carries out the operation in, and records the operation.
func (h *history) run(client int, in operation, f func() outcome) outcome {
	start := time.Now()
	out := f()
	end := time.Now().UnixNano()
	if out.unknown {
		end = 1 << 62 // it may take effect at any time
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.list = append(h.list, porcupine.Operation{ClientId: client, Input: in, Call: start.UnixNano(), Output: out, Return: end})
	return out
}

// TestRacingOperators lets operators read and commit concurrently while the
// platform is slow, loses responses and fails. The history must be linearizable
// with each commit applied to the version that it is based on.
func TestRacingOperators(t *testing.T) {
	for seed := range uint64(20) {
		h := runOperators(t, seed)
		qt.Assert(t, porcupine.CheckOperations(model.ToModel(), h), qt.IsTrue, qt.Commentf("seed %d: %+v", seed, h))
	}
}

const (
	operators = 4
	rounds    = 6
)

// runOperators runs operators concurrently and returns their history.
func runOperators(t *testing.T, seed uint64) []porcupine.Operation {
	h := &history{}
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		network := fake.NewNetwork()
		p := fake.NewPlatform()
		l, err := network.Host("platform").Listen("127.0.0.1:1")
		c.Assert(err, qt.IsNil)
		srv := &http.Server{Handler: p.Handler(), ReadHeaderTimeout: time.Minute}
		go func() { _ = srv.Serve(l) }()
		defer func() { _ = srv.Close() }()
		var group sync.WaitGroup
		for i := range operators {
			group.Add(1)
			go func() {
				defer group.Done()
				s := storer.New(network.Host(fmt.Sprint("operator", i)), "127.0.0.1:1", time.Second)
				defer s.Close()
				h.operate(i, editor.New(s), p, rand.New(rand.NewPCG(seed, uint64(i))))
			}()
		}
		group.Wait()
		p.SetFaults(fake.PlatformFaults{})
		time.Sleep(10 * time.Second) // pending requests reach the platform
		s := storer.New(network.Host("reader"), "127.0.0.1:1", time.Second)
		defer s.Close()
		last := h.run(operators, operation{}, func() outcome { return read(editor.New(s)) })
		list, err := editor.New(s).History(context.Background())
		c.Assert(err, qt.IsNil)
		c.Assert(int64(len(list)), qt.Equals, last.version)
	})
	return h.list
}

// operate reads and commits in each round, and changes the platform's faults in
// every second one.
func (h *history) operate(client int, e *editor.Editor, p *fake.Platform, random *rand.Rand) {
	for n := range rounds {
		time.Sleep(time.Duration(random.IntN(300)) * time.Millisecond)
		if n%2 == 0 {
			p.SetFaults(fake.PlatformFaults{LoseResponses: random.IntN(3), SlowMS: random.IntN(400), Outage: random.IntN(8) == 0})
		}
		current := h.run(client, operation{}, func() outcome { return read(e) })
		if current.unknown {
			continue
		}
		in := operation{commit: true, base: current.version, author: fmt.Sprintf("operator %d round %d", client, n)}
		h.run(client, in, func() outcome { return commit(e, in) })
	}
}

func read(e *editor.Editor) outcome {
	v, err := e.Current(context.Background())
	if err != nil {
		return outcome{unknown: true}
	}
	return outcome{version: v.Version, author: v.Document.Author}
}

func commit(e *editor.Editor, in operation) outcome {
	n, err := e.Commit(context.Background(), in.base, radishspoke.Document{Inventory: inventory, Author: in.author})
	switch {
	case err == nil:
		return outcome{version: n}
	case errors.Is(err, radishspoke.ErrConflict):
		return outcome{race: true}
	}
	return outcome{unknown: true}
}
