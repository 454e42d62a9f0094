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

// orphan holds the answers that an entry's incarnation, which has ended, may not
// have written.
type orphan struct {
	process string
	entryAnswers
	key string // key of the row; empty until a write has been tried
}

// maxAnswers is the largest number of answers kept for one entry. Further ones are
// dropped.
const maxAnswers = 1 << 16

// NewBackup returns the Backup of the sidecar with the name. The function
// window returns the length of a billing window.
func NewBackup(t radishspoke.Table, name string, window func() time.Duration) *Backup {
	return &Backup{table: t, name: name, window: window, entries: map[string]*entryAnswers{}}
}

// Add records an answer that an entry has counted.
func (b *Backup) Add(process string, incarnation uint64, a radishspoke.MeteredAnswer) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.entryFor(process, incarnation)
	if len(e.answers) < maxAnswers {
		e.answers = append(e.answers, a)
	}
}

// Acknowledge drops the answers that an entry has written, which are those up to
// the number through. A new incarnation of the entry ends the one before.
func (b *Backup) Acknowledge(process string, incarnation, through uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.entryFor(process, incarnation)
	kept := e.answers[:0]
	for _, a := range e.answers {
		if a.Sequence > through {
			kept = append(kept, a)
		}
	}
	e.answers = kept
}

// SilentEntries returns the names of the entries that have sent nothing for
// longer than silence and have answers that may be unwritten. They may still
// be running.
func (b *Backup) SilentEntries(now time.Time, silence time.Duration) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []string
	for n, e := range b.entries {
		if len(e.answers) > 0 && now.Sub(e.lastHeard) > silence {
			out = append(out, n)
		}
	}
	return out
}

// EndEntry records that an entry has ended for good.
func (b *Backup) EndEntry(process string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.endIncarnation(process)
}

// entryFor returns the answers kept of an incarnation of an entry, and ends an
// earlier incarnation. The caller must hold b.mu.
func (b *Backup) entryFor(process string, incarnation uint64) *entryAnswers {
	e := b.entries[process]
	if e != nil && e.incarnation != incarnation {
		b.endIncarnation(process)
		e = nil
	}
	if e == nil {
		e = &entryAnswers{incarnation: incarnation}
		b.entries[process] = e
	}
	e.lastHeard = time.Now()
	return e
}

// endIncarnation moves the answers of an entry to the orphans, which Flush writes.
// The caller must hold b.mu.
func (b *Backup) endIncarnation(process string) {
	e := b.entries[process]
	delete(b.entries, process)
	if e != nil && len(e.answers) > 0 && !disabler.Disabled(disabler.UsageBackup) {
		b.orphans = append(b.orphans, orphan{process: process, entryAnswers: *e})
	}
}

// Flush writes the answers of ended incarnations. After an error, the next call
// writes those that are left.
func (b *Backup) Flush(ctx context.Context) error {
	b.mu.Lock()
	batch := b.orphans
	b.orphans = nil
	b.mu.Unlock()
	for i, o := range batch {
		if err := b.write(ctx, &o); err != nil {
			batch[i] = o
			b.mu.Lock()
			b.orphans = append(b.orphans, batch[i:]...)
			b.mu.Unlock()
			return err
		}
	}
	return nil
}

// write writes one orphan. If an earlier write failed, it first reads the row, as
// the write may have taken effect.
func (b *Backup) write(ctx context.Context, o *orphan) error {
	if o.key != "" {
		_, err := b.table.Read(ctx, o.key)
		if err == nil {
			return nil
		}
		if !errors.Is(err, radishspoke.ErrNotFound) {
			return fmt.Errorf("check whether usage was written: %w", err)
		}
	} else {
		window := radishspoke.UsageWindow(time.Now(), b.window())
		o.key = fmt.Sprintf("%s%s-%016x/%s", radishspoke.UsagePrefix(window), o.process, o.incarnation, b.name)
	}
	data, err := json.Marshal(radishspoke.UsagePart{Process: o.process, Incarnation: o.incarnation, Answers: o.answers})
	if err != nil {
		return fmt.Errorf("encode usage: %w", err)
	}
	err = b.table.Commit(ctx, uuid.NewString(), radishspoke.Write{Key: o.key, Value: data})
	if err != nil && !errors.Is(err, radishspoke.ErrConflict) {
		return fmt.Errorf("write usage of %s: %w", o.process, err)
	}
	return nil
}
