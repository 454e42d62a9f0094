package editor

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"radishspoke"
	"radishspoke/state/watcher"
)

// RaceError says that another change was committed first.
type RaceError struct {
	Base    int64 // the version that the change was made from
	Version int64 // the current one
	Winner  watcher.Pointer
}

// Error names the winner.
func (e *RaceError) Error() string {
	return fmt.Sprintf("version %d was committed by %s at %s, after version %d that this change was made from: %s",
		e.Version, e.Winner.Author, e.Winner.Time.Format(time.RFC3339), e.Base, e.Winner.Note)
}

// Unwrap returns radishspoke.ErrConflict.
func (e *RaceError) Unwrap() error { return radishspoke.ErrConflict }

// Editor reads and commits configurations. Make it with New.
type Editor struct{ platform radishspoke.Platform }

// New returns an Editor.
func New(p radishspoke.Platform) *Editor { return &Editor{platform: p} }

// Current returns the configuration that the platform holds. Version 0 with
// an empty document means that there is none yet.
func (e *Editor) Current(ctx context.Context) (*radishspoke.Configuration, error) {
	r, err := e.platform.Read(ctx, watcher.CurrentKey)
	if errors.Is(err, radishspoke.ErrNotFound) {
		return &radishspoke.Configuration{}, nil
	}
	if err != nil {
		return nil, fmt.Errorf("read current configuration: %w", err)
	}
	return e.load(ctx, r)
}

// Version returns one version of the history.
func (e *Editor) Version(ctx context.Context, n int64) (*radishspoke.Configuration, error) {
	r, err := e.platform.Read(ctx, historyKey(n))
	if err != nil {
		return nil, fmt.Errorf("read version %d: %w", n, err)
	}
	r.Version = n
	return e.load(ctx, r)
}

func (e *Editor) load(ctx context.Context, r radishspoke.Row) (*radishspoke.Configuration, error) {
	var p watcher.Pointer
	if err := json.Unmarshal(r.Value, &p); err != nil {
		return nil, fmt.Errorf("decode row %s: %w", r.Key, err)
	}
	data, err := e.platform.Get(ctx, watcher.ObjectPrefix+p.Hash)
	if err != nil {
		return nil, fmt.Errorf("read version %d: %w", r.Version, err)
	}
	return watcher.Decode(r.Version, p.Hash, data)
}

// Entry is one line of the history.
type Entry struct {
	Version int64 `json:"version"`
	watcher.Pointer
}

// History returns every version, oldest first.
func (e *Editor) History(ctx context.Context) ([]Entry, error) {
	rows, err := e.platform.List(ctx, watcher.HistoryPrefix)
	if err != nil {
		return nil, fmt.Errorf("read history: %w", err)
	}
	out := make([]Entry, 0, len(rows))
	for _, r := range rows {
		var n Entry
		if _, err := fmt.Sscanf(r.Key, watcher.HistoryPrefix+"%d", &n.Version); err != nil {
			return nil, fmt.Errorf("history row %q: %w", r.Key, err)
		}
		if err := json.Unmarshal(r.Value, &n.Pointer); err != nil {
			return nil, fmt.Errorf("decode row %s: %w", r.Key, err)
		}
		out = append(out, n)
	}
	return out, nil
}

// Commit makes d the next version after base, and returns its number. The
// error is a *RaceError if base is not the current version any more, or wraps
// radishspoke.ErrUnavailable if it is not known whether d was committed.
func (e *Editor) Commit(ctx context.Context, base int64, d radishspoke.Document) (int64, error) {
	data, err := json.Marshal(d)
	if err != nil {
		return 0, fmt.Errorf("encode document: %w", err)
	}
	hash := watcher.Hash(data)
	if _, err := watcher.Decode(base+1, hash, data); err != nil {
		return 0, err
	}
	if err := e.platform.Put(ctx, watcher.ObjectPrefix+hash, data); err != nil {
		return 0, fmt.Errorf("store document: %w", err)
	}
	p, err := json.Marshal(watcher.Pointer{Hash: hash, Author: d.Author, Note: d.Note, Time: d.Time})
	if err != nil {
		return 0, fmt.Errorf("encode row: %w", err)
	}
	err = e.platform.Commit(ctx, uuid.NewString(),
		radishspoke.Write{Key: watcher.CurrentKey, Value: p, Version: base},
		radishspoke.Write{Key: historyKey(base + 1), Value: p})
	if errors.Is(err, radishspoke.ErrConflict) {
		return 0, e.race(ctx, base)
	}
	if err != nil {
		return 0, fmt.Errorf("commit version %d: %w", base+1, err)
	}
	return base + 1, nil
}

// race finds out who committed first.
func (e *Editor) race(ctx context.Context, base int64) error {
	r, err := e.platform.Read(ctx, watcher.CurrentKey)
	if err != nil {
		return fmt.Errorf("another change was committed after version %d: %w", base, radishspoke.ErrConflict)
	}
	out := &RaceError{Base: base, Version: r.Version}
	if err := json.Unmarshal(r.Value, &out.Winner); err != nil {
		return fmt.Errorf("decode row %s: %w", r.Key, err)
	}
	return out
}

func historyKey(n int64) string { return fmt.Sprintf("%s%012d", watcher.HistoryPrefix, n) }
