package meter

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"radishspoke"
	"radishspoke/transport/ticker"
)

// FlushInterval is the interval at which usage is written to the table.
const FlushInterval = 10 * time.Second

// Meter records the usage of an entry's answers. Create it with New. It is safe
// for concurrent use.
type Meter struct {
	table       radishspoke.Table
	process     string
	incarnation uint64
	window      func() time.Duration

	mu      sync.Mutex
	next    uint64 // number of the last answer added
	pending []pendingAnswer

	// flushMu is held during a flush and guards the fields below, except
	// through, which mu guards.
	flushMu        sync.Mutex
	written        map[int64]*written // by window
	through        uint64             // number of the last written answer
	throughVersion int64              // version of the row with the value of through
	commitUnknown  bool               // set if the last flush may or may not have taken effect
}

// pendingAnswer is an answer whose usage has not been written.
type pendingAnswer struct {
	radishspoke.MeteredAnswer
	at time.Time
}

// written holds the content and version of this process's row for one window.
type written struct {
	teams   map[string]radishspoke.UsageTotals
	version int64
}

// New returns the Meter of a process. The function window returns the length of a
// billing window.
func New(t radishspoke.Table, process string, incarnation uint64, window func() time.Duration) *Meter {
	return &Meter{table: t, process: process, incarnation: incarnation, window: window, written: map[int64]*written{}}
}

// Add records the usage of one answer and returns the answer's number. Numbers
// start at 1.
func (m *Meter) Add(team string, u radishspoke.Usage) uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.next++
	m.pending = append(m.pending, pendingAnswer{radishspoke.MeteredAnswer{Sequence: m.next, Team: team, Usage: u}, time.Now()})
	return m.next
}

// WrittenThrough returns the number of the last answer that is in the table, or 0
// if there is none. All answers before it are in the table too.
func (m *Meter) WrittenThrough() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.through
}

// Flush writes the pending answers. After an error, the next call first reads the
// table to see whether the write took effect, and repeats it only if it did not.
func (m *Meter) Flush(ctx context.Context) error {
	m.flushMu.Lock()
	defer m.flushMu.Unlock()
	if m.commitUnknown {
		if err := m.resolve(ctx); err != nil {
			return err
		}
	}
	m.mu.Lock()
	batch := append([]pendingAnswer(nil), m.pending...)
	m.mu.Unlock()
	if len(batch) == 0 {
		return nil
	}
	writes, sums, err := m.writes(batch, time.Now())
	if err != nil {
		return err
	}
	if err := m.table.Commit(ctx, uuid.NewString(), writes...); err != nil {
		m.commitUnknown = true
		return fmt.Errorf("write usage: %w", err)
	}
	m.markWritten(len(batch), sums)
	return nil
}

// writes returns the writes for a batch: a row with the new sums for each window
// that an answer is counted in, and the row with the number of the last answer.
// It also returns the new sums by window.
func (m *Meter) writes(batch []pendingAnswer, now time.Time) ([]radishspoke.Write, map[int64]map[string]radishspoke.UsageTotals, error) {
	length := m.window()
	sums := map[int64]map[string]radishspoke.UsageTotals{}
	for _, a := range batch {
		w := m.windowOf(a.at, now, length)
		if sums[w] == nil {
			sums[w] = m.copySums(w)
		}
		s := sums[w][a.Team]
		s.Add(a.Usage)
		sums[w][a.Team] = s
	}
	through, err := json.Marshal(radishspoke.UsageWatermark{Sequence: batch[len(batch)-1].Sequence})
	if err != nil {
		return nil, nil, fmt.Errorf("encode number of the last answer: %w", err)
	}
	out := []radishspoke.Write{{Key: radishspoke.UsageWatermarkKey(m.process, m.incarnation), Value: through, Version: m.throughVersion}}
	for w, teams := range sums {
		b, err := json.Marshal(radishspoke.UsagePart{Process: m.process, Incarnation: m.incarnation, Teams: teams})
		if err != nil {
			return nil, nil, fmt.Errorf("encode usage: %w", err)
		}
		version := int64(0)
		if o := m.written[w]; o != nil {
			version = o.version
		}
		out = append(out, radishspoke.Write{Key: m.partKey(w), Value: b, Version: version})
	}
	return out, sums, nil
}

