package fleetwatcher

import (
	"context"
	"fmt"
	"time"

	"radishspoke/transport/ticker"
)

const (
	// refreshInterval is the minimum time between two reads of the list for Refresh.
	refreshInterval = 200 * time.Millisecond

	// refreshTimeout limits one of these reads.
	refreshTimeout = time.Second
)

// refresh is a read of the list for which callers of Refresh wait.
type refresh struct {
	done chan struct{} // closed after the read
	err  error         // set before done is closed
}

// Refresh reads the list of targets from the platform, by a call that begins after that of
// Refresh. Callers that wait for the same read share it. It implements registrar.List.
func (w *Watcher) Refresh(ctx context.Context) error {
	w.refreshMu.Lock()
	r := w.queued
	if r == nil {
		r = &refresh{done: make(chan struct{})}
		w.queued = r
		go w.run(r)
	}
	w.refreshMu.Unlock()
	select {
	case <-r.done:
		return r.err
	case <-ctx.Done():
		return fmt.Errorf("wait for list of targets: %w", ctx.Err())
	}
}

// run runs a refresh when the one before has ended.
func (w *Watcher) run(r *refresh) {
	w.refreshing <- struct{}{}
	defer func() { <-w.refreshing }()
	ctx, cancel := context.WithTimeout(context.Background(), refreshTimeout)
	defer cancel()
	if wait := w.refreshed + refreshInterval - w.clock.Now(); w.refreshed > 0 && wait > 0 {
		ticker.Sleep(ctx, wait)
	}
	w.refreshMu.Lock()
	w.queued = nil // callers from now on need a later read
	w.refreshMu.Unlock()
	w.refreshed = w.clock.Now()
	r.err = w.ReadInstances(ctx)
	close(r.done)
}

// recordComplete records that the list was complete at a time. The caller holds the lock.
func (w *Watcher) recordComplete(at time.Duration) {
	if at-w.complete > w.settings.MaxGap {
		w.followed = at
	}
	w.complete = max(w.complete, at)
}

// Followed returns the period in which no change of the list of targets was missed. It
// implements registrar.List.
func (w *Watcher) Followed() (since, until time.Duration) {
	w.mu.RLock()
	defer w.mu.RUnlock()
	return w.followed, w.complete
}
