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
	"radishspoke/internal/breaker"
)

// Witness is a sidecar's memory of answers that entries may not have recorded
// yet. Make it with NewWitness.
type Witness struct {
	table  radishspoke.Table
	name   string
	window func() time.Duration

	mu      sync.Mutex
	entries map[string]*remembered // by name
	orphans []orphan
}

// remembered is what one incarnation of an entry has yet to record.
type remembered struct {
	incarnation uint64
	heard       time.Time
	answers     []radishspoke.MeteredAnswer
}

// orphan is what an incarnation that has ended left unrecorded.
type orphan struct {
	process string
	remembered
	key string // of the row, once one has been tried
}

const maxRemembered = 1 << 16 // answers of one entry

// NewWitness returns the Witness of the sidecar of that name.
func NewWitness(t radishspoke.Table, name string, window func() time.Duration) *Witness {
	return &Witness{table: t, name: name, window: window, entries: map[string]*remembered{}}
}

// Saw notes an answer that an entry has counted.
func (w *Witness) Saw(process string, incarnation uint64, a radishspoke.MeteredAnswer) {
	w.mu.Lock()
	defer w.mu.Unlock()
	r := w.of(process, incarnation)
	if len(r.answers) < maxRemembered {
		r.answers = append(r.answers, a)
	}
}

// Heard notes how far an entry has recorded. A new incarnation ends the one
// before.
func (w *Witness) Heard(process string, incarnation, through uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	r := w.of(process, incarnation)
	kept := r.answers[:0]
	for _, a := range r.answers {
		if a.Sequence > through {
			kept = append(kept, a)
		}
	}
	r.answers = kept
}

// Suspects returns the entries that have not been heard of for the silence
// and have answers yet to record. They may live all the same.
func (w *Witness) Suspects(now time.Time, silence time.Duration) []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []string
	for n, r := range w.entries {
		if len(r.answers) > 0 && now.Sub(r.heard) > silence {
			out = append(out, n)
		}
	}
	return out
}

// Gone notes that an entry has ended for good.
func (w *Witness) Gone(process string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.end(process)
}

// of returns what is remembered of an incarnation.
func (w *Witness) of(process string, incarnation uint64) *remembered {
	r := w.entries[process]
	if r != nil && r.incarnation != incarnation {
		w.end(process)
		r = nil
	}
	if r == nil {
		r = &remembered{incarnation: incarnation}
		w.entries[process] = r
	}
	r.heard = time.Now()
	return r
}

func (w *Witness) end(process string) {
	r := w.entries[process]
	delete(w.entries, process)
	if r != nil && len(r.answers) > 0 && !breaker.Is(breaker.Witnesses) {
		w.orphans = append(w.orphans, orphan{process: process, remembered: *r})
	}
}

// Flush writes what ended entries left unrecorded.
func (w *Witness) Flush(ctx context.Context) error {
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

// write stores one orphan. A row that was tried before and may be there is
// read first.
func (w *Witness) write(ctx context.Context, o *orphan) error {
	if o.key != "" {
		_, err := w.table.Read(ctx, o.key)
		if err == nil {
			return nil
		}
		if !errors.Is(err, radishspoke.ErrNotFound) {
			return fmt.Errorf("resolve usage: %w", err)
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
