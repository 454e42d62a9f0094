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

// part is the content of a row that a process leaves behind. Rows of many
// processes and teams are written often, so nothing in them is said twice.
type part struct {
	Teams []string `json:"teams"`

	// Windows have the counts of each lifetime, by team, in the order of
	// Teams. A lifetime is spelled PROCESS/INCARNATION.
	Windows map[int64]map[string][]int64 `json:"windows"`
}

// String spells a lifetime as it stands in rows.
func (c counter) String() string { return c.process + "/" + strconv.FormatUint(c.incarnation, 10) }

// parseCounter reads what String spells.
func parseCounter(text string) (counter, error) {
	i := strings.LastIndexByte(text, '/')
	if i <= 0 {
		return counter{}, fmt.Errorf("lifetime %q has no process", text)
	}
	n, err := strconv.ParseUint(text[i+1:], 10, 64)
	if err != nil {
		return counter{}, fmt.Errorf("lifetime %q: %w", text, err)
	}
	return counter{text[:i], n}, nil
}

// Leave writes down what this process knows of the newest windows, when it
// stops: those that heard of it may stop next.
func (b *Biller) Leave(ctx context.Context) error {
	at, ok := b.now()
	if !ok {
		return nil
	}
	b.writing.Lock()
	defer b.writing.Unlock()
	b.rowRead = false // the last chance is not left to a version that may be old
	return b.write(ctx, b.window(at)-recent)
}

// write writes this process's row with all counts since a window. What an earlier
// lifetime left in the row is kept.
func (b *Biller) write(ctx context.Context, since int64) error {
	process, _ := b.identity()
	key := partPrefix + process
	if !b.rowRead {
		r, err := b.table.Read(ctx, key)
		switch {
		case err == nil:
			b.row = r.Version
			b.take(r)
		case errors.Is(err, radishspoke.ErrNotFound):
			b.row = 0
		default:
			return fmt.Errorf("read usage left before: %w", err)
		}
	}
	data, err := b.known(since)
	if err != nil {
		return err
	}
	err = b.table.Commit(ctx, uuid.NewString(), radishspoke.Write{Key: key, Value: data, Version: b.row})
	b.rowRead = err == nil
	if err != nil {
		return fmt.Errorf("leave usage: %w", err)
	}
	b.row++
	return nil
}

// save writes down the counts of windows that are not frozen, if that is due and
// they have changed. They are all that is left of them if every process dies.
func (b *Biller) save(ctx context.Context, at time.Time) error {
	b.writing.Lock()
	defer b.writing.Unlock()
	if at.Before(b.saving) {
		return nil
	}
	since := b.window(at) - recent
	if b.frozen != nil {
		since = max(since, b.frozen.Window+1)
	}
	data, err := b.known(since)
	if err != nil || string(data) == b.saved {
		return err
	}
	b.saving = at.Add(max(b.settings.Save, time.Duration(float64(len(data))/saveRate*float64(time.Second))))
	if len(data) > mostSaved {
		b.log.Warn("usage not saved, its row is too long", "bytes", len(data), "most", mostSaved)
		return nil
	}
	if err := b.write(ctx, since); err != nil {
		return err
	}
	b.saved = string(data)
	return nil
}

// known returns all counts since a window as a row. What this process counted
// itself goes under its own name.
func (b *Biller) known(since int64) ([]byte, error) {
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
			if by == (counter{}) {
				by = counter{process, incarnation}
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
		return nil, fmt.Errorf("encode usage known: %w", err)
	}
	return data, nil
}

// collect takes what stopped processes have left.
func (b *Biller) collect(ctx context.Context) error {
	rows, err := b.table.List(ctx, partPrefix)
	if err != nil {
		return fmt.Errorf("read usage left behind: %w", err)
	}
	for _, r := range rows {
		b.take(r)
	}
	return nil
}

// take takes the counts of a row.
func (b *Biller) take(r radishspoke.Row) {
	var p part
	if err := json.Unmarshal(r.Value, &p); err != nil {
		b.log.Error("usage left behind is unreadable", "row", r.Key, "error", err)
		return
	}
	process, incarnation := b.identity()
	at, _ := b.now()
	oldest := b.window(at) - b.settings.Kept
	for w, m := range p.Windows {
		for lifetime, numbers := range m {
			by, err := parseCounter(lifetime)
			if err != nil || len(numbers) != len(p.Teams) {
				b.log.Error("usage left behind is unreadable", "row", r.Key, "lifetime", lifetime, "counts", len(numbers), "teams", len(p.Teams), "error", err)
				continue
			}
			// Its own counts come back from those who had heard of them.
			if w < oldest || by == (counter{process, incarnation}) {
				continue
			}
			counts := Counts{}
			for i, n := range numbers {
				if n > 0 {
					counts[p.Teams[i]] = n
				}
			}
			b.Heard(by.process, by.incarnation, w, counts)
		}
	}
}
