package executor

import (
	"context"
	"log/slog"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"radishspoke"
	"radishspoke/protocol/wire"
	"radishspoke/transport/ticker"
)

// idleEngine is an engine that produces nothing until it is cancelled.
type idleEngine struct{ radishspoke.Engine }

func (idleEngine) Generate(ctx context.Context, _ string, _ radishspoke.Generation, _ int) (radishspoke.TokenStream, error) {
	<-ctx.Done()
	return nil, radishspoke.ErrTargetFailed
}

const testIncarnation = 7

func newExecute(id string, change func(*wire.Execute)) *wire.Execute {
	q := &wire.Execute{RequestId: id, Attempt: 1, RemainingMs: 60_000, Incarnation: testIncarnation, Generation: &wire.Generation{Model: "m"}}
	if change != nil {
		change(q)
	}
	return q
}

func newTestExecutor(settings Settings) *Executor {
	settings.Incarnation = testIncarnation
	return New(settings, idleEngine{}, nil, nil, nil, ticker.New(ticker.NewMonotonicClock()), slog.New(slog.DiscardHandler))
}

// checkLateExecute attaches to a request that has not arrived. When it arrives
// afterwards, it must be refused.
func checkLateExecute(c *qt.C) {
	x := newTestExecutor(Settings{})
	defer x.Close()
	attach := func(q *wire.Execute) { q.Attach, q.Attempt = true, 2 }
	_, _, f := x.admit(newExecute("r", attach))
	c.Assert(f.Outcome, qt.Equals, wire.Outcome_OUTCOME_NOT_RUN)
	r, _, f := x.admit(newExecute("r", nil))
	if f == nil {
		f = r.failure
	}
	c.Assert(f, qt.IsNotNil)
	c.Assert(f.Outcome, qt.Equals, wire.Outcome_OUTCOME_NOT_RUN)
}

func TestLateExecute(t *testing.T) { checkLateExecute(qt.New(t)) }

func TestAdmission(t *testing.T) {
	cases := []struct {
		name    string
		prepare func(x *Executor)
		change  func(q *wire.Execute)
		want    wire.Outcome // unspecified if the request is started
	}{
		{"runs", nil, nil, wire.Outcome_OUTCOME_UNSPECIFIED},
		{"draining", func(x *Executor) { x.Drain(Leaving, true) }, nil, wire.Outcome_OUTCOME_NOT_RUN},
		{"draining has ended", func(x *Executor) { x.Drain(Leaving, true); x.Drain(Leaving, false) }, nil, wire.Outcome_OUTCOME_UNSPECIFIED},
		{"drained for two reasons", func(x *Executor) { x.Drain(Leaving, true); x.Drain(Changing, true); x.Drain(Changing, false) }, nil, wire.Outcome_OUTCOME_NOT_RUN},
		{"too many records", func(x *Executor) { x.admit(newExecute("a", nil)); x.admit(newExecute("b", nil)) }, nil, wire.Outcome_OUTCOME_NOT_RUN},
		{"deadline passed", nil, func(q *wire.Execute) { q.RemainingMs = 0 }, wire.Outcome_OUTCOME_NOT_RUN},
		{"wrong kind", nil, func(q *wire.Execute) { q.Generation, q.Call = nil, &wire.Call{} }, wire.Outcome_OUTCOME_NOT_RUN},
		{"sent to an earlier incarnation", nil, func(q *wire.Execute) { q.Incarnation = 6 }, wire.Outcome_OUTCOME_NOT_RUN},
		{"attach to an earlier incarnation", nil, func(q *wire.Execute) { q.Incarnation, q.Attach = 6, true }, wire.Outcome_OUTCOME_UNKNOWN},
		{"attach to an unknown request", nil, func(q *wire.Execute) { q.Attach = true }, wire.Outcome_OUTCOME_NOT_RUN},
	}
	for _, k := range cases {
		t.Run(k.name, func(t *testing.T) {
			c := qt.New(t)
			x := newTestExecutor(Settings{MaxRecords: 2})
			defer x.Close()
			if k.prepare != nil {
				k.prepare(x)
			}
			_, _, f := x.admit(newExecute("r", k.change))
			c.Assert(f.GetOutcome(), qt.Equals, k.want)
		})
	}
}

// TestAttempts attaches twice for one entry and once for another. Only the newest
// attempt of each entry must receive more of the answer.
func TestAttempts(t *testing.T) {
	c := qt.New(t)
	r := newRecord("r", true, true, 0)
	r.addTokens([]string{"a", "b"})
	c.Assert(r.attach("e1", 1, 0), qt.IsNil)
	superseded := &cursor{record: r, entry: "e1", attempt: 1}
	c.Assert(superseded.next().Tokens, qt.DeepEquals, []string{"a", "b"})
	c.Assert(r.attach("e1", 2, 1), qt.IsNil)
	c.Assert(r.attach("e2", 1, 2), qt.IsNil)
	c.Assert(superseded.next(), qt.IsNil)
	c.Assert(r.attach("e1", 1, 0), qt.IsNotNil)
	c.Assert(r.attach("e1", 3, 9), qt.IsNotNil)
	newest := &cursor{record: r, entry: "e1", attempt: 2, position: 1}
	f := newest.next()
	c.Assert(f.Offset, qt.Equals, uint64(1))
	c.Assert(f.Tokens, qt.DeepEquals, []string{"b"})
	r.finish(&wire.End{}, nil, time.Now())
	c.Assert(newest.next().End.Length, qt.Equals, uint64(2))
}

// TestHeldAnswer adds more data than a record may hold. addData must wait for a
// reader, and attach must refuse an offset whose data was dropped.
func TestHeldAnswer(t *testing.T) {
	c := qt.New(t)
	r := newRecord("r", false, false, 0)
	part := make([]byte, maxHeldBytes/2)
	ctx := t.Context()
	c.Assert(r.addData(ctx, part), qt.IsNil)
	c.Assert(r.addData(ctx, part), qt.IsNil)
	done := make(chan error, 1)
	go func() { done <- r.addData(ctx, part) }()
	c.Assert(r.attach("e", 1, 0), qt.IsNil)
	reader := &cursor{record: r, entry: "e", attempt: 1}
	c.Assert(len(reader.next().Data), qt.Equals, maxHeldBytes)
	c.Assert(<-done, qt.IsNil)
	c.Assert(r.base > 0, qt.IsTrue)
	c.Assert(r.attach("e", 2, 0), qt.IsNotNil)
	c.Assert(r.attach("e", 2, r.base), qt.IsNil)
}
