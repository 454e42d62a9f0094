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

// acquireFree acquires the wanted leases that are free. It does not read the rows
// if this process holds all wanted leases.
func (e *Elector) acquireFree(ctx context.Context, want map[string]int) error {
	if !e.anyNotHeld(want) {
		return nil
	}
	if err := e.readRows(ctx); err != nil {
		return err
	}
	for _, n := range e.free(want) {
		if err := e.acquire(ctx, n); err != nil && !errors.Is(err, radishspoke.ErrConflict) {
			return err
		}
	}
	return nil
}

// anyNotHeld returns whether at least one of the wanted leases is not held by
// this process.
func (e *Elector) anyNotHeld(want map[string]int) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for n := range want {
		if _, ok := e.held[n]; !ok {
			return true
		}
	}
	return false
}

// readRows reads all lease rows and updates the held and the observed leases.
func (e *Elector) readRows(ctx context.Context) error {
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
			e.log.Error("lease row cannot be decoded", "lease", n, "error", err)
			continue
		}
		if h, ok := e.held[n]; ok {
			e.reconcile(n, h, l, r.Version)
		} else if o, ok := e.observed[n]; !ok || o.version != r.Version {
			e.observed[n] = &observedLease{lease: l, version: r.Version, since: now}
		}
	}
	for n, o := range e.observed {
		if !present[n] && o.version > 0 {
			delete(e.observed, n)
		}
	}
	return nil
}

// reconcile compares a held lease with its row. It drops the lease if the row is
// no longer that of this holder and epoch, and restores the version of the row if
// it is unknown.
func (e *Elector) reconcile(n string, h *heldLease, l Lease, version int64) {
	if l.Holder != e.settings.Name || l.Epoch != h.lease.Epoch || l.Released {
		e.dropLost(n)
		return
	}
	if h.version == versionUnknown {
		h.version, h.lease.Beat = version, l.Beat
	}
}

// free returns the names of the wanted leases that this process may acquire now.
// These are the leases that no other process can still hold, according to the
// rows last read, and that have been free long enough for the rank of this
// process.
func (e *Elector) free(want map[string]int) []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.clock.Now()
	var out []string
	for n, rank := range want {
		if _, ok := e.held[n]; ok {
			continue
		}
		o, ok := e.observed[n]
		if !ok {
			// A missing row counts as a released one with version 0.
			o = &observedLease{since: now, lease: Lease{Released: true}}
			e.observed[n] = o
		}
		wait := time.Duration(rank) * e.settings.Duration
		ownEarlier := e.settings.Exclusive && o.lease.Holder == e.settings.Name
		if !o.lease.Released && !ownEarlier {
			wait += e.settings.Duration + e.settings.Margin
		}
		if now-o.since >= wait {
			out = append(out, n)
		}
	}
	sort.Strings(out)
	return out
}

// acquire acquires one lease with the next epoch.
func (e *Elector) acquire(ctx context.Context, n string) error {
	e.mu.Lock()
	l := Lease{Holder: e.settings.Name, Address: e.settings.Address, Epoch: 1, Beat: 1}
	version := int64(0)
	if old, ok := e.observed[n]; ok {
		l.Epoch, version = old.lease.Epoch+1, old.version
	}
	e.mu.Unlock()
	sent := e.clock.Now()
	err := e.table.Commit(ctx, uuid.NewString(), radishspoke.Write{Key: Prefix + n, Value: encode(l), Version: version})
	if err != nil {
		return fmt.Errorf("acquire lease %s: %w", n, err)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.observed, n)
	e.held[n] = &heldLease{lease: l, version: version + 1, until: e.expiry(sent)}
	e.log.Info("lease acquired", "lease", n, "epoch", l.Epoch)
	return nil
}
