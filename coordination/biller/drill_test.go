package biller_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"radishspoke"
	"radishspoke/coordination/biller"
	"radishspoke/internal/fake"
)

// stepUntil steps billers, one after the other, until a time after the start of the first
// window. It ignores that the store is unavailable, or that a row has changed.
func (h *harness) stepUntil(c *qt.C, at time.Duration, list ...*biller.Biller) {
	for ; h.now.Before(start.Add(at)); h.now = h.now.Add(500 * time.Millisecond) {
		for _, b := range list {
			if err := b.Step(c.Context()); !errors.Is(err, radishspoke.ErrConflict) && !errors.Is(err, radishspoke.ErrUnavailable) {
				c.Assert(err, qt.IsNil)
			}
		}
	}
}

// TestReportsAfterDrill guards against ONE of issue 50: after the store has come back from an
// older copy, the next holder of the lease reports a window again with other counts.
func TestReportsAfterDrill(t *testing.T) {
	for name, test := range map[string]struct {
		backup  func(*fake.RowStore) fake.Backup
		skipped int64 // windows, as far as their number is known
	}{
		"older row":  {(*fake.RowStore).Backup, 1},
		"no row yet": {func(*fake.RowStore) fake.Backup { return fake.NewRowStore().Backup() }, 0},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			h := newHarness(c)
			a, b := h.biller("a"), h.biller("b")
			h.stepUntil(c, 7*time.Second, a, b) // a reports window 0
			copied := test.backup(h.store)
			a.Begun("t") // in window 1, which a reports, too
			h.stepUntil(c, 13*time.Second, a, b)
			b.Begun("t") // in window 2
			c.Assert(h.reporter.got, qt.DeepEquals, []string{"1 0 map[]", "1 1 map[t:1]"})
			h.store.Restore(copied)
			h.holder, h.epoch = "b", 2
			h.stepUntil(c, 18*time.Second, b)
			c.Assert(h.reporter.got[2:], qt.DeepEquals, []string{"2 2 map[t:1]"})
			c.Assert(b.Skipped(), qt.Equals, test.skipped)

			// A holder that has not followed them begins with the window after b's last.
			third := h.biller("c")
			h.holder, h.epoch = "c", 3
			h.stepUntil(c, 23*time.Second, third)
			c.Assert(h.reporter.got[3:], qt.DeepEquals, []string{"3 2 map[t:1]", "3 3 map[]"})
		})
	}
}

// TestHolderReportsThroughDrill guards against windows that are not reported because of a drill
// although their holder knows that they were not.
func TestHolderReportsThroughDrill(t *testing.T) {
	c := qt.New(t)
	h := newHarness(c)
	a := h.biller("a")
	copied := h.store.Backup()
	h.stepUntil(c, 11*time.Second, a)
	a.Begun("t")
	h.store.Restore(copied)
	h.stepUntil(c, 14*time.Second, a)
	h.store.SetFaults(fake.RowStoreFaults{Status: 503})
	h.stepUntil(c, 18*time.Second, a) // window 2 is due
	h.store.SetFaults(fake.RowStoreFaults{})
	h.store.Restore(copied)
	h.stepUntil(c, 22*time.Second, a)
	c.Assert(h.reporter.got, qt.DeepEquals, []string{"1 0 map[]", "1 1 map[]", "1 2 map[t:1]", "1 3 map[]"})
}

// TestUnconfirmedWindow guards against ONE of issue 50: a frozen row of which the holder never
// heard that it was written comes back in a later era, with counts that were not reported.
func TestUnconfirmedWindow(t *testing.T) {
	c := qt.New(t)
	h := newHarness(c)
	a, b := h.biller("a"), h.biller("b")
	a.Begun("t")
	h.stepUntil(c, 6*time.Second, a, b)
	h.store.SetFaults(fake.RowStoreFaults{LoseResponses: 1})
	h.stepUntil(c, 7*time.Second, a) // writes window 0 without an answer
	copied := h.store.Backup()
	c.Assert(h.reporter.got, qt.HasLen, 0)
	h.store.Restore(fake.NewRowStore().Backup())
	a.Merge("other", 1, start.Unix()/5, biller.Counts{"t": 4})
	h.stepUntil(c, 9*time.Second, a)
	c.Assert(h.reporter.got, qt.DeepEquals, []string{"1 0 map[t:5]"})
	h.store.Restore(copied)
	h.holder, h.epoch = "b", 2
	h.stepUntil(c, 12*time.Second, b)
	c.Assert(h.reporter.got, qt.DeepEquals, []string{"1 0 map[t:5]", "2 1 map[]"})
	c.Assert(b.Skipped(), qt.Equals, int64(0)) // window 0 is the one in the row
}

// TestCountsSavedAfterDrill guards against counts that the store has lost in a drill, and that
// are not saved again until they change: they are gone if every process is killed.
func TestCountsSavedAfterDrill(t *testing.T) {
	c := qt.New(t)
	h := newHarness(c)
	table := h.table()
	a := h.billerOn(table, "a", incarnation)
	h.stepUntil(c, 7*time.Second, a)
	copied := h.store.Backup()
	a.Begun("t") // in window 1
	h.stepUntil(c, 9*time.Second, a)
	h.store.Restore(copied)
	_, err := table.List(c.Context(), "none/") // tells the process of the era
	c.Assert(err, qt.IsNil)
	h.stepUntil(c, 11*time.Second, a)
	rows, err := h.table().List(c.Context(), "usage/part/")
	c.Assert(err, qt.IsNil)
	c.Assert(rows, qt.HasLen, 1)
	c.Assert(string(rows[0].Value), qt.Contains, `"a/2":[1]`)
}
