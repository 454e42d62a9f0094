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

// RaceError reports that another change was committed first.
type RaceError struct {
	Base    int64           // the version that the change was based on
	Version int64           // the current version
	Winner  watcher.Pointer // the change that made the current version
}

// Error returns a message with the author, time and note of the other change.
func (e *RaceError) Error() string {
	return fmt.Sprintf("version %d was committed by %s at %s, after version %d that this change is based on: %s",
		e.Version, e.Winner.Author, e.Winner.Time.Format(time.RFC3339), e.Base, e.Winner.Note)
}

// Unwrap returns radishspoke.ErrConflict.
func (e *RaceError) Unwrap() error { return radishspoke.ErrConflict }

// Editor reads and commits configurations. Use New to create one.
type Editor struct{ platform radishspoke.Platform }

// New returns an Editor of the configuration in p.
func New(p radishspoke.Platform) *Editor { return &Editor{platform: p} }

// Current returns the current configuration. If there is none yet, it returns
// version 0 with an empty document.
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

// Version returns version n of the configuration. The error wraps
// radishspoke.ErrNotFound if there is no such version.
func (e *Editor) Version(ctx context.Context, n int64) (*radishspoke.Configuration, error) {
	r, err := e.platform.Read(ctx, historyKey(n))
	if err != nil {
		return nil, fmt.Errorf("read version %d: %w", n, err)
	}
	r.Version = n
	return e.load(ctx, r)
}

// load returns the configuration that a configuration row refers to.
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

// Entry is one version in the history.
type Entry struct {
	Version int64 `json:"version"`
	watcher.Pointer
}

// History returns all versions in ascending order.
func (e *Editor) History(ctx context.Context) ([]Entry, error) {
	rows, err := e.platform.List(ctx, watcher.HistoryPrefix)
	if err != nil {
		return nil, fmt.Errorf("read history: %w", err)
	}
	out := make([]Entry, 0, len(rows))
	for _, r := range rows {
		var entry Entry
		if _, err := fmt.Sscanf(r.Key, watcher.HistoryPrefix+"%d", &entry.Version); err != nil {
			return nil, fmt.Errorf("history row %q: %w", r.Key, err)
		}
		if err := json.Unmarshal(r.Value, &entry.Pointer); err != nil {
			return nil, fmt.Errorf("decode row %s: %w", r.Key, err)
		}
		out = append(out, entry)
	}
	return out, nil
}

// Commit commits d as the version after base and returns the number of the new
// version. A document with an invalid inventory is not committed. The error is a
// *RaceError if base is no longer the current version; if reading the current
// version then fails, it only wraps radishspoke.ErrConflict. The error wraps
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
		return 0, e.raceError(ctx, base)
	}
	if err != nil {
		return 0, fmt.Errorf("commit version %d: %w", base+1, err)
	}
	return base + 1, nil
}

// raceError returns a *RaceError with the current version. If the current version
// cannot be read, the error wraps radishspoke.ErrConflict.
func (e *Editor) raceError(ctx context.Context, base int64) error {
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

// historyKey returns the key of the history row of version n.
func historyKey(n int64) string { return fmt.Sprintf("%s%012d", watcher.HistoryPrefix, n) }
