package elector

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"radishspoke"
	"radishspoke/internal/disabler"
)

// versionUnknown is the version of a held row after the reply to its renewal was
// lost, or the era of the store has ended meanwhile.
const versionUnknown = -1

// renew writes all held rows in one transaction. After a conflict it writes each
// row separately, to find out which leases are lost.
func (e *Elector) renew(ctx context.Context, want map[string]int) error {
	if e.anyVersionInvalid() {
		if err := e.readRows(ctx); err != nil {
			return err
		}
	}
	names := e.namesToWrite(want)
	if len(names) == 0 {
		return nil
	}
	err := e.write(ctx, names, want)
	if !errors.Is(err, radishspoke.ErrConflict) {
		return err
	}
	if len(names) == 1 {
		return nil
	}
	for _, n := range names {
		if err := e.write(ctx, []string{n}, want); err != nil && !errors.Is(err, radishspoke.ErrConflict) {
			return err
		}
	}
	return nil
}

// anyVersionInvalid returns whether the version of any held row is unknown or from an
// earlier era of the store.
func (e *Elector) anyVersionInvalid() bool {
	era := e.table.History().Position.Era
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, h := range e.held {
		if h.version == versionUnknown || radishspoke.PositionOf(h.version).Era != era {
			return true
		}
	}
	return false
}

// write renews the named leases in one transaction, and releases those of them
// that are neither wanted nor in use. This process stops holding a lease before it sends the
// release.
func (e *Elector) write(ctx context.Context, names []string, want map[string]int) error {
	sent := e.clock.Now()
	era := e.table.History().Position.Era
	next, writes := e.prepare(names, want, sent)
	err := e.table.Commit(ctx, uuid.NewString(), writes...)
	eraEnded := e.table.History().Position.Era != era
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case err == nil:
		e.applyRenewal(next, sent)
		return nil
	case eraEnded, !errors.Is(err, radishspoke.ErrConflict):
		e.markVersionsUnknown(next)
	case len(names) == 1:
		e.dropLost(names[0])
	}
	return fmt.Errorf("renew leases: %w", err)
}

// prepare returns the next content of each named row at the time now and the writes for it.
func (e *Elector) prepare(names []string, want map[string]int, now time.Duration) (map[string]Lease, []radishspoke.Write) {
	e.mu.Lock()
	defer e.mu.Unlock()
	next := make(map[string]Lease, len(names))
	writes := make([]radishspoke.Write, 0, len(names))
	for _, n := range names {
		h := e.held[n]
		l := h.lease
		l.Beat++
		l.Note = h.note
		l.Former = aged(l.Former, now-h.agedAt, e.settings.Duration)
		if _, ok := want[n]; !ok && h.uses == 0 {
			l.Released = true
			h.until = 0
		}
		next[n] = l
		writes = append(writes, radishspoke.Write{Key: Prefix + n, Value: encode(l), Version: h.version})
	}
	return next, writes
}

// applyRenewal updates the held leases after a successful write.
func (e *Elector) applyRenewal(next map[string]Lease, sent time.Duration) {
	for n, l := range next {
		h := e.held[n]
		h.lease, h.agedAt = l, sent
		h.version++
		if l.Released {
			e.log.Info("lease released", "lease", n, "epoch", l.Epoch)
			delete(e.held, n)
			continue
		}
		h.until = e.expiry(sent)
	}
}

// markVersionsUnknown marks the rows of a renewal whose reply was lost. Their
// versions are read before the next renewal.
func (e *Elector) markVersionsUnknown(next map[string]Lease) {
	for n := range next {
		e.held[n].version = versionUnknown
	}
}

// dropLost removes a lease whose row is no longer that of this process.
func (e *Elector) dropLost(n string) {
	e.log.Warn("lease lost", "lease", n, "epoch", e.held[n].lease.Epoch)
	delete(e.held, n)
}

func encode(l Lease) []byte {
	b, err := json.Marshal(l)
	if err != nil {
		panic("elector: " + err.Error()) // cannot happen for a plain struct
	}
	return b
}

// expiry returns the time at which a lease expires for its holder, if its renewal
// was sent at the given time.
func (e *Elector) expiry(sent time.Duration) time.Duration {
	if disabler.Disabled(disabler.LeaseSendTime) {
		sent = e.clock.Now()
	}
	return sent + e.settings.Duration - e.settings.Margin
}
