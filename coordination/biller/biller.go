package biller

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"radishspoke"
)

// LeaseName is the name of the usage lease. Its holder reports usage.
const LeaseName = "usage"

const (
	frozenKey  = "usage/frozen"
	partPrefix = "usage/part/" // followed by the name of the process that saved the counts
)

// frozenWindow is the content of the row frozenKey: the newest frozen window and
// its counts by team.
type frozenWindow struct {
	Window int64            `json:"window"`
	Counts map[string]int64 `json:"counts"`
}

// UsageReporter receives the counts of a window, by team.
type UsageReporter interface {
	ReportUsage(ctx context.Context, epoch, window int64, counts map[string]int64) error
}

// Settings holds the parameters of a Biller. Window has no default.
type Settings struct {
	Window time.Duration // length of a window

	// Settle is the time from the end of a window until its counts are added
	// up. The default is 3 s, which covers several rounds of datagrams between
	// entries, as saturated links drop some of them.
	Settle time.Duration

	// Save is the shortest interval at which the holder of the lease saves
	// the counts of windows that are not frozen, so that they survive if
	// every process is killed. The default is 1 s. Long rows are saved less
	// often.
	Save time.Duration

	// Kept is the number of past windows whose counts are kept. The default is
	// 24. A window that becomes older than that before it is frozen is not
	// reported.
	Kept int64
}

const (
	defaultSettle = 3 * time.Second
	defaultKept   = 24
	defaultSave   = time.Second
	recentWindows = 4 // windows whose counts are sent to other entries

	// saveRate is the largest rate at which counts are saved, in bytes per
	// second. A process may use 10 KB/s for all control traffic.
	saveRate = 5 << 10

	// clockMargin bounds the difference between the times of day of two processes, which
	// derive them from the clock of the store.
	clockMargin = time.Second

	// maxRowBytes is the length of the longest row that is saved. The
	// platform accepts 64 KiB, with the value encoded in base64.
	maxRowBytes = 44 << 10
)

func (s *Settings) setDefaults() {
	if s.Settle == 0 {
		s.Settle = defaultSettle
	}
	if s.Save == 0 {
		s.Save = defaultSave
	}
	if s.Kept == 0 {
		s.Kept = defaultKept
	}
}

// lifetime identifies one incarnation of a process that counted requests. The
// zero value stands for this process.
type lifetime struct {
	process     string
	incarnation uint64
}

// Counts holds the number of requests that began in one window, by team.
type Counts map[string]int64

// Biller counts requests and reports the counts. Create it with New. Step must not
// be called by two goroutines at a time; the other methods may be.
type Biller struct {
	settings Settings
	table    radishspoke.Table
	reporter UsageReporter
	now      func() (time.Time, bool)
	lease    radishspoke.Lease
	identity func() (process string, incarnation uint64)
	log      *slog.Logger

	mu          sync.Mutex
	windows     map[int64]map[lifetime]Counts
	firstWindow int64  // window in which this process started; -1 if not known
	unassigned  Counts // requests that began before the time of day was known

	frozenWindow  *frozenWindow // as this process wrote or read it; nil if there is none
	frozenVersion int64         // of the row frozenKey
	epoch         int64         // of the lease under which the row was read, or 0 if it must be read again
	followed      int64         // epoch of the lease since whose acquisition this process knows all reports
	reported      bool          // whether frozenWindow was reported successfully
	skipped       int64         // newest window that is not reported because it may have been already
	skippedCount  atomic.Int64  // number of such windows

	// rowMu guards the fields below, as SaveOnStop may write this process's
	// row while Step does.
	rowMu      sync.Mutex
	lastSaved  string    // content of the row that was saved last
	savedEra   int64     // era of the store in which it was saved
	nextSave   time.Time // time from which on the row may be saved again
	rowVersion int64     // version of this process's row; 0 if there is none
	rowKnown   bool      // whether rowVersion is known
}

