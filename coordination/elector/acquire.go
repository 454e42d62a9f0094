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
	rows, at, err := radishspoke.ListAt(ctx, e.table, Prefix)
	if err != nil {
		return fmt.Errorf("read leases: %w", err)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.clock.Now()
	e.readAt = at
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
			e.reconcile(n, h, l, r)
		} else if o, ok := e.observed[n]; !ok || o.version != r.Version {
			e.observed[n] = &observedLease{lease: l, version: r.Version, outdated: r.Outdated, since: now}
		}
	}
	e.dropAbsent(present)
	return nil
}

// dropAbsent forgets observed leases whose rows do not exist any more. In an era of the store
// after the first, a held lease whose row does not exist is kept like one whose row is outdated.
func (e *Elector) dropAbsent(present map[string]bool) {
	for n, o := range e.observed {
		if !present[n] && o.version != e.readAt.Absent() {
			delete(e.observed, n)
		}
	}
	for n, h := range e.held {
		if !present[n] && e.readAt.Era > 0 {
			e.keep(n, h, e.readAt.Absent())
		}
	}
}

// reconcile compares a held lease with its row. It drops the lease if the row is
// no longer that of this holder and epoch, unless the row is outdated.
func (e *Elector) reconcile(n string, h *heldLease, l Lease, r radishspoke.Row) {
	if r.Outdated {
		e.keep(n, h, r.Version)
		return
	}
	if l.Holder != e.settings.Name || l.Epoch != h.lease.Epoch || l.Released {
		e.dropLost(n)
		return
	}
	h.version, h.lease.Beat = r.Version, l.Beat
}

// keep keeps a held lease in a new era of the store, in which its row does not tell who
// holds it, so that the next renewal writes the row anew. The lease is dropped if it has
// expired, as another process may have held it since. No process can have acquired a
// lease that has not expired: they all wait for longer after they have first read the row
// in the new era.
func (e *Elector) keep(n string, h *heldLease, version int64) {
	if e.clock.Now() >= h.until {
		e.dropLost(n)
		return
	}
	if h.version != version {
		e.log.Warn("lease kept in a new era of the store", "lease", n, "epoch", h.lease.Epoch, "era", e.readAt.Era)
	}
	h.version = version
}

// free returns the names of the wanted leases that this process may acquire now.
// These are the leases that no other process can still hold, according to the
// rows last read, and that have been free long enough for the rank of this
// process. An outdated row does not tell that a lease was released, or that its last
// holder was an earlier process of this name. A former holder waits until it last held the
// lease a lease duration ago.
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
			// A missing row counts as a released one.
			o = &observedLease{since: now, lease: Lease{Released: true}, version: e.readAt.Absent(), outdated: e.readAt.Era > 0}
			e.observed[n] = o
		}
		wait := time.Duration(rank) * e.settings.Duration
		ownEarlier := e.settings.Exclusive && o.lease.Holder == e.settings.Name
		if o.outdated || !o.lease.Released && !ownEarlier {
			wait += e.settings.Duration + e.settings.Margin
		}
		wait = max(wait, e.returnWait(o.lease))
		if now-o.since >= wait && now >= e.unansweredUntil[n] {
			out = append(out, n)
		}
	}
	sort.Strings(out)
	return out
}

// acquire acquires one lease with the next epoch. The epoch is higher than all that were
// given out before, in this era of the store or an earlier one: it is higher than the number
// of the position at which the row was read, and each acquisition has a later position.
func (e *Elector) acquire(ctx context.Context, n string) error {
	e.mu.Lock()
	old := e.observed[n]
	sent := e.clock.Now()
	l := Lease{
		Holder: e.settings.Name, Address: e.settings.Address, Epoch: max(old.lease.Epoch, e.readAt.Number()) + 1, Beat: 1,
		Former: e.formerHolders(old, e.settings.Name, sent),
	}
	if !old.outdated {
		l.Note = old.lease.Note
	}
	e.mu.Unlock()
	err := e.table.Commit(ctx, uuid.NewString(), radishspoke.Write{Key: Prefix + n, Value: encode(l), Version: old.version})
	if err != nil {
		return fmt.Errorf("acquire lease %s: %w", n, err)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.observed, n)
	e.held[n] = &heldLease{lease: l, version: old.version + 1, until: e.expiry(sent), agedAt: sent, note: l.Note}
	e.log.Info("lease acquired", "lease", n, "epoch", l.Epoch, "outdated", old.outdated, "previous_holder", old.lease.Holder, "former_holders", len(l.Former))
	return nil
}
