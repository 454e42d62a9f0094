package biller_test

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"radishspoke"
	"radishspoke/coordination/biller"
	"radishspoke/internal/fake"
	"radishspoke/internal/trial"
	"radishspoke/platform"
	"radishspoke/transport"
)

var start = time.UnixMilli(1_700_000_000_000) // a window of 5 s begins

// incarnation is that of every biller of an office.
const incarnation = 2

// intake takes reports and can lose their answers.
type intake struct {
	got  []string
	lose int
}

func (i *intake) ReportUsage(_ context.Context, epoch, window int64, counts map[string]int64) error {
	i.got = append(i.got, fmt.Sprint(epoch, " ", window-start.Unix()/5, " ", counts))
	if i.lose > 0 {
		i.lose--
		return radishspoke.ErrUnavailable
	}
	return nil
}

// office is the state that billers share.
type office struct {
	store  *fake.RowStore
	table  func() radishspoke.Table
	now    time.Time
	intake *intake
	holder string
	epoch  int64
}

func newOffice(c *qt.C) *office {
	o := &office{store: fake.NewRowStore(), now: start, intake: &intake{}, holder: "a", epoch: 1}
	server := httptest.NewServer(o.store)
	c.Cleanup(server.Close)
	o.table = func() radishspoke.Table {
		return platform.NewTable(platform.New(platform.Settings{Store: strings.TrimPrefix(server.URL, "http://")}, &transport.TCP{}, &trial.Clock{}))
	}
	return o
}

func (o *office) biller(name string) *biller.Biller { return o.lifetime(name, incarnation) }

// lifetime returns the biller of one lifetime of a process.
func (o *office) lifetime(name string, n uint64) *biller.Biller {
	return biller.New(biller.Settings{Window: 5 * time.Second, Settle: 1500 * time.Millisecond},
		func() (string, uint64) { return name, n }, o.table(), o.intake,
		func() (time.Time, bool) { return o.now, true },
		func() (int64, bool) { return o.epoch, o.holder == name }, slog.New(slog.DiscardHandler))
}

// TestWindows reports two windows, with what another entry counted before it
// was killed.
func TestWindows(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	o := newOffice(c)
	a := o.biller("a")
	c.Assert(a.Step(ctx), qt.IsNil)
	a.Begun("t")
	a.Begun("t")
	w := start.Unix() / 5
	a.Heard("b", 1, w, biller.Counts{"t": 3})
	a.Heard("b", 1, w, biller.Counts{"t": 2, "u": 1}) // overtaken
	a.Heard("b", 2, w, biller.Counts{"t": 10})        // after its restart
	o.now = start.Add(6 * time.Second)
	a.Begun("t")
	c.Assert(a.Step(ctx), qt.IsNil)
	c.Assert(o.intake.got, qt.HasLen, 0) // not settled yet
	o.now = start.Add(12 * time.Second)
	c.Assert(a.Step(ctx), qt.IsNil)
	c.Assert(a.Step(ctx), qt.IsNil)
	c.Assert(o.intake.got, qt.DeepEquals, []string{"1 0 map[t:15 u:1]", "1 1 map[t:1]"})
}

// TestTakeOver loses the answer to a report and the duty with it: the successor
// repeats the same figures, however different its own counts are.
func TestTakeOver(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	o := newOffice(c)
	a, b := o.biller("a"), o.biller("b")
	c.Assert(a.Step(ctx), qt.IsNil)
	c.Assert(b.Step(ctx), qt.IsNil)
	a.Begun("t")
	b.Begun("t")
	b.Begun("t")
	o.now = start.Add(7 * time.Second)
	o.intake.lose = 1
	c.Assert(a.Step(ctx), qt.ErrorIs, radishspoke.ErrUnavailable)
	o.holder, o.epoch = "b", 2
	o.now = start.Add(12 * time.Second)
	c.Assert(b.Step(ctx), qt.IsNil)
	c.Assert(o.intake.got, qt.DeepEquals, []string{"1 0 map[t:1]", "2 0 map[t:1]", "2 1 map[]"})
	c.Assert(a.Step(ctx), qt.IsNil) // it no longer holds the duty
	c.Assert(o.intake.got, qt.HasLen, 3)
}

// TestStopsInTurn stops every entry, one after the other, so that none is left
// that heard of the first: what they knew was written down.
func TestStopsInTurn(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	o := newOffice(c)
	a, b := o.biller("a"), o.biller("b")
	c.Assert(a.Step(ctx), qt.IsNil)
	w := start.Unix() / 5
	a.Begun("t")
	b.Heard("killed", 4, w, biller.Counts{"t": 5}) // b alone had heard of it
	b.Begun("u")
	c.Assert(a.Leave(ctx), qt.IsNil)
	c.Assert(b.Leave(ctx), qt.IsNil)
	next := o.biller("c") // what starts next
	next.Heard("b", incarnation, w, biller.Counts{"u": 1})
	o.now = start.Add(3 * time.Second)
	o.holder = "c"
	c.Assert(next.Step(ctx), qt.IsNil)
	next.Begun("t")
	o.now = start.Add(7 * time.Second)
	c.Assert(next.Step(ctx), qt.IsNil)
	c.Assert(o.intake.got, qt.DeepEquals, []string{"1 0 map[t:7 u:1]"})
	c.Assert(b.Leave(ctx), qt.IsNil) // over its row
}

