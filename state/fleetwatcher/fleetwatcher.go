package fleetwatcher

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

// Source reads the configuration and the list of targets from the platform.
type Source interface {
	// Configuration returns the newest configuration, or nil if there is none
	// yet, and the version of the store at which it was read.
	Configuration(ctx context.Context) (*radishspoke.RoutingTable, int64, error)

	// NextConfiguration waits for a configuration that was committed after a
	// version of the store. It returns nil if none was committed within wait,
	// and the version of the store from which the next call continues.
	NextConfiguration(ctx context.Context, after int64, wait time.Duration) (*radishspoke.RoutingTable, int64, error)

	// Instances returns the list of targets. It calls bad with the error of
	// each target that cannot be read, and leaves that target out.
	Instances(ctx context.Context, bad func(error)) ([]radishspoke.Instance, error)
}

// Settings holds the intervals of a Follower.
type Settings struct {
	// WaitTimeout is how long one call waits for a new configuration. Zero
	// means 1 s.
	WaitTimeout time.Duration

	// Interval is the time between two reads of the list of targets. Zero
	// means 700 ms. A leaving target must get no more requests after 2 s, even
	// when the watching processes have just lost the platform. Those 2 s
	// include the age at which a process no longer counts as watching, and the
	// time until the others notice.
	Interval time.Duration

	// IdleInterval replaces WaitTimeout and Interval while enough other
	// processes watch the platform. Zero means 10 s.
	IdleInterval time.Duration

	// MissingGrace is how long after an outage a target that is missing from
	// the list is kept. Zero means 2.2 s: live targets are listed again within
	// 2 s.
	MissingGrace time.Duration
}

const (
	defaultWaitTimeout  = time.Second
	defaultInterval     = 700 * time.Millisecond
	defaultIdleInterval = 10 * time.Second
	defaultMissingGrace = 2200 * time.Millisecond
	retryPause          = 200 * time.Millisecond
	watchInterval       = 250 * time.Millisecond // between two evaluations of the WatchFunc
)

func (s *Settings) setDefaults() {
	if s.WaitTimeout == 0 {
		s.WaitTimeout = defaultWaitTimeout
	}
	if s.Interval == 0 {
		s.Interval = defaultInterval
	}
	if s.IdleInterval == 0 {
		s.IdleInterval = defaultIdleInterval
	}
	if s.MissingGrace == 0 {
		s.MissingGrace = defaultMissingGrace
	}
}

// WatchFunc reports whether this process has to poll the platform at the short
// intervals, because too few other processes do and would notify it of changes.
type WatchFunc func() bool

// Watcher follows a Source. Use New to create one.
type Watcher struct {
	settings Settings
	watch    WatchFunc
	wake     chan struct{} // capacity 1; a value asks for an immediate read of the list
	source   Source
	clock    radishspoke.Clock
	log      *slog.Logger
	changed  func(*radishspoke.RoutingTable)
	listed   func([]radishspoke.Instance)

	// notifying is held from a change of the list until listed has returned, so
	// that lists reach it in order.
	notifying sync.Mutex

	mu         sync.RWMutex
	table      *radishspoke.RoutingTable
	proof      time.Duration // when the table was last known to be the newest
	instances  map[string]radishspoke.Instance
	seen       map[string]time.Duration // when each was last on the list
	failing    bool                     // the last read of the list failed
	configLost bool                     // the last read of the configuration failed
	recovered  time.Duration            // when the last outage of the list ended
	digest     uint64                   // of the current list
	readAt     time.Duration            // when this process last read the list
	peerReadAt time.Duration            // when a peer read the newest list that it sent
}

// New returns a Follower without a configuration and without targets. It calls
// changed with each newer configuration and listed with each list of targets.
// If w is nil, the process always watches the platform.
func New(s Settings, src Source, c radishspoke.Clock, w WatchFunc, log *slog.Logger,
	changed func(*radishspoke.RoutingTable), listed func([]radishspoke.Instance),
) *Watcher {
	s.setDefaults()
	if w == nil {
		w = func() bool { return true }
	}
	return &Watcher{
		settings: s, watch: w, wake: make(chan struct{}, 1), source: src, clock: c, log: log, changed: changed, listed: listed,
		instances: map[string]radishspoke.Instance{}, seen: map[string]time.Duration{}, recovered: -s.MissingGrace,
	}
}

// Table returns the newest configuration known, or nil.
func (f *Watcher) Table() *radishspoke.RoutingTable {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.table
}

// Proof returns the latest time, on the process's clock, at which the
// configuration that Table returns was known to be the newest.
func (f *Watcher) Proof() time.Duration {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.proof
}

