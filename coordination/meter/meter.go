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

// FlushInterval is the time between two writes of an entry's usage.
const FlushInterval = 10 * time.Second

// Meter is an entry's record of usage. Make it with New.
type Meter struct {
	table       radishspoke.Table
	process     string
	incarnation uint64
	window      func() time.Duration

	mu      sync.Mutex
	next    uint64
	pending []answer

	flushing sync.Mutex // held through a flush, over what follows
	written  map[int64]*written
	through  uint64
	row      int64 // version of the through row
	unsure   bool  // whether the last flush took effect is not known
}

// answer is one that has not been written.
type answer struct {
	radishspoke.MeteredAnswer
	at time.Time
}

// written is what has been written of one window.
type written struct {
	teams   map[string]radishspoke.Sums
	version int64
}

// New returns the Meter of a process. Window returns the length of a billing
// window.
func New(t radishspoke.Table, process string, incarnation uint64, window func() time.Duration) *Meter {
	return &Meter{table: t, process: process, incarnation: incarnation, window: window, written: map[int64]*written{}}
}

// Add records one answer and returns its number.
func (m *Meter) Add(team string, u radishspoke.Usage) uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.next++
	m.pending = append(m.pending, answer{radishspoke.MeteredAnswer{Sequence: m.next, Team: team, Usage: u}, time.Now()})
	return m.next
}

// Through returns the number up to which usage is in the table.
func (m *Meter) Through() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.through
}

// Flush writes what is pending. After an error the same is written again,
// once it is known that the first try took no effect.
func (m *Meter) Flush(ctx context.Context) error {
	m.flushing.Lock()
	defer m.flushing.Unlock()
	if m.unsure {
		if err := m.resolve(ctx); err != nil {
			return err
		}
	}
	m.mu.Lock()
	batch := append([]answer(nil), m.pending...)
	m.mu.Unlock()
	if len(batch) == 0 {
		return nil
	}
	writes, sums, err := m.writes(batch, time.Now())
	if err != nil {
		return err
	}
	if err := m.table.Commit(ctx, uuid.NewString(), writes...); err != nil {
		m.unsure = true
		return fmt.Errorf("write usage: %w", err)
	}
	m.done(len(batch), sums)
	return nil
}

// writes makes the transaction for a batch: the new sums of each window it
// falls in, and the through row.
func (m *Meter) writes(batch []answer, now time.Time) ([]radishspoke.Write, map[int64]map[string]radishspoke.Sums, error) {
	length := m.window()
	sums := map[int64]map[string]radishspoke.Sums{}
	for _, a := range batch {
		w := m.windowOf(a.at, now, length)
		if sums[w] == nil {
			sums[w] = m.copyOf(w)
		}
		s := sums[w][a.Team]
		s.Add(a.Usage)
		sums[w][a.Team] = s
	}
	through, err := json.Marshal(radishspoke.UsageThrough{Sequence: batch[len(batch)-1].Sequence})
	if err != nil {
		return nil, nil, fmt.Errorf("encode through: %w", err)
	}
	out := []radishspoke.Write{{Key: radishspoke.UsageThroughKey(m.process, m.incarnation), Value: through, Version: m.row}}
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

func (m *Meter) partKey(window int64) string {
	return fmt.Sprintf("%s%s-%016x", radishspoke.UsagePrefix(window), m.process, m.incarnation)
}

// windowOf returns the window that an answer is written to: its own, or the
// open one if its own takes no more.
func (m *Meter) windowOf(at, now time.Time, length time.Duration) int64 {
	w := radishspoke.UsageWindow(at, length)
	if now.UnixNano() > (w+1)*int64(length)+int64(radishspoke.UsageWriteGrace) {
		return radishspoke.UsageWindow(now, length)
	}
	return w
}

func (m *Meter) copyOf(window int64) map[string]radishspoke.Sums {
	out := map[string]radishspoke.Sums{}
	if o := m.written[window]; o != nil {
		for t, s := range o.teams {
			out[t] = s
		}
	}
	return out
}

// done notes that the first n pending answers are written.
func (m *Meter) done(n int, sums map[int64]map[string]radishspoke.Sums) {
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
	m.row++
	m.mu.Lock()
	defer m.mu.Unlock()
	m.through = m.pending[n-1].Sequence
	m.pending = append(m.pending[:0], m.pending[n:]...)
}

const keptWindows = 2

// resolve reads the rows back after a flush without an answer.
func (m *Meter) resolve(ctx context.Context) error {
	r, err := m.table.Read(ctx, radishspoke.UsageThroughKey(m.process, m.incarnation))
	if err != nil && !errors.Is(err, radishspoke.ErrNotFound) {
		return fmt.Errorf("resolve usage: %w", err)
	}
	if r.Version == m.row {
		// Not yet. The rows' versions keep the first try and the next from
		// both taking effect.
		m.unsure = false
		return nil
	}
	var t radishspoke.UsageThrough
	if err := json.Unmarshal(r.Value, &t); err != nil {
		return fmt.Errorf("decode through: %w", err)
	}
	return m.adopt(ctx, r.Version, t.Sequence)
}

// adopt takes over what a flush without an answer has written.
func (m *Meter) adopt(ctx context.Context, version int64, through uint64) error {
	now, length := time.Now(), m.window()
	first := radishspoke.UsageWindow(now, length) - keptWindows
	for w := first; w <= first+keptWindows; w++ {
		r, err := m.table.Read(ctx, m.partKey(w))
		if errors.Is(err, radishspoke.ErrNotFound) {
			continue
		}
		if err != nil {
			return fmt.Errorf("resolve usage: %w", err)
		}
		var p radishspoke.UsagePart
		if err := json.Unmarshal(r.Value, &p); err != nil {
			return fmt.Errorf("decode usage: %w", err)
		}
		m.written[w] = &written{teams: p.Teams, version: r.Version}
	}
	m.row, m.unsure = version, false
	m.mu.Lock()
	defer m.mu.Unlock()
	m.through = through
	for len(m.pending) > 0 && m.pending[0].Sequence <= through {
		m.pending = m.pending[1:]
	}
	return nil
}

// Run flushes until ctx ends.
func (m *Meter) Run(ctx context.Context, t radishspoke.Timers, failed func(error)) {
	ticker.Each(ctx, t, FlushInterval, func() {
		if err := m.Flush(ctx); err != nil && ctx.Err() == nil {
			failed(err)
		}
	})
}