// TestOwnCountsComeBack stops an entry that had heard of the reporter's own
// counts and left them behind with its own: they count once.
func TestOwnCountsComeBack(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	o := newOffice(c)
	a, b := o.biller("a"), o.biller("b")
	c.Assert(a.Step(ctx), qt.IsNil)
	w := start.Unix() / 5
	a.Begun("t")
	b.Heard("a", incarnation, w, biller.Counts{"t": 1})
	b.Heard("a", incarnation-1, w, biller.Counts{"t": 10}) // of its lifetime before
	c.Assert(b.Leave(ctx), qt.IsNil)
	o.now = start.Add(7 * time.Second)
	c.Assert(a.Step(ctx), qt.IsNil)
	c.Assert(o.intake.got, qt.DeepEquals, []string{"1 0 map[t:11]"})
}

// TestLostFreeze loses the answer to the write that freezes a window.
func TestLostFreeze(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	o := newOffice(c)
	a := o.biller("a")
	c.Assert(a.Step(ctx), qt.IsNil)
	a.Begun("t")
	o.now = start.Add(7 * time.Second)
	o.store.SetFaults(fake.RowFaults{LoseWrites: 1})
	err := a.Step(ctx)
	c.Assert(errors.Is(err, radishspoke.ErrUnavailable), qt.IsTrue)
	c.Assert(o.intake.got, qt.HasLen, 0)
	a.Heard("b", 1, start.Unix()/5, biller.Counts{"t": 5}) // too late for the frozen window
	c.Assert(a.Step(ctx), qt.IsNil)
	c.Assert(o.intake.got, qt.DeepEquals, []string{"1 0 map[t:1]"})
}

// TestAllDie kills every process in the middle of a window, after one that is
// not frozen yet: the next holder knows of both what was saved last, and what
// began since its start.
func TestAllDie(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	o := newOffice(c)
	w := start.Unix() / 5
	a := o.biller("a")
	c.Assert(a.Step(ctx), qt.IsNil)
	for range 10 {
		a.Begun("t")
		c.Assert(a.Step(ctx), qt.IsNil)
	}
	a.Heard("b", 7, w, biller.Counts{"t": 30, "u": 4})
	o.now = start.Add(5500 * time.Millisecond)
	a.Begun("t")
	a.Heard("b", 7, w+1, biller.Counts{"u": 2})
	c.Assert(a.Step(ctx), qt.IsNil)
	calls := o.store.Calls()
	c.Assert(a.Step(ctx), qt.IsNil) // not due yet
	o.now = o.now.Add(2 * time.Second)
	c.Assert(a.Step(ctx), qt.IsNil) // freezes the first window
	c.Assert(a.Step(ctx), qt.IsNil) // nothing new
	c.Assert(o.store.Calls()-calls <= 3, qt.IsTrue, qt.Commentf("%d", o.store.Calls()-calls))
	o.intake.got = nil

	// All die. The first window is reported again as it was, the second one
	// has what both counted.
	o.epoch = 2
	next := o.lifetime("a", incarnation+1)
	o.now = start.Add(9 * time.Second)
	c.Assert(next.Step(ctx), qt.IsNil)
	next.Begun("u")
	o.now = start.Add(12 * time.Second)
	c.Assert(next.Step(ctx), qt.IsNil)
	c.Assert(next.Step(ctx), qt.IsNil)
	c.Assert(o.intake.got, qt.DeepEquals, []string{"2 0 map[t:40 u:4]", "2 1 map[t:1 u:3]"})
}

// TestLongRow saves the counts of 29 entries and 16 teams within a second's share
// of bytes, and of more entries than a row holds not at all.
func TestLongRow(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	o := newOffice(c)
	w := start.Unix() / 5
	a := o.biller("a")
	hear := func(entries, more int) {
		for i := range entries {
			counts := biller.Counts{}
			for n := range 16 {
				counts[fmt.Sprint("team", 1000+n)] = int64(100 + more)
			}
			a.Heard(fmt.Sprint("front-lakehead-a-", i), 3, w, counts)
		}
	}
	saved := func() int {
		r, err := o.table().Read(ctx, "usage/part/a")
		if errors.Is(err, radishspoke.ErrNotFound) {
			return 0
		}
		c.Assert(err, qt.IsNil)
		return len(r.Value)
	}
	hear(29, 0)
	c.Assert(a.Step(ctx), qt.IsNil)
	first := saved()
	c.Assert(first > 0 && first <= 5<<10, qt.IsTrue, qt.Commentf("%d bytes", first))
	hear(29, 1)
	o.now = o.now.Add(time.Second)
	calls := o.store.Calls()
	c.Assert(a.Step(ctx), qt.IsNil)
	c.Assert(o.store.Calls(), qt.Equals, calls+1)
	hear(1000, 2)
	o.now = o.now.Add(time.Second)
	c.Assert(a.Step(ctx), qt.IsNil)
	c.Assert(saved() < 2*first, qt.IsTrue)
}

// FuzzPart reads rows of counts that may hold anything: it takes what it can and
// goes on.
func FuzzPart(f *testing.F) {
	f.Add([]byte(`{"teams":["t"],"windows":{"340000000":{"b/7":[3]}}}`))
	f.Add([]byte(`{"teams":["t","u"],"windows":{"340000000":{"b":[3],"/":[1,2],"c/x":[1,2]}}}`))
	f.Add([]byte(`[`))
	f.Fuzz(func(t *testing.T, row []byte) {
		c := qt.New(t)
		o := newOffice(c)
		envelope, err := json.Marshal(map[string]any{"version": 1, "write": "x", "value": row})
		c.Assert(err, qt.IsNil)
		o.store.Put("radishspoke", "usage/part/b", envelope)
		a := o.biller("a")
		c.Assert(a.Step(context.Background()), qt.IsNil)
		a.Begun("t")
		o.now = start.Add(7 * time.Second)
		_ = a.Step(context.Background()) // the store may refuse the row
		c.Assert(len(o.intake.got) <= 1, qt.IsTrue)
	})
}
