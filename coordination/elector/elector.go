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

// Prefix is the prefix of the keys of lease rows.
const Prefix = "lease/"

// Settings holds the settings of an Elector.
type Settings struct {
	// Name and Address are the name and the address of this process.
	Name    string
	Address string

	// Duration is the time for which a lease is valid; 6 s if zero.
	Duration time.Duration

	// Margin is subtracted from the lease by the holder, and added to it by
	// other processes. It allows for clocks that run at different rates and
	// for messages in flight; 1 s if zero.
	Margin time.Duration

	// Exclusive is set if at most one process with this Name runs at a time.
	// A process may then acquire a lease of an earlier process with the same
	// Name without waiting for the lease to expire.
	Exclusive bool
}

const (
	defaultDuration = 6 * time.Second
	defaultMargin   = time.Second
	renewals        = 3 // per lease duration
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

	// Released is set when the holder has released the lease.
	Released bool `json:"released,omitempty"`

	// Note is what the holder has noted for the next one.
	Note string `json:"note,omitempty"`

	// Former holds the processes other than Holder that held the lease within its
	// last duration.
	Former []FormerHolder `json:"former,omitempty"`
}

// heldLease is a lease of this process.
type heldLease struct {
	lease   Lease
	version int64 // of the row, or versionUnknown
	until   time.Duration
	agedAt  time.Duration // time at which lease.Former has the given ages
	uses    int           // calls of Use in progress
	note    string        // that the next write of the row contains
}

// observedLease is a lease row as last read, of a lease that this process does
// not hold.
type observedLease struct {
	lease    Lease
	version  int64
	outdated bool          // an acquisition or renewal that came later may be lost
	since    time.Duration // time at which this version was first read
}

// WantedFunc returns the names of the leases that this process may hold, each
// with the rank of this process among the candidates for it, 0 for the first. A
// process of rank n acquires a lease only after it has been free for n times the
// lease duration.
type WantedFunc func() map[string]int

// ReadEpoch reads the present epoch of a lease from the table. It returns 0 if
// the lease has never been held.
func ReadEpoch(ctx context.Context, t radishspoke.Table, name string) (int64, error) {
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

// Elector acquires, renews and releases leases. Create one with New.
type Elector struct {
	settings Settings
	table    radishspoke.Table
	clock    radishspoke.Clock
	wanted   WantedFunc
	log      *slog.Logger

	mu       sync.Mutex
	held     map[string]*heldLease
	observed map[string]*observedLease
	readAt   radishspoke.StorePosition // of the store when the rows were last read, or later
	useEnded sync.Cond                 // on mu; signaled at the end of each use

	unansweredUntil map[string]time.Duration // time until which a call without an answer may still arrive, by lease
}

// New returns an Elector that holds no lease.
func New(s Settings, t radishspoke.Table, c radishspoke.Clock, wanted WantedFunc, log *slog.Logger) *Elector {
	s.fill()
	e := &Elector{
		settings: s, table: t, clock: c, wanted: wanted, log: log,
		held: map[string]*heldLease{}, observed: map[string]*observedLease{}, unansweredUntil: map[string]time.Duration{},
	}
	e.useEnded.L = &e.mu
	return e
}

// Run renews and acquires leases until ctx ends, then releases them. The contexts of all uses
// must end with ctx, as Run waits for them.
func (e *Elector) Run(ctx context.Context, t radishspoke.Timers) {
	e.Step(ctx)
	ticker.Each(ctx, t, e.settings.Duration/renewals, func() { e.Step(ctx) })
	e.releaseAll()
}

// Step renews the leases that this process holds, releases those that are no
// longer wanted, and tries to acquire those that are wanted and free.
func (e *Elector) Step(ctx context.Context) {
	want := e.wanted()
	ctx, cancel := context.WithTimeout(ctx, e.settings.Duration/renewals)
	defer cancel()
	if err := e.renew(ctx, want); err != nil {
		e.log.Warn("leases not renewed", "error", err)
		return
	}
	if err := e.acquireFree(ctx, want); err != nil {
		e.log.Warn("leases not acquired", "error", err)
	}
}

// Holds returns whether this process holds a lease at this moment, and the epoch
// of the lease.
func (e *Elector) Holds(name string) (epoch int64, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	h, ok := e.held[name]
	if !ok || e.clock.Now() >= h.until {
		return 0, false
	}
	return h.lease.Epoch, true
}

// Held returns the leases that this process holds, by name.
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

// heldNames returns the names of the leases of this process in order, including
// expired ones.
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

// releaseAll releases every lease, but for those of which a call has no answer.
func (e *Elector) releaseAll() {
	e.awaitUses()
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	if err := e.renew(ctx, nil); err != nil {
		e.log.Warn("leases not released", "error", err)
	}
}
