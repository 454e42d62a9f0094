package elector

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"radishspoke"
)

// ErrNotHeld is returned by Use if this process does not hold the lease with the given epoch.
var ErrNotHeld = errors.New("lease is not held")

// Use calls f if this process holds the named lease with the given epoch. The context of f ends
// when the lease expires, and the lease is not released while f runs. If the error of f
// wraps radishspoke.ErrUnanswered, this process neither releases the lease nor acquires it
// again before its duration has passed after f: what f has sent must not arrive under a
// later epoch. The error is ErrNotHeld or that of f.
func (e *Elector) Use(ctx context.Context, name string, epoch int64, f func(context.Context) error) error {
	e.mu.Lock()
	h, ok := e.held[name]
	left := time.Duration(0)
	if ok {
		left = h.until - e.clock.Now()
	}
	if left <= 0 || h.lease.Epoch != epoch {
		e.mu.Unlock()
		return fmt.Errorf("use lease %s in epoch %d: %w", name, epoch, ErrNotHeld)
	}
	h.uses++
	e.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, left)
	defer cancel()
	err := f(ctx)
	e.mu.Lock()
	defer e.mu.Unlock()
	h.uses--
	if errors.Is(err, radishspoke.ErrUnanswered) {
		e.unansweredUntil[name] = e.clock.Now() + e.settings.Duration
	}
	e.useEnded.Broadcast()
	return err
}

// awaitUses waits until no call of Use is in progress.
func (e *Elector) awaitUses() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for e.inUse() {
		e.useEnded.Wait()
	}
}

// inUse returns whether a call of Use is in progress. The caller must hold e.mu.
func (e *Elector) inUse() bool {
	for _, h := range e.held {
		if h.uses > 0 {
			return true
		}
	}
	return false
}

// namesToWrite returns the leases of this process whose rows are written next, in order. It leaves
// out those that are not wanted and can't be released, because a call has no answer. They
// are not used any more and run out.
func (e *Elector) namesToWrite(want map[string]int) []string {
	names := e.heldNames()
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.clock.Now()
	out := names[:0]
	for _, n := range names {
		h := e.held[n]
		if _, ok := want[n]; ok || h.uses > 0 || now >= e.unansweredUntil[n] {
			out = append(out, n)
			continue
		}
		if h.until > 0 {
			e.log.Warn("lease not released, as a call has no answer", "lease", n, "epoch", h.lease.Epoch)
		}
		h.until = 0
	}
	return out
}
