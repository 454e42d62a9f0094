package elector

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"radishspoke"
	"radishspoke/internal/breaker"
)

// versionUnknown marks a held row whose renewal got no answer.
const versionUnknown = -1

// renew writes every held row in one transaction. After a conflict it writes
// each alone, to find out which were lost.
func (e *Elector) renew(ctx context.Context, want map[string]int) error {
	if e.uncertain() {
		if err := e.read(ctx); err != nil {
			return err
		}
	}
	names := e.heldNames()
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

// uncertain tells whether the version of a held row is not known.
func (e *Elector) uncertain() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, h := range e.held {
		if h.version == versionUnknown {
			return true
		}
	}
	return false
}

// write renews the named rows, or releases those not wanted. A release takes
// effect here before it is sent.
func (e *Elector) write(ctx context.Context, names []string, want map[string]int) error {
	sent := e.clock.Now()
	next, writes := e.prepare(names, want)
	err := e.table.Commit(ctx, uuid.NewString(), writes...)
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case err == nil:
		e.renewed(next, sent)
		return nil
	case !errors.Is(err, radishspoke.ErrConflict):
		e.unresolved(next)
	case len(names) == 1:
		e.lose(names[0])
	}
	return fmt.Errorf("renew leases: %w", err)
}

// prepare makes the next content of each row.
func (e *Elector) prepare(names []string, want map[string]int) (map[string]Lease, []radishspoke.Write) {
	e.mu.Lock()
	defer e.mu.Unlock()
	next := make(map[string]Lease, len(names))
	writes := make([]radishspoke.Write, 0, len(names))
	for _, n := range names {
		h := e.held[n]
		l := h.lease
		l.Beat++
		if _, ok := want[n]; !ok {
			l.Released = true
			h.until = 0
		}
		next[n] = l
		writes = append(writes, radishspoke.Write{Key: Prefix + n, Value: encode(l), Version: h.version})
	}
	return next, writes
}

func (e *Elector) renewed(next map[string]Lease, sent time.Duration) {
	for n, l := range next {
		h := e.held[n]
		h.lease = l
		h.version++
		if l.Released {
			e.log.Info("lease released", "lease", n, "epoch", l.Epoch)
			delete(e.held, n)
			continue
		}
		h.until = e.end(sent)
	}
}

// unresolved notes that a renewal's answer was lost: the rows are read before
// the next renewal.
func (e *Elector) unresolved(next map[string]Lease) {
	for n := range next {
		e.held[n].version = versionUnknown
	}
}

func (e *Elector) lose(n string) {
	e.log.Warn("lease lost", "lease", n, "epoch", e.held[n].lease.Epoch)
	delete(e.held, n)
}

func encode(l Lease) []byte {
	b, err := json.Marshal(l)
	if err != nil {
		panic("elector: " + err.Error()) // a plain struct always encodes
	}
	return b
}

// end returns when a lease lapses whose renewal was sent at a moment.
func (e *Elector) end(sent time.Duration) time.Duration {
	if breaker.Is(breaker.Sends) {
		sent = e.clock.Now()
	}
	return sent + e.settings.Duration - e.settings.Margin
}
