package elector

import (
	"context"
	"encoding/json"
	"fmt"
	"sort"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"radishspoke"
)

// take takes the wanted leases that are free. It reads the rows if there is
// something to learn from them.
func (e *Elector) take(ctx context.Context, want map[string]int) error {
	if !e.curious(want) {
		return nil
	}
	if err := e.read(ctx); err != nil {
		return err
	}
	for _, n := range e.free(want) {
		if err := e.acquire(ctx, n); err != nil && !errors.Is(err, radishspoke.ErrConflict) {
			return err
		}
	}
	return nil
}

// curious tells whether a wanted lease is not held.
func (e *Elector) curious(want map[string]int) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for n := range want {
		if _, ok := e.held[n]; !ok {
			return true
		}
	}
	return false
}

// read learns from the lease rows.
func (e *Elector) read(ctx context.Context) error {
	rows, err := e.table.List(ctx, Prefix)
	if err != nil {
		return fmt.Errorf("read leases: %w", err)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.clock.Now()
	present := map[string]bool{}
	for _, r := range rows {
		n := r.Key[len(Prefix):]
		present[n] = true
		var l Lease
		if err := json.Unmarshal(r.Value, &l); err != nil {
			e.log.Error("lease row unreadable", "lease", n, "error", err)
			continue
		}
		if h, ok := e.held[n]; ok {
			e.relearn(n, h, l, r.Version)
		} else if s, ok := e.seen[n]; !ok || s.version != r.Version {
			e.seen[n] = &seen{lease: l, version: r.Version, since: now}
		}
	}
	for n, s := range e.seen {
		if !present[n] && s.version > 0 {
			delete(e.seen, n)
		}
	}
	return nil
}

// relearn restores the version of a held row after an answer was lost.
func (e *Elector) relearn(n string, h *held, l Lease, version int64) {
	if l.Holder != e.settings.Name || l.Epoch != h.lease.Epoch || l.Released {
		e.lose(n)
		return
	}
	if h.version == versionUnknown {
		h.version, h.lease.Beat = version, l.Beat
	}
}

// free returns the wanted leases that no other process can hold any more, as
// far as the rows tell.
func (e *Elector) free(want map[string]int) []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.clock.Now()
	var out []string
	for n, rank := range want {
		if _, ok := e.held[n]; ok {
			continue
		}
		s, ok := e.seen[n]
		if !ok {
			// A row that is not there is seen as one of version 0.
			s = &seen{since: now, lease: Lease{Released: true}}
			e.seen[n] = s
		}
		wait := time.Duration(rank) * e.settings.Duration
		earlier := e.settings.Exclusive && s.lease.Holder == e.settings.Name
		if !s.lease.Released && !earlier {
			wait += e.settings.Duration + e.settings.Margin
		}
		if now-s.since >= wait {
			out = append(out, n)
		}
	}
	sort.Strings(out)
	return out
}

// acquire takes one lease under the next epoch.
func (e *Elector) acquire(ctx context.Context, n string) error {
	e.mu.Lock()
	l := Lease{Holder: e.settings.Name, Address: e.settings.Address, Epoch: 1, Beat: 1}
	version := int64(0)
	if old, ok := e.seen[n]; ok {
		l.Epoch, version = old.lease.Epoch+1, old.version
	}
	e.mu.Unlock()
	sent := e.clock.Now()
	err := e.table.Commit(ctx, uuid.NewString(), radishspoke.Write{Key: Prefix + n, Value: encode(l), Version: version})
	if err != nil {
		return fmt.Errorf("take lease %s: %w", n, err)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.seen, n)
	e.held[n] = &held{lease: l, version: version + 1, until: e.end(sent)}
	e.log.Info("lease taken", "lease", n, "epoch", l.Epoch)
	return nil
}
