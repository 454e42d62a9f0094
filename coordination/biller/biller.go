package biller

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"radishspoke"
)

// Duty is the name of the lease under which usage is reported.
const Duty = "usage"

const (
	frozenKey  = "usage/frozen"
	partPrefix = "usage/part/" // of rows with what stopped processes knew
)

// frozen is the content of the row with the newest frozen window.
type frozen struct {
	Window int64            `json:"window"`
	Counts map[string]int64 `json:"counts"`
}

// Intake takes the usage of a window.
type Intake interface {
	ReportUsage(ctx context.Context, epoch, window int64, counts map[string]int64) error
}

// Settings of a Biller.
type Settings struct {
	Window time.Duration // length

	// Settle is how long after its end a window's counts are added up; 3 s
	// if zero: time for some rounds of datagrams, of which full links lose some.
	Settle time.Duration

	// Save is the least time between two times that the holder of the duty
	// writes down the counts of windows that are not frozen, so that they are
	// known if every process dies; 1 s if zero. Long rows are written less
	// often.
	Save time.Duration

	// Kept is the number of windows that are kept; 24 if zero.
	Kept int64
}

const (
	defaultSettle = 3 * time.Second
	defaultKept   = 24
	defaultSave   = time.Second
	recent        = 4 // windows that are told to the others

	// saveRate is how many bytes a second the saving of counts may cost; a
	// process may spend 10 KB/s on control.
	saveRate = 5 << 10

	// mostSaved is the longest row that is saved, in bytes; the platform
	// takes 64 KiB, with the value in base64.
	mostSaved = 44 << 10
)

func (s *Settings) fill() {
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

// counter names who counted: one lifetime of one process. The zero value is
// this process.
type counter struct {
	process     string
	incarnation uint64
}

// Counts are the requests that began in one window, by team.
type Counts map[string]int64

// Biller counts and reports. Make it with New.
type Biller struct {
	settings Settings
	table    radishspoke.Table
	intake   Intake
	now      func() (time.Time, bool)
	tenure   func() (epoch int64, ok bool)
	identity func() (process string, incarnation uint64)
	log      *slog.Logger

	mu      sync.Mutex
	windows map[int64]map[counter]Counts
	first   int64 // the window in which this process started; -1 if not known
	early   Counts

	frozen   *frozen // as this process froze or read it
	version  int64   // of its row
	epoch    int64   // under which it was read
	reported bool    // it has been taken

	// writing guards what follows: a process that stops writes its row, too.
	writing sync.Mutex
	saved   string    // what was written down last
	saving  time.Time // when the next writing is due
	row     int64     // version of the row that it went to; 0 if there was none
	rowRead bool      // row is known
}

// New returns a Biller. Identity tells which lifetime of which process it counts
// for, now tells the time of day
// and tenure the epoch under which this process holds the duty.
func New(s Settings, identity func() (string, uint64), t radishspoke.Table, in Intake, now func() (time.Time, bool),
	tenure func() (int64, bool), log *slog.Logger,
) *Biller {
	s.fill()
	return &Biller{
		settings: s, table: t, intake: in, now: now, tenure: tenure, identity: identity, log: log,
		windows: map[int64]map[counter]Counts{}, first: -1, early: Counts{},
	}
}

// Begun counts a request that began to run now.
func (b *Biller) Begun(team string) {
	at, ok := b.now()
	b.mu.Lock()
	defer b.mu.Unlock()
	if !ok {
		b.early[team]++ // goes into the first window that is known
		return
	}
	w := b.window(at)
	c := b.counts(w, counter{})
	c[team]++
	for t, n := range b.early {
		c[t] += n
		delete(b.early, t)
	}
}

func (b *Biller) window(at time.Time) int64 { return at.UnixNano() / int64(b.settings.Window) }

func (b *Biller) counts(w int64, by counter) Counts {
	m, ok := b.windows[w]
	if !ok {
		m = map[counter]Counts{}
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

// Recent returns this process's counts of the newest windows.
func (b *Biller) Recent() map[int64]Counts {
	at, ok := b.now()
	if !ok {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	out := map[int64]Counts{}
	for w := b.window(at) - recent + 1; w <= b.window(at); w++ {
		if c, ok := b.windows[w][counter{}]; ok {
			copied := Counts{}
			for t, n := range c {
				copied[t] = n
			}
			out[w] = copied
		}
	}
	return out
}

// Heard takes the counts of another process. Counts only grow.
func (b *Biller) Heard(process string, incarnation uint64, window int64, counts Counts) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.counts(window, counter{process, incarnation})
	for t, n := range counts {
		c[t] = max(c[t], n)
	}
}

// Step reports what is due, if this process holds the duty.
func (b *Biller) Step(ctx context.Context) error {
	at, known := b.now()
	if !known {
		return nil
	}
	b.mu.Lock()
	if b.first < 0 {
		b.first = b.window(at)
	}
	b.mu.Unlock()
	for {
		epoch, ok := b.tenure()
		if !ok {
			return nil
		}
		if err := b.learn(ctx, epoch); err != nil {
			return err
		}
		if b.frozen != nil && !b.reported {
			if err := b.intake.ReportUsage(ctx, epoch, b.frozen.Window, b.frozen.Counts); err != nil {
				return err
			}
			b.reported = true
			b.log.Info("usage reported", "window", b.frozen.Window, "epoch", epoch, "counts", b.frozen.Counts)
		}
		due := b.window(at.Add(-b.settings.Settle)) - 1 // the newest window that is settled
		next := b.first
		if b.frozen != nil {
			next = max(b.frozen.Window+1, due-b.settings.Kept)
		}
		if next > due {
			return b.save(ctx, at)
		}
		if err := b.collect(ctx); err != nil {
			return err
		}
		if err := b.freeze(ctx, next); err != nil {
			return err
		}
	}
}

// learn reads the frozen row when the duty is new to this process.
func (b *Biller) learn(ctx context.Context, epoch int64) error {
	if b.epoch == epoch {
		return nil
	}
	r, err := b.table.Read(ctx, frozenKey)
	switch {
	case errors.Is(err, radishspoke.ErrNotFound):
		b.frozen, b.version = nil, 0
	case err != nil:
		return fmt.Errorf("read frozen usage: %w", err)
	default:
		f := &frozen{}
		if err := json.Unmarshal(r.Value, f); err != nil {
			return fmt.Errorf("decode frozen usage: %w", err)
		}
		b.frozen, b.version = f, r.Version
	}
	b.reported, b.epoch = false, epoch
	return nil
}

// freeze adds up the counts of a window and writes them down.
func (b *Biller) freeze(ctx context.Context, w int64) error {
	f := &frozen{Window: w, Counts: b.sum(w)}
	data, err := json.Marshal(f)
	if err != nil {
		return fmt.Errorf("encode usage of window %d: %w", w, err)
	}
	err = b.table.Commit(ctx, uuid.NewString(), radishspoke.Write{Key: frozenKey, Value: data, Version: b.version})
	if err != nil {
		b.epoch = 0 // the row may have changed: it is read again
		return fmt.Errorf("freeze usage of window %d: %w", w, err)
	}
	b.frozen, b.reported = f, false
	b.version++
	return nil
}

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
