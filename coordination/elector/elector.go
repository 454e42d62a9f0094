package elector

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"sort"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"radishspoke"
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

// Wanted returns the names of the leases that this process should hold.
type Wanted func() []string

// Elector takes, renews and releases leases. Make it with New.
type Elector struct {
	settings Settings
	table    radishspoke.Table
	clock    radishspoke.Clock
	wanted   Wanted
	log      *slog.Logger

	mu    sync.Mutex
	held  map[string]*held
	seen  map[string]*seen
	cause error
}

// New returns an Elector that holds nothing.
func New(s Settings, t radishspoke.Table, c radishspoke.Clock, w Wanted, log *slog.Logger) *Elector {
	s.fill()
	return &Elector{settings: s, table: t, clock: c, wanted: w, log: log, held: map[string]*held{}, seen: map[string]*seen{}}
}

// Run renews and takes leases until ctx ends, then releases them.
func (e *Elector) Run(ctx context.Context, t radishspoke.Timers) {
	ticks, stop := t.Every(e.settings.Duration / renewals)
	defer stop()
	e.Step(ctx)
	for {
		select {
		case <-ctx.Done():
			e.release()
			return
		case <-ticks:
			e.Step(ctx)
		}
	}
}

// Step renews what is held, gives up what is no longer wanted, and tries to
// take what is.
func (e *Elector) Step(ctx context.Context) {
	want := map[string]bool{}
	for _, n := range e.wanted() {
		want[n] = true
	}
	ctx, cancel := context.WithTimeout(ctx, e.settings.Duration/renewals)
	defer cancel()
	err := e.renew(ctx, want)
	if err == nil {
		err = e.take(ctx, want)
	}
	e.mu.Lock()
	e.cause = err
	e.mu.Unlock()
	if err != nil {
		e.log.Warn("lease step failed", "error", err)
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

// Remaining returns how long this process still holds a lease.
func (e *Elector) Remaining(name string) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	h, ok := e.held[name]
	if !ok {
		return 0
	}
	return max(0, h.until-e.clock.Now())
}

// Holder returns the last known holder of a lease.
func (e *Elector) Holder(name string) (Lease, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if h, ok := e.held[name]; ok && e.clock.Now() < h.until {
		return h.lease, true
	}
	if s, ok := e.seen[name]; ok {
		return s.lease, true
	}
	return Lease{}, false
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

// renew writes every held row in one transaction. After a conflict it writes
// each alone, to find out which were lost.
func (e *Elector) renew(ctx context.Context, want map[string]bool) error {
	if e.uncertain() {
		if err := e.relist(ctx, want); err != nil {
			return err
		}
	}
	names := e.heldNames()
	if len(names) == 0 {
		return nil
	}
	err := e.write(ctx, names, want)
	if !errors.Is(err, radishspoke.ErrConflict) || len(names) == 1 {
		return err
	}
	for _, n := range names {
		if err := e.write(ctx, []string{n}, want); err != nil && !errors.Is(err, radishspoke.ErrConflict) {
			return err
		}
	}
	return nil
}

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

// write renews the named rows, or releases those not wanted. A release takes
// effect here before it is sent.
func (e *Elector) write(ctx context.Context, names []string, want map[string]bool) error {
	sent := e.clock.Now()
	writes := make([]radishspoke.Write, 0, len(names))
	next := make(map[string]Lease, len(names))
	e.mu.Lock()
	for _, n := range names {
		h := e.held[n]
		l := h.lease
		l.Beat++
		if !want[n] {
			l.Released = true
			h.until = 0
		}
		next[n] = l
		writes = append(writes, radishspoke.Write{Key: Prefix + n, Value: mustEncode(l), Version: h.version})
	}
	e.mu.Unlock()
	err := e.table.Commit(ctx, uuid.NewString(), writes...)
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case err == nil:
		e.renewed(next, sent)
	case errors.Is(err, radishspoke.ErrConflict) && len(names) == 1:
		e.log.Warn("lease lost", "lease", names[0], "epoch", next[names[0]].Epoch)
		delete(e.held, names[0])
	case err != nil && !errors.Is(err, radishspoke.ErrConflict):
		e.forgetVersions(names)
	}
	if err != nil {
		return fmt.Errorf("renew leases: %w", err)
	}
	return nil
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
		h.until = sent + e.settings.Duration - e.settings.Margin
	}
}

