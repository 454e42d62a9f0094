package elector

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"sort"
	"sync"
	"time"

	"github.com/pkg/errors"

	"radishspoke"
	"radishspoke/transport/ticker"
)

// Prefix starts the keys of lease rows.
const Prefix = "lease/"

// Settings of an Elector.
type Settings struct {
	// Name and Address are of this process.
	Name    string
	Address string

	// Duration is how long a lease lasts; 6 s if zero.
	Duration time.Duration

	// Margin is taken off the holder's side and added to the other's; it
	// covers clocks that run at different speeds and sends on their way.
	// 1 s if zero.
	Margin time.Duration

	// Exclusive says that Name has one process at a time, so that a lease of
	// an earlier lifetime is free at once.
	Exclusive bool
}

const (
	defaultDuration = 6 * time.Second
	defaultMargin   = time.Second
	renewals        = 3 // in one lease
)

func (s *Settings) fill() {
	if s.Duration == 0 {
		s.Duration = defaultDuration
	}
	if s.Margin == 0 {
		s.Margin = defaultMargin
	}
}

// Lease is the content of a lease row.
type Lease struct {
	Holder  string `json:"holder"`
	Address string `json:"address"`
	Epoch   int64  `json:"epoch"`
	Beat    int64  `json:"beat"`

	// Released is set when the holder has given the lease up.
	Released bool `json:"released,omitempty"`
}

// held is a lease of this process.
type held struct {
	lease   Lease
	version int64
	until   time.Duration
}

// seen is a lease row of another process.
type seen struct {
	lease   Lease
	version int64
	since   time.Duration // when this version was first seen
}

// Wanted returns the leases that this process may hold, with its rank among
// those that may. A process of rank n takes a lease only when it has been free
// for n times its duration.
type Wanted func() map[string]int

// Epoch reads the present epoch of a lease from the table, 0 if it was never
// taken.
func Epoch(ctx context.Context, t radishspoke.Table, name string) (int64, error) {
	r, err := t.Read(ctx, Prefix+name)
	if errors.Is(err, radishspoke.ErrNotFound) {
		return 0, nil
	}
	if err != nil {
		return 0, fmt.Errorf("read lease %s: %w", name, err)
	}
	var l Lease
	if err := json.Unmarshal(r.Value, &l); err != nil {
		return 0, fmt.Errorf("decode lease %s: %w", name, err)
	}
	return l.Epoch, nil
}

// Elector takes, renews and releases leases. Make it with New.
type Elector struct {
	settings Settings
	table    radishspoke.Table
	clock    radishspoke.Clock
	wanted   Wanted
	log      *slog.Logger

	mu   sync.Mutex
	held map[string]*held
	seen map[string]*seen
}

// New returns an Elector that holds nothing.
func New(s Settings, t radishspoke.Table, c radishspoke.Clock, w Wanted, log *slog.Logger) *Elector {
	s.fill()
	return &Elector{settings: s, table: t, clock: c, wanted: w, log: log, held: map[string]*held{}, seen: map[string]*seen{}}
}

// Run renews and takes leases until ctx ends, then releases them.
func (e *Elector) Run(ctx context.Context, t radishspoke.Timers) {
	e.Step(ctx)
	ticker.Each(ctx, t, e.settings.Duration/renewals, func() { e.Step(ctx) })
	e.release()
}

// Step renews what is held, gives up what is no longer wanted, and tries to
// take what is.
func (e *Elector) Step(ctx context.Context) {
	want := e.wanted()
	ctx, cancel := context.WithTimeout(ctx, e.settings.Duration/renewals)
	defer cancel()
	if err := e.renew(ctx, want); err != nil {
		e.log.Warn("leases not renewed", "error", err)
		return
	}
	if err := e.take(ctx, want); err != nil {
		e.log.Warn("leases not taken", "error", err)
	}
}

// Holds tells whether this process holds a lease at this moment, and under
// which epoch.
func (e *Elector) Holds(name string) (epoch int64, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	h, ok := e.held[name]
	if !ok || e.clock.Now() >= h.until {
		return 0, false
	}
	return h.lease.Epoch, true
}

// Held returns the leases of this process, by name.
func (e *Elector) Held() map[string]Lease {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := map[string]Lease{}
	now := e.clock.Now()
	for n, h := range e.held {
		if now < h.until {
			out[n] = h.lease
		}
	}
	return out
}

// heldNames returns the leases of this process, lapsed ones too.
func (e *Elector) heldNames() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make([]string, 0, len(e.held))
	for n := range e.held {
		out = append(out, n)
	}
	sort.Strings(out)
	return out
}

const releaseTimeout = 2 * time.Second

// release gives up every lease.
func (e *Elector) release() {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	if err := e.renew(ctx, nil); err != nil {
		e.log.Warn("leases not released", "error", err)
	}
}