// UpdateConfiguration records that the configuration with the given version
// was the newest at the time proof, as reported by the source or by another
// process. If t is not nil and newer than the known configuration, it replaces
// that one. If t is nil, the sender assumes that the configuration is known
// already.
func (f *Watcher) UpdateConfiguration(t *radishspoke.RoutingTable, version int64, proof time.Duration) {
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
func (f *Watcher) RunConfiguration(ctx context.Context) {
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
			if errors.Is(err, errWaitAborted) {
				continue
			}
			// After an error the configuration is read anew: a change may have
			// been missed.
			known = err == nil
		}
		if err != nil {
			if !lost && ctx.Err() == nil {
				f.log.Warn("configuration can't be followed", "error", err)
			}
			lost = true
			f.setFollowed(false)
			ticker.Sleep(ctx, retryPause)
			continue
		}
		if lost {
			f.log.Info("configuration is followed again")
			f.setFollowed(true)
			lost = false
		}
		if t != nil {
			f.UpdateConfiguration(t, t.Version, sent)
		} else if now := f.Table(); now != nil {
			f.UpdateConfiguration(nil, now.Version, sent)
		} else {
			ticker.Sleep(ctx, retryPause)
		}
	}
}

// setFollowed records whether the last read of the configuration succeeded.
func (f *Watcher) setFollowed(ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.configLost = !ok
}

// next waits for a configuration committed after a version of the store. A wait of
// IdleInterval is ended with errWaitAborted when this process has to watch the
// platform.
func (f *Watcher) next(ctx context.Context, after int64) (*radishspoke.RoutingTable, int64, error) {
	if f.watch() {
		return f.source.NextConfiguration(ctx, after, f.settings.WaitTimeout)
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
	t, next, err := f.source.NextConfiguration(long, after, f.settings.IdleInterval)
	if err != nil && long.Err() != nil && ctx.Err() == nil {
		return nil, after, errWaitAborted
	}
	return t, next, err
}

// errWaitAborted reports that a long wait was replaced by a shorter one. It does
// not show that the configuration is still the newest.
var errWaitAborted = errors.New("wait for a configuration aborted")

// RunInstances reads the list of targets until ctx ends.
func (f *Watcher) RunInstances(ctx context.Context) {
	for ctx.Err() == nil {
		list, err := f.source.Instances(ctx, func(err error) { f.log.Debug("unreadable target skipped", "error", err) })
		f.HandleList(list, err)
		if err != nil {
			ticker.Sleep(ctx, retryPause)
			continue
		}
		f.await(ctx)
	}
}

// await returns when the list has to be read again, or when ctx ends.
func (f *Watcher) await(ctx context.Context) {
	start := f.clock.Now()
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
		elapsed := f.clock.Now() - start
		if f.watch() && elapsed >= f.settings.Interval || elapsed >= f.settings.IdleInterval {
			return
		}
	}
}

// Instances returns the current list of targets, in no particular order.
func (f *Watcher) Instances() []radishspoke.Instance {
	f.mu.RLock()
	defer f.mu.RUnlock()
	out := make([]radishspoke.Instance, 0, len(f.instances))
	for _, i := range f.instances {
		out = append(out, i)
	}
	return out
}

// Digest returns the digest of the current list of targets and the time at which
// this process last read the list from the platform. The digest is 0 if there is
// no list yet.
func (f *Watcher) Digest() (digest uint64, read time.Duration) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.digest, f.readAt
}

// CompareDigest handles the digest of another process's list, which was read
// at the time at or later. If it differs from the digest here and this
// process's own reading is older than at, the list is read now.
func (f *Watcher) CompareDigest(digest uint64, at time.Duration) {
	own, read := f.Digest()
	if digest == 0 || digest == own || at <= read {
		return
	}
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// digestOf returns a digest of the list. It depends neither on the order of the
// targets nor on their loads, and an empty list does not have the digest 0.
func digestOf(list []radishspoke.Instance) uint64 {
	sum := uint64(1)
	for _, i := range list {
		sum += xxhash.Sum64String(fmt.Sprint(i.ID, i.Address, i.Role, i.Leaving, i.StartTime.UnixMilli()))
	}
	return sum
}

// HandleList handles the result of one read of the list of targets. An error
// leaves the current list as it is.
func (f *Watcher) HandleList(list []radishspoke.Instance, err error) {
	f.notifying.Lock()
	defer f.notifying.Unlock()
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
		f.failing, f.recovered = false, now
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
		// A missing target that was already listed after the outage has left.
		if now-f.recovered < f.settings.MissingGrace && f.seen[id] < f.recovered {
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