// partKey returns the key of this process's row for a window.
func (m *Meter) partKey(window int64) string {
	return fmt.Sprintf("%s%s-%016x", radishspoke.UsagePrefix(window), m.process, m.incarnation)
}

// windowOf returns the window that an answer is written to: the one it ended in,
// or the current one if that no longer accepts writes.
func (m *Meter) windowOf(at, now time.Time, length time.Duration) int64 {
	w := radishspoke.UsageWindow(at, length)
	if now.UnixNano() > (w+1)*int64(length)+int64(radishspoke.UsageWriteGrace) {
		return radishspoke.UsageWindow(now, length)
	}
	return w
}

// copySums returns a copy of the sums written for a window, by team.
func (m *Meter) copySums(window int64) map[string]radishspoke.UsageTotals {
	out := map[string]radishspoke.UsageTotals{}
	if o := m.written[window]; o != nil {
		for t, s := range o.teams {
			out[t] = s
		}
	}
	return out
}

// markWritten records that the first n pending answers are written, with these
// sums by window.
func (m *Meter) markWritten(n int, sums map[int64]map[string]radishspoke.UsageTotals) {
	newest := int64(0)
	for w, teams := range sums {
		o := m.written[w]
		if o == nil {
			o = &written{}
			m.written[w] = o
		}
		o.teams = teams
		o.version++
		newest = max(newest, w)
	}
	for w := range m.written {
		if w < newest-keptWindows {
			delete(m.written, w)
		}
	}
	m.throughVersion++
	m.mu.Lock()
	defer m.mu.Unlock()
	m.through = m.pending[n-1].Sequence
	m.pending = append(m.pending[:0], m.pending[n:]...)
}

// keptWindows is the number of windows before the newest one whose sums are kept.
const keptWindows = 2

// resolve finds out whether a flush that returned an error took effect.
func (m *Meter) resolve(ctx context.Context) error {
	r, err := m.table.Read(ctx, radishspoke.UsageWatermarkKey(m.process, m.incarnation))
	if err != nil && !errors.Is(err, radishspoke.ErrNotFound) {
		return fmt.Errorf("check whether usage was written: %w", err)
	}
	if r.Version == m.throughVersion {
		// The flush has not taken effect so far. As every write names the
		// row version that it replaces, at most one of this flush and
		// the next one can take effect.
		m.commitUnknown = false
		return nil
	}
	var t radishspoke.UsageWatermark
	if err := json.Unmarshal(r.Value, &t); err != nil {
		return fmt.Errorf("decode number of the last answer: %w", err)
	}
	return m.loadWritten(ctx, r.Version, t.Sequence)
}

// loadWritten reads the rows that a flush wrote although it returned an error, and
// drops the pending answers up to the number through. The row with that number
// has the given version.
func (m *Meter) loadWritten(ctx context.Context, version int64, through uint64) error {
	now, length := time.Now(), m.window()
	first := radishspoke.UsageWindow(now, length) - keptWindows
	for w := first; w <= first+keptWindows; w++ {
		r, err := m.table.Read(ctx, m.partKey(w))
		if errors.Is(err, radishspoke.ErrNotFound) {
			continue
		}
		if err != nil {
			return fmt.Errorf("check whether usage was written: %w", err)
		}
		var p radishspoke.UsagePart
		if err := json.Unmarshal(r.Value, &p); err != nil {
			return fmt.Errorf("decode usage: %w", err)
		}
		m.written[w] = &written{teams: p.Teams, version: r.Version}
	}
	m.throughVersion, m.commitUnknown = version, false
	m.mu.Lock()
	defer m.mu.Unlock()
	m.through = through
	for len(m.pending) > 0 && m.pending[0].Sequence <= through {
		m.pending = m.pending[1:]
	}
	return nil
}

// Run calls Flush at every FlushInterval until ctx ends, and calls failed with
// each error.
func (m *Meter) Run(ctx context.Context, t radishspoke.Timers, failed func(error)) {
	ticker.Each(ctx, t, FlushInterval, func() {
		if err := m.Flush(ctx); err != nil && ctx.Err() == nil {
			failed(err)
		}
	})
}
