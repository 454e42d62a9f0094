package fleetwatcher

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"radishspoke"
	"radishspoke/transport/ticker"
)

// Table returns the newest configuration known, or nil.
func (w *Watcher) Table() *radishspoke.RoutingTable {
	w.mu.RLock()
	defer w.mu.RUnlock()
	return w.table
}

// Reported returns the newest version of the configuration that another process has
// reported, or 0.
func (w *Watcher) Reported() int64 {
	w.mu.RLock()
	defer w.mu.RUnlock()
	return w.reported
}

// Proof returns the latest time, on the process's clock, at which the
// configuration that Table returns was known to be the newest.
func (w *Watcher) Proof() time.Duration {
	w.mu.RLock()
	defer w.mu.RUnlock()
	return w.proof
}

// UpdateConfiguration records that the configuration with the given version
// was the newest at the time proof, as reported by the source or by another
// process. If t is not nil and newer than the known configuration, it replaces
// that one. If t is nil, the sender assumes that the configuration is known
// already.
func (w *Watcher) UpdateConfiguration(t *radishspoke.RoutingTable, version int64, proof time.Duration) {
	if t != nil {
		w.configuring.Lock()
		defer w.configuring.Unlock()
	}
	w.mu.Lock()
	now := w.clock.Now()
	newer := t != nil && (w.table == nil || t.Version > w.table.Version)
	if newer {
		w.table = t
	}
	known := int64(0)
	if w.table != nil {
		known = w.table.Version
	}
	if w.table != nil && known == version {
		w.proof = max(w.proof, proof)
	}
	reported := version > max(known, w.reported)
	if reported {
		w.reported, w.reportedAt = version, now
	}
	reportedBefore := time.Duration(0)
	if newer && known == w.reported {
		reportedBefore = now - w.reportedAt
	}
	w.mu.Unlock()
	if reported {
		w.log.Info("newer configuration reported", "version", version, "in_force", known)
	}
	if version > known {
		signal(w.behind)
	}
	if newer {
		w.log.Info("configuration in force", "version", t.Version, "rules", len(t.Rules), "teams", len(t.Teams), "reported_before", reportedBefore)
		for _, reason := range t.Skipped {
			w.log.Warn("part of the configuration skipped", "version", t.Version, "error", reason)
		}
		w.changed(t)
	}
}

// RunConfiguration follows the configuration until ctx ends.
func (w *Watcher) RunConfiguration(ctx context.Context) {
	after, known, lost := radishspoke.StorePosition{}, false, false
	stored := int64(0) // newest version of the configuration in the store, as last read
	pause := retryPause
	for ctx.Err() == nil {
		if version, at, ok := w.storedAfter(after); ok {
			after, known, stored = at, true, version
		}
		sent := w.clock.Now()
		var t *radishspoke.RoutingTable
		var err error
		if !known {
			t, after, err = w.source.Configuration(ctx)
			known, stored = err == nil && t != nil, 0
		} else {
			t, after, err = w.next(ctx, after)
			if errors.Is(err, errWaitAborted) {
				continue
			}
			// After an error the configuration is read in full, as a change may
			// have been missed.
			known = err == nil
		}
		if err != nil {
			if !lost && ctx.Err() == nil {
				w.log.Warn("configuration can't be followed", "error", err)
			}
			lost = true
			w.recordConfigRead(false)
			pause = w.sleepAfterFailure(ctx, pause, w.renew)
			continue
		}
		pause = retryPause
		if lost {
			w.log.Info("configuration is followed again")
			w.recordConfigRead(true)
			lost = false
		}
		if t != nil {
			stored = t.Version
		}
		if stored == 0 {
			ticker.Sleep(ctx, retryPause) // the store has none
			continue
		}
		w.UpdateConfiguration(t, stored, sent)
		w.recordStored(stored, after)
	}
}

// recordStored records that a version was the newest one in the store at a position, as
// read by this process or by a peer.
func (w *Watcher) recordStored(version int64, at radishspoke.StorePosition) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if version > 0 && at.Number() > w.storedAt.Number() {
		w.storedVersion, w.storedAt = version, at
	}
}

// storedAfter returns the version that was the newest one in the store at a position after the
// given one in the same era, and that position, if that version is in force here. A wait
// from there on does not bring what a peer has brought already.
func (w *Watcher) storedAfter(after radishspoke.StorePosition) (version int64, at radishspoke.StorePosition, ok bool) {
	w.mu.RLock()
	defer w.mu.RUnlock()
	ok = w.table != nil && w.table.Version == w.storedVersion && w.storedAt.Era == after.Era && w.storedAt.Version > after.Version
	return w.storedVersion, w.storedAt, ok
}

// recordConfigRead records whether the last read of the configuration succeeded.
func (w *Watcher) recordConfigRead(ok bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.configFailed = !ok
}

// next waits for a configuration committed after a position of the store. It
// aborts the wait and returns errWaitAborted when a wait of IdleInterval is under way
// and this process has to watch the platform, or when another process has brought a
// configuration for which this wait should have ended.
func (w *Watcher) next(ctx context.Context, after radishspoke.StorePosition) (*radishspoke.RoutingTable, radishspoke.StorePosition, error) {
	idle := !w.watch()
	timeout := w.settings.WaitTimeout
	if idle {
		timeout = w.settings.IdleInterval
	}
	wait, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan struct{})
	defer close(done)
	go func() {
		t := time.NewTicker(watchInterval)
		defer t.Stop()
		for {
			select {
			case <-done:
				return
			case <-w.renew:
				cancel()
				return
			case <-t.C:
			}
			if idle && w.watch() {
				cancel()
				return
			}
		}
	}()
	t, next, err := w.source.NextConfiguration(wait, after, timeout)
	if err != nil && wait.Err() != nil && ctx.Err() == nil {
		return nil, after, errWaitAborted
	}
	return t, next, err
}

// errWaitAborted reports that a wait for a configuration was aborted. It does not prove
// that the configuration is still the newest.
var errWaitAborted = errors.New("wait for a configuration aborted")
