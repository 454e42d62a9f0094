package follower

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"radishspoke"
	"radishspoke/transport/ticker"
)

// Source reads the platform's lists.
type Source interface {
	// Configuration returns the newest configuration and the version of the
	// read; nil if there is none yet.
	Configuration(ctx context.Context) (*radishspoke.RoutingTable, int64, error)

	// NextConfiguration waits for one that was committed after a version.
	NextConfiguration(ctx context.Context, after int64, wait time.Duration) (*radishspoke.RoutingTable, int64, error)

	// Instances lists the targets; bad gets what can't be read.
	Instances(ctx context.Context, bad func(error)) ([]radishspoke.Instance, error)
}

// Settings of a Follower.
type Settings struct {
	// Wait is how long one call waits for a new configuration; 1 s if zero.
	Wait time.Duration

	// Interval is the time between two reads of the list of targets; 1 s if
	// zero. With a read of a few ms it is half of the time within which a
	// leaving target must get no more requests.
	Interval time.Duration

	// Return is how long after an outage a target that is missing from the
	// list is kept; 2.2 s if zero: live targets are back within 2 s.
	Return time.Duration
}

const (
	defaultWait     = time.Second
	defaultInterval = time.Second
	defaultReturn   = 2200 * time.Millisecond
	retryPause      = 200 * time.Millisecond
)

func (s *Settings) fill() {
	if s.Wait == 0 {
		s.Wait = defaultWait
	}
	if s.Interval == 0 {
		s.Interval = defaultInterval
	}
	if s.Return == 0 {
		s.Return = defaultReturn
	}
}

// Follower follows a Source. Make it with New.
type Follower struct {
	settings Settings
	source   Source
	clock    radishspoke.Clock
	log      *slog.Logger
	changed  func(*radishspoke.RoutingTable)
	listed   func([]radishspoke.Instance)

	mu        sync.RWMutex
	table     *radishspoke.RoutingTable
	proof     time.Duration // when the table was the newest for sure
	instances map[string]radishspoke.Instance
	seen      map[string]time.Duration // when each was last on the list
	failing   bool                     // the last read of the list failed
	healed    time.Duration            // when reads of the list worked again
}

// New returns a Follower that knows nothing. It calls changed with each newer
// configuration and listed with each list of targets.
func New(s Settings, src Source, c radishspoke.Clock, log *slog.Logger,
	changed func(*radishspoke.RoutingTable), listed func([]radishspoke.Instance),
) *Follower {
	s.fill()
	return &Follower{
		settings: s, source: src, clock: c, log: log, changed: changed, listed: listed,
		instances: map[string]radishspoke.Instance{}, seen: map[string]time.Duration{}, healed: -s.Return,
	}
}

// Table returns the newest configuration known, or nil.
func (f *Follower) Table() *radishspoke.RoutingTable {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.table
}

// Proof returns a moment at which the configuration known was the newest.
func (f *Follower) Proof() time.Duration {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.proof
}

// Learn takes a configuration, or the news that none was newer at a moment,
// from the source or from another process. A table of nil means that the one
// known is meant.
func (f *Follower) Learn(t *radishspoke.RoutingTable, version int64, proof time.Duration) {
	f.mu.Lock()
	newer := t != nil && (f.table == nil || t.Version > f.table.Version)
	if newer {
		f.table = t
	}
	if f.table != nil && f.table.Version == version {
		f.proof = max(f.proof, proof)
	}
	f.mu.Unlock()
	if newer {
		f.log.Info("configuration in force", "version", t.Version, "rules", len(t.Rules), "teams", len(t.Teams))
		f.changed(t)
	}
}

// RunConfiguration follows the configuration until ctx ends.
func (f *Follower) RunConfiguration(ctx context.Context) {
	after, known, lost := int64(0), false, false
	for ctx.Err() == nil {
		sent := f.clock.Now()
		var t *radishspoke.RoutingTable
		var err error
		if !known {
			t, after, err = f.source.Configuration(ctx)
			known = err == nil && t != nil
		} else {
			t, after, err = f.source.NextConfiguration(ctx, after, f.settings.Wait)
			// Whatever went wrong, reading anew shows what was missed.
			known = err == nil
		}
		if err != nil {
			if !lost && ctx.Err() == nil {
				f.log.Warn("configuration can't be followed", "error", err)
			}
			lost = true
			ticker.Sleep(ctx, retryPause)
			continue
		}
		if lost {
			f.log.Info("configuration is followed again")
			lost = false
		}
		if t != nil {
			f.Learn(t, t.Version, sent)
		} else if now := f.Table(); now != nil {
			f.Learn(nil, now.Version, sent)
		} else {
			ticker.Sleep(ctx, retryPause)
		}
	}
}

// RunInstances reads the list of targets until ctx ends.
func (f *Follower) RunInstances(ctx context.Context) {
	for ctx.Err() == nil {
		list, err := f.source.Instances(ctx, func(err error) { f.log.Debug("target passed over", "error", err) })
		pause := f.settings.Interval
		if err != nil {
			pause = retryPause
		}
		f.Listed(list, err)
		ticker.Sleep(ctx, pause)
	}
}

// Listed takes the outcome of one read of the list of targets.
func (f *Follower) Listed(list []radishspoke.Instance, err error) {
	f.mu.Lock()
	now := f.clock.Now()
	if err != nil {
		if !f.failing {
			f.log.Warn("targets can't be listed", "error", err)
		}
		f.failing = true
		f.mu.Unlock()
		return
	}
	if f.failing {
		f.log.Info("targets are listed again")
		f.failing, f.healed = false, now
	}
	next := make(map[string]radishspoke.Instance, len(list))
	for _, i := range list {
		next[i.ID] = i
		f.seen[i.ID] = now
	}
	for id, i := range f.instances {
		if _, ok := next[id]; ok {
			continue
		}
		// One that was listed after the outage has left since.
		if now-f.healed < f.settings.Return && f.seen[id] < f.healed {
			next[id] = i
			continue
		}
		delete(f.seen, id)
		f.log.Info("target gone", "target", id, "address", i.Address)
	}
	for id, i := range next {
		if old, ok := f.instances[id]; !ok || old.Leaving != i.Leaving || old.Role != i.Role {
			f.log.Info("target listed", "target", id, "address", i.Address, "zone", i.Zone, "role", i.Role, "leaving", i.Leaving)
		}
	}
	f.instances = next
	out := make([]radishspoke.Instance, 0, len(next))
	for _, i := range next {
		out = append(out, i)
	}
	f.mu.Unlock()
	f.listed(out)
}