// New returns a Biller. The function identity returns the name and incarnation of
// this process, and now the time of day and whether it is known. The lease is
// that with the name LeaseName; its note is the newest window that was reported.
func New(s Settings, identity func() (string, uint64), t radishspoke.Table, r UsageReporter, now func() (time.Time, bool),
	lease radishspoke.Lease, log *slog.Logger,
) *Biller {
	s.setDefaults()
	return &Biller{
		settings: s, table: t, reporter: r, now: now, lease: lease, identity: identity, log: log,
		windows: map[int64]map[lifetime]Counts{}, firstWindow: -1, unassigned: Counts{},
	}
}

// Begun counts a request of a team that begins to run now.
func (b *Biller) Begun(team string) {
	at, ok := b.now()
	b.mu.Lock()
	defer b.mu.Unlock()
	if !ok {
		b.unassigned[team]++ // added to the window of the next request once the time is known
		return
	}
	w := b.window(at)
	c := b.counts(w, lifetime{})
	c[team]++
	for t, n := range b.unassigned {
		c[t] += n
		delete(b.unassigned, t)
	}
}

// window returns the number of the window that contains a time.
func (b *Biller) window(at time.Time) int64 { return at.UnixNano() / int64(b.settings.Window) }

// counts returns the counts of a lifetime in window w, and drops windows that are
// too old when w is new. The caller must hold b.mu.
func (b *Biller) counts(w int64, by lifetime) Counts {
	m, ok := b.windows[w]
	if !ok {
		m = map[lifetime]Counts{}
		b.windows[w] = m
		for k := range b.windows {
			if k < w-b.settings.Kept {
				delete(b.windows, k)
			}
		}
	}
	c, ok := m[by]
	if !ok {
		c = Counts{}
		m[by] = c
	}
	return c
}

