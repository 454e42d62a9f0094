package biller_test

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"math"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"radishspoke"
	"radishspoke/coordination/biller"
	"radishspoke/internal/fake"
	"radishspoke/internal/simulator"
	"radishspoke/platform"
	"radishspoke/transport"
)

var start = time.UnixMilli(1_700_000_000_000) // start of a window of 5 s

// incarnation is the incarnation of the billers that harness.biller returns.
const incarnation = 2

// reporter records reports. It returns an error for the next loseAnswers of
// them, after recording them.
type reporter struct {
	got         []string
	loseAnswers int
}

func (r *reporter) ReportUsage(_ context.Context, epoch, window int64, counts map[string]int64) error {
	r.got = append(r.got, fmt.Sprint(epoch, " ", window-start.Unix()/5, " ", counts))
	if r.loseAnswers > 0 {
		r.loseAnswers--
		return radishspoke.ErrUnavailable
	}
	return nil
}

// harness is the state that the billers of a test share.
type harness struct {
	store    *fake.RowStore
	table    func() radishspoke.Table
	now      time.Time
	reporter *reporter
	holder   string
	epoch    int64
}

func newHarness(c *qt.C) *harness {
	h := &harness{store: fake.NewRowStore(), now: start, reporter: &reporter{}, holder: "a", epoch: 1}
	server := httptest.NewServer(h.store)
	c.Cleanup(server.Close)
	h.table = func() radishspoke.Table {
		return platform.NewTable(platform.New(platform.Settings{Store: strings.TrimPrefix(server.URL, "http://")}, &transport.TCP{}, &simulator.ManualClock{}))
	}
	return h
}

func (h *harness) biller(name string) *biller.Biller { return h.billerOf(name, incarnation) }

// billerOf returns the biller of one incarnation of a process.
func (h *harness) billerOf(name string, n uint64) *biller.Biller {
	return h.billerOn(h.table(), name, n)
}

// billerOn returns the biller of one incarnation of a process with the given table.
func (h *harness) billerOn(table radishspoke.Table, name string, n uint64) *biller.Biller {
	return biller.New(biller.Settings{Window: 5 * time.Second, Settle: 1500 * time.Millisecond},
		func() (string, uint64) { return name, n }, table, h.reporter,
		func() (time.Time, bool) { return h.now, true },
		testLease{h, name}, slog.New(slog.DiscardHandler))
}

// testLease is the lease of one process, which the harness hands over. It has no notes.
type testLease struct {
	harness *harness
	name    string
}

func (l testLease) Holds() (int64, bool) { return l.harness.epoch, l.harness.holder == l.name }

func (testLease) Use(ctx context.Context, _ int64, f func(context.Context) error) error {
	return f(ctx)
}

func (testLease) Note() string { return "" }

func (testLease) SetNote(int64, string) {}

// TestWindows checks that two windows are reported, with the counts that another
// entry sent before it was killed.
func TestWindows(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	h := newHarness(c)
	a := h.biller("a")
	c.Assert(a.Step(ctx), qt.IsNil)
	a.Begun("t")
	a.Begun("t")
	w := start.Unix() / 5
	a.Merge("b", 1, w, biller.Counts{"t": 3})
	a.Merge("b", 1, w, biller.Counts{"t": 2, "u": 1}) // arrives out of order
	a.Merge("b", 2, w, biller.Counts{"t": 10})        // after a restart
	h.now = start.Add(6 * time.Second)
	a.Begun("t")
	c.Assert(a.Step(ctx), qt.IsNil)
	c.Assert(h.reporter.got, qt.HasLen, 0) // before the settle time
	h.now = start.Add(12 * time.Second)
	c.Assert(a.Step(ctx), qt.IsNil)
	c.Assert(a.Step(ctx), qt.IsNil)
	c.Assert(h.reporter.got, qt.DeepEquals, []string{"1 0 map[t:15 u:1]", "1 1 map[t:1]"})
}

