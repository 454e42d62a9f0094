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
	"radishspoke/internal/disabler"
)

// Backup is a sidecar's copy of the usage of answers that entries may not have
// written yet. Create it with NewBackup. It is safe for concurrent use.
type Backup struct {
	table  radishspoke.Table
	name   string
	window func() time.Duration

	mu      sync.Mutex
	entries map[string]*entryAnswers // by process name
	orphans []orphan
}

// entryAnswers holds the answers that one incarnation of an entry may not have
// written.
type entryAnswers struct {
	incarnation uint64
	lastHeard   time.Time
	answers     []radishspoke.MeteredAnswer
}

// orphan holds the answers that an ended incarnation may not have written.
type orphan struct {
	process string
	entryAnswers
	key string // of the row, once a write has been tried
}

const maxAnswers = 1 << 16 // of one entry; further ones are not kept

// NewBackup returns the Backup of the sidecar with the name. The function
// window returns the length of a billing window.
func NewBackup(t radishspoke.Table, name string, window func() time.Duration) *Backup {
	return &Backup{table: t, name: name, window: window, entries: map[string]*entryAnswers{}}
}

// Add records an answer that an entry has counted.
func (w *Backup) Add(process string, incarnation uint64, a radishspoke.MeteredAnswer) {
	w.mu.Lock()
	defer w.mu.Unlock()
	r := w.entryFor(process, incarnation)
	if len(r.answers) < maxAnswers {
		r.answers = append(r.answers, a)
	}
}

// Acknowledge drops the answers of an entry that it has written: those up to
// the number through. A new incarnation ends the one before.
func (w *Backup) Acknowledge(process string, incarnation, through uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	r := w.entryFor(process, incarnation)
	kept := r.answers[:0]
	for _, a := range r.answers {
		if a.Sequence > through {
			kept = append(kept, a)
		}
	}
	r.answers = kept
}

// SilentEntries returns the names of the entries that have sent nothing for
// longer than silence and have answers that may be unwritten. They may still
// be running.
func (w *Backup) SilentEntries(now time.Time, silence time.Duration) []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []string
	for n, r := range w.entries {
		if len(r.answers) > 0 && now.Sub(r.lastHeard) > silence {
			out = append(out, n)
		}
	}
	return out
}

// EndEntry records that an entry has ended for good.
func (w *Backup) EndEntry(process string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.endIncarnation(process)
}

// entryFor returns the answers kept of an incarnation of an entry, and ends an
// earlier incarnation. The caller must hold w.mu.
func (w *Backup) entryFor(process string, incarnation uint64) *entryAnswers {
	r := w.entries[process]
	if r != nil && r.incarnation != incarnation {
		w.endIncarnation(process)
		r = nil
	}
	if r == nil {
		r = &entryAnswers{incarnation: incarnation}
		w.entries[process] = r
	}
	r.lastHeard = time.Now()
	return r
}

// endIncarnation moves the answers of an entry to the orphans, which Flush writes.
// The caller must hold w.mu.
func (w *Backup) endIncarnation(process string) {
	r := w.entries[process]
	delete(w.entries, process)
	if r != nil && len(r.answers) > 0 && !disabler.Disabled(disabler.Witnesses) {
		w.orphans = append(w.orphans, orphan{process: process, entryAnswers: *r})
	}
}

// Flush writes the answers of ended incarnations. Those left after an error are
// written by the next call.
func (w *Backup) Flush(ctx context.Context) error {
	w.mu.Lock()
	batch := w.orphans
	w.orphans = nil
	w.mu.Unlock()
	for i, o := range batch {
		if err := w.write(ctx, &o); err != nil {
			batch[i] = o
			w.mu.Lock()
			w.orphans = append(w.orphans, batch[i:]...)
			w.mu.Unlock()
			return err
		}
	}
	return nil
}

// write writes one orphan. If an earlier write failed, it first reads the row, as
// the write may have taken effect.
func (w *Backup) write(ctx context.Context, o *orphan) error {
	if o.key != "" {
		_, err := w.table.Read(ctx, o.key)
		if err == nil {
			return nil
		}
		if !errors.Is(err, radishspoke.ErrNotFound) {
			return fmt.Errorf("check whether usage was written: %w", err)
		}
	} else {
		window := radishspoke.UsageWindow(time.Now(), w.window())
		o.key = fmt.Sprintf("%s%s-%016x/%s", radishspoke.UsagePrefix(window), o.process, o.incarnation, w.name)
	}
	b, err := json.Marshal(radishspoke.UsagePart{Process: o.process, Incarnation: o.incarnation, Answers: o.answers})
	if err != nil {
		return fmt.Errorf("encode usage: %w", err)
	}
	err = w.table.Commit(ctx, uuid.NewString(), radishspoke.Write{Key: o.key, Value: b})
	if err != nil && !errors.Is(err, radishspoke.ErrConflict) {
		return fmt.Errorf("write usage of %s: %w", o.process, err)
	}
	return nil
}
