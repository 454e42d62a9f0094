package follower

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

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

	// Interval is the time between two reads of the list of targets; 700 ms
	// if zero. A leaving target must get no more requests after 2 s, also
	// when those that watched have just lost the platform: the age at which
	// they no longer count, and the time until others know, are in it.
	Interval time.Duration

	// Idle is the time between two reads of the list, and the wait for a new
	// configuration, while others watch; 10 s if zero.
	Idle time.Duration

	// Return is how long after an outage a target that is missing from the
	// list is kept; 2.2 s if zero: live targets are back within 2 s.
	Return time.Duration
}

const (
	defaultWait     = time.Second
	defaultInterval = 700 * time.Millisecond
	defaultIdle     = 10 * time.Second
	defaultReturn   = 2200 * time.Millisecond
	retryPause      = 200 * time.Millisecond
	watchInterval   = 250 * time.Millisecond // between two looks at whether others watch
)

func (s *Settings) fill() {
	if s.Wait == 0 {
		s.Wait = defaultWait
	}
	if s.Interval == 0 {
		s.Interval = defaultInterval
	}
	if s.Idle == 0 {
		s.Idle = defaultIdle
	}
	if s.Return == 0 {
		s.Return = defaultReturn
	}
}

// Watch tells whether this process has to watch the platform closely, as no
// other one tells it of changes in time.
type Watch func() bool

// Follower follows a Source. Make it with New.
type Follower struct {
	settings Settings
	watch    Watch
	wake     chan struct{} // ring of one: the list is to be read now
	source   Source
	clock    radishspoke.Clock
	log      *slog.Logger
	changed  func(*radishspoke.RoutingTable)
	listed   func([]radishspoke.Instance)

	// telling is held from a change of the list until it was told.
	telling sync.Mutex

	mu         sync.RWMutex
	table      *radishspoke.RoutingTable
	proof      time.Duration // when the table was the newest for sure
	instances  map[string]radishspoke.Instance
	seen       map[string]time.Duration // when each was last on the list
	failing    bool                     // the last read of the list failed
	unfollowed bool                     // the last read of the configuration failed
	healed     time.Duration            // when reads of the list worked again
	digest     uint64                   // of the list as it was read last
	readAt     time.Duration            // when that was
	toldAt     time.Duration            // when a peer read the list that it told
}

// New returns a Follower that knows nothing. It calls changed with each newer
// configuration and listed with each list of targets. Watch may be nil, for
// always.
func New(s Settings, src Source, c radishspoke.Clock, w Watch, log *slog.Logger,
	changed func(*radishspoke.RoutingTable), listed func([]radishspoke.Instance),
) *Follower {
	s.fill()
	if w == nil {
		w = func() bool { return true }
	}
	return &Follower{
		settings: s, watch: w, wake: make(chan struct{}, 1), source: src, clock: c, log: log, changed: changed, listed: listed,
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
			t, after, err = f.next(ctx, after)
			// Whatever went wrong, reading anew shows what was missed.
			if errors.Is(err, errWatch) {
				continue
			}
			known = err == nil
		}
		if err != nil {
			if !lost && ctx.Err() == nil {
				f.log.Warn("configuration can't be followed", "error", err)
			}
			lost = true
			f.follows(false)
			ticker.Sleep(ctx, retryPause)
			continue
		}
		if lost {
			f.log.Info("configuration is followed again")
			f.follows(true)
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

func (f *Follower) follows(ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.unfollowed = !ok
}

// next waits for a new configuration. A long wait ends early when this process
// has to watch the platform closely.
func (f *Follower) next(ctx context.Context, after int64) (*radishspoke.RoutingTable, int64, error) {
	if f.watch() {
		return f.source.NextConfiguration(ctx, after, f.settings.Wait)
	}
	long, cancel := context.WithCancel(ctx)
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
			case <-t.C:
			}
			if f.watch() {
				cancel()
				return
			}
		}
	}()
	t, next, err := f.source.NextConfiguration(long, after, f.settings.Idle)
	if err != nil && long.Err() != nil && ctx.Err() == nil {
		return nil, after, errWatch
	}
	return t, next, err
}

// errWatch says that a wait was given up so that a shorter one takes its place.
// It proves nothing of the configuration.
var errWatch = errors.New("the wait was given up")

// RunInstances reads the list of targets until ctx ends.
func (f *Follower) RunInstances(ctx context.Context) {
	for ctx.Err() == nil {
		list, err := f.source.Instances(ctx, func(err error) { f.log.Debug("target passed over", "error", err) })
		f.Listed(list, err)
		if err != nil {
			ticker.Sleep(ctx, retryPause)
			continue
		}
		f.await(ctx)
	}
}

// await returns when the list is to be read again.
func (f *Follower) await(ctx context.Context) {
	began := f.clock.Now()
	for {
		t := time.NewTimer(watchInterval)
		select {
		case <-ctx.Done():
			t.Stop()
			return
		case <-f.wake:
			t.Stop()
			return
		case <-t.C:
		}
		passed := f.clock.Now() - began
		if f.watch() && passed >= f.settings.Interval || passed >= f.settings.Idle {
			return
		}
	}
}

// Instances returns the targets as they were listed last.
func (f *Follower) Instances() []radishspoke.Instance {
	f.mu.RLock()
	defer f.mu.RUnlock()
	out := make([]radishspoke.Instance, 0, len(f.instances))
	for _, i := range f.instances {
		out = append(out, i)
	}
	return out
}

// Digest returns what tells lists of targets apart, as the list was read last,
// and when that was; 0 if it was not.
func (f *Follower) Digest() (digest uint64, read time.Duration) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.digest, f.readAt
}

// Told takes the digest of another process's list, read not before at. If it
// differs from a list that is older here, the list is read now.
func (f *Follower) Told(digest uint64, at time.Duration) {
	mine, read := f.Digest()
	if digest == 0 || digest == mine || at <= read {
		return
	}
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// digestOf adds up what the list says of each target, but for its load.
func digestOf(list []radishspoke.Instance) uint64 {
	sum := uint64(1)
	for _, i := range list {
		sum += xxhash.Sum64String(fmt.Sprint(i.ID, i.Address, i.Role, i.Leaving, i.Born.UnixMilli()))
	}
	return sum
}

// Listed takes the outcome of one read of the list of targets.
func (f *Follower) Listed(list []radishspoke.Instance, err error) {
	f.telling.Lock()
	defer f.telling.Unlock()
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
	f.digest, f.readAt = digestOf(list), now
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