// TestTakeOver loses the answer to a report, and then moves the lease to another
// process. The new holder must report the frozen counts again, although its own
// counts differ.
func TestTakeOver(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	h := newHarness(c)
	a, b := h.biller("a"), h.biller("b")
	c.Assert(a.Step(ctx), qt.IsNil)
	c.Assert(b.Step(ctx), qt.IsNil)
	a.Begun("t")
	b.Begun("t")
	b.Begun("t")
	h.now = start.Add(7 * time.Second)
	h.reporter.loseAnswers = 1
	c.Assert(a.Step(ctx), qt.ErrorIs, radishspoke.ErrUnavailable)
	h.holder, h.epoch = "b", 2
	h.now = start.Add(12 * time.Second)
	c.Assert(b.Step(ctx), qt.IsNil)
	c.Assert(h.reporter.got, qt.DeepEquals, []string{"1 0 map[t:1]", "2 0 map[t:1]", "2 1 map[]"})
	c.Assert(a.Step(ctx), qt.IsNil) // no longer holds the lease
	c.Assert(h.reporter.got, qt.HasLen, 3)
}

// TestSaveOnStop stops every entry, one after the other, so that no running entry
// has received the counts of the first. They must be read from the saved rows.
func TestSaveOnStop(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	h := newHarness(c)
	a, b := h.biller("a"), h.biller("b")
	c.Assert(a.Step(ctx), qt.IsNil)
	w := start.Unix() / 5
	a.Begun("t")
	b.Merge("killed", 4, w, biller.Counts{"t": 5}) // only b received these
	b.Begun("u")
	c.Assert(a.SaveOnStop(ctx), qt.IsNil)
	c.Assert(b.SaveOnStop(ctx), qt.IsNil)
	next := h.biller("c") // starts after both
	next.Merge("b", incarnation, w, biller.Counts{"u": 1})
	h.now = start.Add(3 * time.Second)
	h.holder = "c"
	c.Assert(next.Step(ctx), qt.IsNil)
	next.Begun("t")
	h.now = start.Add(7 * time.Second)
	c.Assert(next.Step(ctx), qt.IsNil)
	c.Assert(h.reporter.got, qt.DeepEquals, []string{"1 0 map[t:7 u:1]"})
	c.Assert(b.SaveOnStop(ctx), qt.IsNil) // replaces its row
}

// TestOwnCountsInOtherRow stops an entry that has saved the counts of the lease
// holder in its row. The holder must not add them to its own counts, but it must
// add the counts of its earlier incarnation.
func TestOwnCountsInOtherRow(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	h := newHarness(c)
	a, b := h.biller("a"), h.biller("b")
	c.Assert(a.Step(ctx), qt.IsNil)
	w := start.Unix() / 5
	a.Begun("t")
	b.Merge("a", incarnation, w, biller.Counts{"t": 1})
	b.Merge("a", incarnation-1, w, biller.Counts{"t": 10}) // of the earlier incarnation of a
	c.Assert(b.SaveOnStop(ctx), qt.IsNil)
	h.now = start.Add(7 * time.Second)
	c.Assert(a.Step(ctx), qt.IsNil)
	c.Assert(h.reporter.got, qt.DeepEquals, []string{"1 0 map[t:11]"})
}

// TestLostFreeze loses the answer to the write that freezes a window. The frozen
// counts must be reported, without counts that arrive later.
func TestLostFreeze(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	h := newHarness(c)
	a := h.biller("a")
	c.Assert(a.Step(ctx), qt.IsNil)
	a.Begun("t")
	h.now = start.Add(7 * time.Second)
	h.store.SetFaults(fake.RowStoreFaults{LoseResponses: 1})
	err := a.Step(ctx)
	c.Assert(errors.Is(err, radishspoke.ErrUnavailable), qt.IsTrue)
	c.Assert(h.reporter.got, qt.HasLen, 0)
	a.Merge("b", 1, start.Unix()/5, biller.Counts{"t": 5}) // after the window was frozen
	c.Assert(a.Step(ctx), qt.IsNil)
	c.Assert(h.reporter.got, qt.DeepEquals, []string{"1 0 map[t:1]"})
}