// RecentCounts returns a copy of this process's own counts of the newest
// windows, by window. It returns nil if the time of day is not known.
func (b *Biller) RecentCounts() map[int64]Counts {
	at, ok := b.now()
	if !ok {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	out := map[int64]Counts{}
	for w := b.window(at) - recentWindows + 1; w <= b.window(at); w++ {
		if c, ok := b.windows[w][lifetime{}]; ok {
			copied := Counts{}
			for t, n := range c {
				copied[t] = n
			}
			out[w] = copied
		}
	}
	return out
}

// Merge merges the counts that another process sent. Counts only grow, so the
// larger value of each team is kept. Counts for a window that has not begun or is not
// kept any more are ignored.
func (b *Biller) Merge(process string, incarnation uint64, window int64, counts Counts) {
	if at, ok := b.now(); ok && !b.keeps(window, at) {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.counts(window, lifetime{process, incarnation})
	for t, n := range counts {
		if n > 0 {
			c[t] = max(c[t], n)
		}
	}
}

// keeps reports whether counts of a window are kept at the given time. The window after
// the present one may have begun on the clock of another process.
func (b *Biller) keeps(window int64, at time.Time) bool {
	present := b.window(at)
	return window >= present-b.settings.Kept && window <= present+1
}

// Step freezes and reports the windows that are due, and saves the counts of the
// others, if this process holds the usage lease. It stops at the first error of the
// table or the reporter; the next call continues from there.
func (b *Biller) Step(ctx context.Context) error {
	at, known := b.now()
	if !known {
		return nil
	}
	b.mu.Lock()
	if b.firstWindow < 0 {
		b.firstWindow = b.window(at)
	}
	b.mu.Unlock()
	for {
		epoch, ok := b.lease.Holds()
		if !ok {
			return nil
		}
		if err := b.readFrozen(ctx, epoch); err != nil {
			return err
		}
		if b.frozenWindow != nil && !b.reported {
			if err := b.reporter.ReportUsage(ctx, epoch, b.frozenWindow.Window, b.frozenWindow.Counts); err != nil {
				return err
			}
			b.reported = true
			b.lease.SetNote(epoch, note(b.frozenWindow.Window))
			b.log.Info("usage reported", "window", b.frozenWindow.Window, "epoch", epoch, "counts", b.frozenWindow.Counts)
		}
		due := b.window(at.Add(-b.settings.Settle)) - 1 // the newest window whose counts may be added up
		next := b.firstWindow
		if b.frozenWindow != nil {
			next = max(b.frozenWindow.Window+1, due-b.settings.Kept)
		}
		next = max(next, b.skipped+1)
		if next > due {
			return b.save(ctx, at)
		}
		if err := b.mergeParts(ctx); err != nil {
			return err
		}
		if err := b.freeze(ctx, next); err != nil {
			return err
		}
	}
}

// readFrozen reads the frozen row if this process has not read it in this epoch of the lease
// and this era of the store.
func (b *Biller) readFrozen(ctx context.Context, epoch int64) error {
	if b.epoch == epoch && radishspoke.PositionOf(b.frozenVersion).Era == b.table.History().Position.Era {
		return nil
	}
	r, err := b.table.Read(ctx, frozenKey)
	var f *frozenWindow
	switch {
	case errors.Is(err, radishspoke.ErrNotFound):
	case err != nil:
		return fmt.Errorf("read frozen usage: %w", err)
	default:
		f = &frozenWindow{}
		if err := json.Unmarshal(r.Value, f); err != nil {
			return fmt.Errorf("decode frozen usage: %w", err)
		}
	}
	switch {
	case !r.Outdated:
		b.frozenWindow, b.reported = f, f != nil && b.lease.Note() == note(f.Window)
	case b.followed != epoch:
		b.skip(f)
	default: // the window that this process froze is the newest one, whatever the row says
	}
	b.frozenVersion, b.followed, b.epoch = r.Version, epoch, epoch
	return nil
}

// note returns the note of the lease which tells that a window was reported, as it was frozen.
func note(window int64) string { return strconv.FormatInt(window, 10) }

// skip handles the content of an outdated row, or its absence, at the start of a tenure. Windows
// that are due may have been frozen and reported by an earlier holder, with counts that
// are lost, and what the row holds may have been written late, by a holder that did
// not report it. None of them is reported: a missing report can be corrected, but not two
// that differ.
func (b *Biller) skip(f *frozenWindow) {
	at, _ := b.now()
	b.frozenWindow, b.reported = f, true
	b.skipped = b.window(at.Add(clockMargin-b.settings.Settle)) - 1
	newest := int64(-1)
	if f != nil {
		newest = f.Window
		b.skippedCount.Add(max(0, b.skipped-newest))
	}
	b.log.Warn("usage not reported, as the store has lost whether it was", "after", newest, "through", b.skipped)
}

// Skipped returns the number of windows that this process did not report because they may
// have been reported before the store came back from an older copy. Those of a
// store that has lost the frozen row are not known, and do not count.
func (b *Biller) Skipped() int64 { return b.skippedCount.Load() }

// freeze adds up the counts of a window and writes them to the frozen row.
func (b *Biller) freeze(ctx context.Context, w int64) error {
	f := &frozenWindow{Window: w, Counts: b.sum(w)}
	data, err := json.Marshal(f)
	if err != nil {
		return fmt.Errorf("encode usage of window %d: %w", w, err)
	}
	err = b.table.Commit(ctx, uuid.NewString(), radishspoke.Write{Key: frozenKey, Value: data, Version: b.frozenVersion})
	if err != nil {
		b.epoch = 0 // read the row again, as it may have changed
		return fmt.Errorf("freeze usage of window %d: %w", w, err)
	}
	b.frozenWindow, b.reported = f, false
	b.frozenVersion++
	return nil
}

// sum returns the counts of all lifetimes in a window.
func (b *Biller) sum(w int64) Counts {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := Counts{}
	for _, c := range b.windows[w] {
		for t, n := range c {
			out[t] += n
		}
	}
	return out
}