// forgetVersions notes that a renewal's answer was lost: the rows are read
// before the next renewal.
func (e *Elector) forgetVersions(names []string) {
	for _, n := range names {
		e.held[n].version = versionUnknown
	}
}

const versionUnknown = -1

// take reads the lease rows if there is something to learn from them, and
// takes the wanted ones that are free.
func (e *Elector) take(ctx context.Context, want map[string]bool) error {
	if !e.curious(want) {
		return nil
	}
	rows, err := e.table.List(ctx, Prefix)
	if err != nil {
		return fmt.Errorf("read leases: %w", err)
	}
	now := e.clock.Now()
	e.mu.Lock()
	free := e.learn(now, rows, want)
	e.mu.Unlock()
	for _, n := range free {
		if err := e.acquire(ctx, n); err != nil && !errors.Is(err, radishspoke.ErrConflict) {
			return err
		}
	}
	return nil
}

// curious tells whether a wanted lease is not held.
func (e *Elector) curious(want map[string]bool) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for n := range want {
		if _, ok := e.held[n]; !ok {
			return true
		}
	}
	return false
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

// relist reads the rows to learn their versions again.
func (e *Elector) relist(ctx context.Context, want map[string]bool) error {
	rows, err := e.table.List(ctx, Prefix)
	if err != nil {
		return fmt.Errorf("read leases: %w", err)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.learn(e.clock.Now(), rows, want)
	return nil
}

// learn notes the rows as read at now, and returns the wanted leases that are
// free.
func (e *Elector) learn(now time.Duration, rows []radishspoke.Row, want map[string]bool) []string {
	present := map[string]bool{}
	for _, r := range rows {
		n := r.Key[len(Prefix):]
		present[n] = true
		var l Lease
		if err := json.Unmarshal(r.Value, &l); err != nil {
			e.log.Error("lease row unreadable", "lease", n, "error", err)
			continue
		}
		if h, ok := e.held[n]; ok {
			e.relearn(n, h, l, r.Version)
			continue
		}
		if s, ok := e.seen[n]; !ok || s.version != r.Version {
			e.seen[n] = &seen{lease: l, version: r.Version, since: now}
		}
	}
	var free []string
	for n := range want {
		if _, ok := e.held[n]; ok {
			continue
		}
		if !present[n] {
			delete(e.seen, n)
			free = append(free, n)
			continue
		}
		s := e.seen[n]
		if s != nil && (s.lease.Released || now-s.since > e.settings.Duration+e.settings.Margin) {
			free = append(free, n)
		}
	}
	sort.Strings(free)
	return free
}

// relearn restores the version of a held row after an answer was lost.
func (e *Elector) relearn(n string, h *held, l Lease, version int64) {
	if l.Holder != e.settings.Name || l.Epoch != h.lease.Epoch || l.Released {
		e.log.Warn("lease lost", "lease", n, "epoch", h.lease.Epoch)
		delete(e.held, n)
		return
	}
	if h.version == versionUnknown {
		h.version, h.lease.Beat = version, l.Beat
	}
}

// acquire takes one lease under the next epoch.
func (e *Elector) acquire(ctx context.Context, n string) error {
	e.mu.Lock()
	l := Lease{Holder: e.settings.Name, Address: e.settings.Address, Epoch: 1, Beat: 1}
	version := int64(0)
	if s, ok := e.seen[n]; ok {
		l.Epoch, version = s.lease.Epoch+1, s.version
	}
	e.mu.Unlock()
	sent := e.clock.Now()
	err := e.table.Commit(ctx, uuid.NewString(), radishspoke.Write{Key: Prefix + n, Value: mustEncode(l), Version: version})
	if err != nil {
		return fmt.Errorf("take lease %s: %w", n, err)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.seen, n)
	e.held[n] = &held{lease: l, version: version + 1, until: sent + e.settings.Duration - e.settings.Margin}
	e.log.Info("lease taken", "lease", n, "epoch", l.Epoch)
	return nil
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

func mustEncode(l Lease) []byte {
	b, err := json.Marshal(l)
	if err != nil {
		panic("elector: " + err.Error())
	}
	return b
}
