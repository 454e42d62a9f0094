package biller

import (
	"context"
	"encoding/json"
	"fmt"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"radishspoke"
)

// part is the content of the row in which a process saves its own counts and those
// that it has received. Team names are stored only once, as rows with many
// processes and teams are written often.
type part struct {
	Teams []string `json:"teams"`

	// Windows holds, by window and lifetime, the count of each team in the
	// order of Teams. The key of a lifetime is PROCESS/INCARNATION.
	Windows map[int64]map[string][]int64 `json:"windows"`
}

// String returns the lifetime in the form PROCESS/INCARNATION, as stored in rows.
func (l lifetime) String() string { return l.process + "/" + strconv.FormatUint(l.incarnation, 10) }

// parseLifetime parses the form that String returns.
func parseLifetime(text string) (lifetime, error) {
	i := strings.LastIndexByte(text, '/')
	if i <= 0 {
		return lifetime{}, fmt.Errorf("lifetime %q has no process name", text)
	}
	n, err := strconv.ParseUint(text[i+1:], 10, 64)
	if err != nil {
		return lifetime{}, fmt.Errorf("parse incarnation of lifetime %q: %w", text, err)
	}
	return lifetime{text[:i], n}, nil
}

// SaveOnStop saves the counts of the newest windows when this process stops, as
// the processes that have received them may stop before they report them.
func (b *Biller) SaveOnStop(ctx context.Context) error {
	at, ok := b.now()
	if !ok {
		return nil
	}
	b.rowMu.Lock()
	defer b.rowMu.Unlock()
	b.rowKnown = false // read the version again, as a write with an old one would not be retried
	return b.writePart(ctx, b.window(at)-recentWindows)
}

// writePart writes this process's row with all counts from window since on. If the
// row's version is not known, it first merges the row's content, which an earlier
// incarnation may have written. The caller must hold b.rowMu.
func (b *Biller) writePart(ctx context.Context, since int64) error {
	process, _ := b.identity()
	key := partPrefix + process
	if !b.rowKnown {
		r, err := b.table.Read(ctx, key)
		switch {
		case err == nil:
			b.rowVersion = r.Version
			b.mergePart(r)
		case errors.Is(err, radishspoke.ErrNotFound):
			b.rowVersion = r.Version
		default:
			return fmt.Errorf("read saved usage: %w", err)
		}
	}
	data, err := b.encodeCounts(since)
	if err != nil {
		return err
	}
	err = b.table.Commit(ctx, uuid.NewString(), radishspoke.Write{Key: key, Value: data, Version: b.rowVersion})
	b.rowKnown = err == nil
	if err != nil {
		return fmt.Errorf("save usage: %w", err)
	}
	b.rowVersion++
	return nil
}

// save writes the counts of windows that are not frozen to this process's row, if
// that is due and they have changed. If every process is killed, the row is the
// only record of them.
func (b *Biller) save(ctx context.Context, at time.Time) error {
	b.rowMu.Lock()
	defer b.rowMu.Unlock()
	if at.Before(b.nextSave) {
		return nil
	}
	if era := b.table.History().Position.Era; era != b.savedEra {
		// The store may have lost what was saved.
		b.lastSaved, b.savedEra, b.rowKnown = "", era, false
	}
	since := b.window(at) - recentWindows
	if b.frozenWindow != nil {
		since = max(since, b.frozenWindow.Window+1)
	}
	data, err := b.encodeCounts(since)
	if err != nil || string(data) == b.lastSaved {
		return err
	}
	b.nextSave = at.Add(max(b.settings.Save, time.Duration(float64(len(data))/saveRate*float64(time.Second))))
	if len(data) > maxRowBytes {
		b.log.Warn("usage not saved, its row is too long", "bytes", len(data), "most", maxRowBytes)
		return nil
	}
	if err := b.writePart(ctx, since); err != nil {
		return err
	}
	b.lastSaved = string(data)
	return nil
}

// encodeCounts returns the content of a row with all counts from window since on.
// This process's own counts are stored under its name and incarnation.
func (b *Biller) encodeCounts(since int64) ([]byte, error) {
	process, incarnation := b.identity()
	b.mu.Lock()
	defer b.mu.Unlock()
	names := map[string]bool{}
	for w, m := range b.windows {
		for _, c := range m {
			for t := range c {
				names[t] = names[t] || w >= since
			}
		}
	}
	out := part{Windows: map[int64]map[string][]int64{}}
	for t, used := range names {
		if used {
			out.Teams = append(out.Teams, t)
		}
	}
	sort.Strings(out.Teams)
	for w, m := range b.windows {
		if w < since {
			continue
		}
		out.Windows[w] = map[string][]int64{}
		for by, c := range m {
			if by == (lifetime{}) {
				by = lifetime{process, incarnation}
			}
			counts := make([]int64, len(out.Teams))
			for i, t := range out.Teams {
				counts[i] = c[t]
			}
			out.Windows[w][by.String()] = counts
		}
	}
	data, err := json.Marshal(out)
	if err != nil {
		return nil, fmt.Errorf("encode usage: %w", err)
	}
	return data, nil
}

// mergeParts merges the counts of the rows of all processes.
func (b *Biller) mergeParts(ctx context.Context) error {
	rows, err := b.table.List(ctx, partPrefix)
	if err != nil {
		return fmt.Errorf("list saved usage: %w", err)
	}
	for _, r := range rows {
		b.mergePart(r)
	}
	return nil
}

// mergePart merges the counts of a row. It logs and skips counts that it can't
// decode.
func (b *Biller) mergePart(r radishspoke.Row) {
	var p part
	if err := json.Unmarshal(r.Value, &p); err != nil {
		b.log.Error("saved usage can't be decoded", "row", r.Key, "error", err)
		return
	}
	process, incarnation := b.identity()
	at, _ := b.now()
	oldest := b.window(at) - b.settings.Kept
	for w, m := range p.Windows {
		for name, numbers := range m {
			by, err := parseLifetime(name)
			if err != nil || len(numbers) != len(p.Teams) {
				b.log.Error("saved usage can't be decoded", "row", r.Key, "lifetime", name, "counts", len(numbers), "teams", len(p.Teams), "error", err)
				continue
			}
			// Rows of other processes also hold the counts that this process
			// sent to them, which must not be added twice.
			if w < oldest || by == (lifetime{process, incarnation}) {
				continue
			}
			counts := Counts{}
			for i, n := range numbers {
				if n > 0 {
					counts[p.Teams[i]] = n
				}
			}
			b.Merge(by.process, by.incarnation, w, counts)
		}
	}
}
