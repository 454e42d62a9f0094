package elector

import (
	"context"

	"radishspoke"
)

// namedLease implements radishspoke.Lease on one lease of an Elector.
type namedLease struct {
	elector *Elector
	name    string
}

// Lease returns the lease with the given name.
func (e *Elector) Lease(name string) radishspoke.Lease { return namedLease{e, name} }

// Holds implements radishspoke.Lease.
func (l namedLease) Holds() (epoch int64, ok bool) { return l.elector.Holds(l.name) }

// Use implements radishspoke.Lease.
func (l namedLease) Use(ctx context.Context, epoch int64, f func(context.Context) error) error {
	return l.elector.Use(ctx, l.name, epoch, f)
}

// Note implements radishspoke.Lease.
func (l namedLease) Note() string {
	l.elector.mu.Lock()
	defer l.elector.mu.Unlock()
	if h, ok := l.elector.held[l.name]; ok {
		return h.note
	}
	return ""
}

// SetNote implements radishspoke.Lease.
func (l namedLease) SetNote(epoch int64, note string) {
	l.elector.mu.Lock()
	defer l.elector.mu.Unlock()
	if h, ok := l.elector.held[l.name]; ok && h.lease.Epoch == epoch {
		h.note = note
	}
}