// TestAllKilled kills every process in the middle of a window, after the previous
// window was frozen. The next holder of the lease must report the frozen window
// again. It must report the window that was open with the counts that were saved
// last and its own.
func TestAllKilled(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	h := newHarness(c)
	w := start.Unix() / 5
	a := h.biller("a")
	c.Assert(a.Step(ctx), qt.IsNil)
	for range 10 {
		a.Begun("t")
		c.Assert(a.Step(ctx), qt.IsNil)
	}
	a.Merge("b", 7, w, biller.Counts{"t": 30, "u": 4})
	h.now = start.Add(5500 * time.Millisecond)
	a.Begun("t")
	a.Merge("b", 7, w+1, biller.Counts{"u": 2})
	c.Assert(a.Step(ctx), qt.IsNil)
	calls := h.store.Calls()
	c.Assert(a.Step(ctx), qt.IsNil) // saving is not due yet
	h.now = h.now.Add(2 * time.Second)
	c.Assert(a.Step(ctx), qt.IsNil) // freezes the first window
	c.Assert(a.Step(ctx), qt.IsNil) // nothing new
	c.Assert(h.store.Calls()-calls <= 3, qt.IsTrue, qt.Commentf("%d", h.store.Calls()-calls))
	h.reporter.got = nil

	// All processes are killed. The first window must be reported again as it
	// was, the second one with the counts of both incarnations.
	h.epoch = 2
	next := h.billerOf("a", incarnation+1)
	h.now = start.Add(9 * time.Second)
	c.Assert(next.Step(ctx), qt.IsNil)
	next.Begun("u")
	h.now = start.Add(12 * time.Second)
	c.Assert(next.Step(ctx), qt.IsNil)
	c.Assert(next.Step(ctx), qt.IsNil)
	c.Assert(h.reporter.got, qt.DeepEquals, []string{"2 0 map[t:40 u:4]", "2 1 map[t:1 u:3]"})
}

// TestLongRow checks that the counts of 29 entries and 16 teams fit into the bytes
// that may be saved in a second, and that no row is saved if it would be too
// long.
func TestLongRow(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	h := newHarness(c)
	w := start.Unix() / 5
	a := h.biller("a")
	receive := func(entries, more int) {
		for i := range entries {
			counts := biller.Counts{}
			for n := range 16 {
				counts[fmt.Sprint("team", 1000+n)] = int64(100 + more)
			}
			a.Merge(fmt.Sprint("front-lakehead-a-", i), 3, w, counts)
		}
	}
	saved := func() int {
		r, err := h.table().Read(ctx, "usage/part/a")
		if errors.Is(err, radishspoke.ErrNotFound) {
			return 0
		}
		c.Assert(err, qt.IsNil)
		return len(r.Value)
	}
	receive(29, 0)
	c.Assert(a.Step(ctx), qt.IsNil)
	first := saved()
	c.Assert(first > 0 && first <= 5<<10, qt.IsTrue, qt.Commentf("%d bytes", first))
	receive(29, 1)
	h.now = h.now.Add(time.Second)
	calls := h.store.Calls()
	c.Assert(a.Step(ctx), qt.IsNil)
	c.Assert(h.store.Calls(), qt.Equals, calls+1)
	receive(1000, 2)
	h.now = h.now.Add(time.Second)
	c.Assert(a.Step(ctx), qt.IsNil)
	c.Assert(saved() < 2*first, qt.IsTrue)
}

// FuzzPart checks that a saved row with any content does not stop the biller.
func FuzzPart(f *testing.F) {
	f.Add([]byte(`{"teams":["t"],"windows":{"340000000":{"b/7":[3]}}}`))
	f.Add([]byte(`{"teams":["t","u"],"windows":{"340000000":{"b":[3],"/":[1,2],"c/x":[1,2]}}}`))
	f.Add([]byte(`[`))
	f.Fuzz(func(t *testing.T, row []byte) {
		c := qt.New(t)
		h := newHarness(c)
		envelope, err := json.Marshal(map[string]any{"version": 1, "write": "x", "value": row})
		c.Assert(err, qt.IsNil)
		h.store.Put("radishspoke", "usage/part/b", envelope)
		a := h.biller("a")
		c.Assert(a.Step(context.Background()), qt.IsNil)
		a.Begun("t")
		h.now = start.Add(7 * time.Second)
		_ = a.Step(context.Background()) // the store may reject the row
		c.Assert(len(h.reporter.got) <= 1, qt.IsTrue)
	})
}

// TestOddWindow guards against counts of another process for a window that can't be, after
// which those of all present windows are dropped.
func TestOddWindow(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	h := newHarness(c)
	a := h.biller("a")
	c.Assert(a.Step(ctx), qt.IsNil)
	a.Begun("t")
	w := start.Unix() / 5
	a.Merge("b", 1, w, biller.Counts{"t": 3, "u": -5})
	for _, odd := range []int64{math.MaxInt64, math.MinInt64, w + 100, -1, 0} {
		a.Merge("b", 1, odd, biller.Counts{"t": 1})
	}
	h.now = start.Add(12 * time.Second)
	c.Assert(a.Step(ctx), qt.IsNil)
	c.Assert(h.reporter.got, qt.DeepEquals, []string{"1 0 map[t:4]", "1 1 map[]"})
}
