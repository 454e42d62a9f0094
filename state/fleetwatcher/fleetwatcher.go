package fleetwatcher

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"radishspoke"
	"radishspoke/transport/ticker"
)

// Source reads the configuration and the list of targets from the platform.
type Source interface {
	// Configuration returns the newest configuration, or nil if there is none
	// yet, and the position of the store at which it was read.
	Configuration(ctx context.Context) (*radishspoke.RoutingTable, radishspoke.StorePosition, error)

	// NextConfiguration waits for a configuration that was committed after a
	// position of the store. It returns nil if none was committed within wait,
	// and the position from which the next call continues. It returns an error if a
	// change may have been missed.
	NextConfiguration(ctx context.Context, after radishspoke.StorePosition, wait time.Duration) (*radishspoke.RoutingTable, radishspoke.StorePosition, error)

	// Instances returns the list of targets. It leaves out each target that
	// cannot be read, and calls onError with the error.
	Instances(ctx context.Context, onError func(error)) ([]radishspoke.Instance, error)
}

// Settings holds the intervals of a Watcher.
type Settings struct {
	// WaitTimeout is how long one call waits for a new configuration. Zero
	// means 1 s.
	WaitTimeout time.Duration

	// Interval is the time between two reads of the list of targets. Zero means
	// 700 ms. A target must get no more requests 2 s after it has started to
	// leave, even if the watching processes have just lost contact with the
	// platform. The 2 s therefore include the time until these processes no longer
	// count as watching (see MaxWatchAge) and the time until others notice that
	// and watch instead.
	Interval time.Duration

	// IdleInterval replaces WaitTimeout and Interval while enough other
	// processes watch the platform. Zero means 10 s.
	IdleInterval time.Duration

	// MissingGrace is how long after an outage of the platform a target that is
	// missing from the list is kept. Zero means 2.2 s, as live targets are listed
	// again within 2 s of the end of an outage.
	MissingGrace time.Duration

	// MaxGap is the longest time between two proofs that the list is complete, reads of
	// it or digests of other processes, in which changes do not count as missed. Zero
	// means 2.5 s. A target that joins and is gone within that time is not noticed: it
	// must say that it leaves within 0.5 s of joining, as it is listed for 2 s after that,
	// or longer if it is silent.
	MaxGap time.Duration

	// Relied reports whether other processes rely on this one to notice the end of an
	// outage of the platform. Only such processes repeat failed calls at a constant
	// pause. Nil means that they do.
	Relied func() bool
}

const (
	defaultWaitTimeout  = time.Second
	defaultInterval     = 700 * time.Millisecond
	defaultIdleInterval = 10 * time.Second
	defaultMissingGrace = 2200 * time.Millisecond
	defaultMaxGap       = 2500 * time.Millisecond
	retryPause          = 200 * time.Millisecond // after the first of several failed calls

	// maxRetryPause bounds the pause after failed calls, which doubles with each unless
	// others rely on this process. A failed call costs the platform as much as one that
	// succeeds, and all processes make them during an outage.
	maxRetryPause = 1600 * time.Millisecond

	watchInterval = 250 * time.Millisecond // between two evaluations of the WatchFunc
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
	if s.Relied == nil {
		s.Relied = func() bool { return true }
	}
	if s.MaxGap == 0 {
		s.MaxGap = defaultMaxGap
	}
}

// WatchFunc reports whether this process has to poll the platform at the short
// intervals. It need not if enough other processes do, as they notify it of
// changes.
type WatchFunc func() bool

// Watcher holds the newest configuration and list of targets of a Source. Use New
// to create one.
type Watcher struct {
	settings Settings
	watch    WatchFunc
	wake     chan struct{} // capacity 1; a value requests an immediate read of the list
	behind   chan struct{} // capacity 1; a value reports that another process has a newer configuration
	renew    chan struct{} // capacity 1; a value requests that the wait for a configuration begins anew
	source   Source
	clock    radishspoke.Clock
	log      *slog.Logger
	changed  func(*radishspoke.RoutingTable)
	listed   func([]radishspoke.Instance)

	// configuring is held from a change of the configuration until changed has
	// returned, and notifying from a change of the list until listed has, so that
	// both are called in order.
	configuring sync.Mutex
	notifying   sync.Mutex

	refreshing chan struct{} // capacity 1; holds a value while a refresh runs
	refreshMu  sync.Mutex
	queued     *refresh      // begins when the present one has ended, or nil
	refreshed  time.Duration // when the last refresh began

	mu            sync.RWMutex
	table         *radishspoke.RoutingTable
	proof         time.Duration // when the table was last known to be the newest
	storedVersion int64         // version that was the newest one in the store at storedAt, or 0
	storedAt      radishspoke.StorePosition
	reported      int64                           // newest version that another process has reported
	reportedAt    time.Duration                   // when it was first reported
	instances     map[string]radishspoke.Instance // the list and the missing targets that are kept
	missing       map[string]time.Duration        // when each of the latter was last on the list
	odd           map[string]bool                 // errors about rows in the last list
	listFailed    bool                            // the last read of the list failed
	configFailed  bool                            // the last read of the configuration failed
	recovered     time.Duration                   // when this process could read the list again after a failed read
	served        period                          // in which the platform is known to have served the list without an outage
	digest        uint64                          // of the list as last read, or last received from a peer
	digestAt      time.Duration                   // when that list was read, by this process or another, at the earliest
	listedAt      time.Duration                   // when its targets were last known to be on it
	readAt        time.Duration                   // when the call was sent that last read the list
	respondedAt   time.Duration                   // when it was answered
	followed      time.Duration                   // time since which no change of the list was missed
	complete      time.Duration                   // when the list was last known to be complete
	peerReadAt    time.Duration                   // when a peer read the newest list that it sent
	changes       []timedChange                   // of the list, the oldest first
}

// New returns a Watcher without a configuration and without targets. It calls
// changed with each newer configuration and listed with each list of targets.
// If mustWatch is nil, the process always watches the platform.
func New(s Settings, src Source, c radishspoke.Clock, mustWatch WatchFunc, log *slog.Logger,
	changed func(*radishspoke.RoutingTable), listed func([]radishspoke.Instance),
) *Watcher {
	s.setDefaults()
	if mustWatch == nil {
		mustWatch = func() bool { return true }
	}
	return &Watcher{
		settings: s, watch: mustWatch, wake: make(chan struct{}, 1), behind: make(chan struct{}, 1), renew: make(chan struct{}, 1), refreshing: make(chan struct{}, 1), source: src, clock: c, log: log, changed: changed, listed: listed,
		instances: map[string]radishspoke.Instance{}, missing: map[string]time.Duration{}, recovered: never, served: period{never, never},
		complete: c.Now() - s.MaxGap - 1,
	}
}

// signal puts a value into a channel of capacity 1, unless it holds one.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// RunInstances reads the list of targets until ctx ends.
func (w *Watcher) RunInstances(ctx context.Context) {
	pause := retryPause
	for ctx.Err() == nil {
		if err := w.ReadInstances(ctx); err != nil {
			pause = w.sleepAfterFailure(ctx, pause, w.wake)
			continue
		}
		pause = retryPause
		w.await(ctx)
	}
}

// sleepAfterFailure waits for the pause after a failed call and returns the next pause. If
// there is a value in wake, it waits for retryPause only, as another process has then reached
// the platform.
func (w *Watcher) sleepAfterFailure(ctx context.Context, pause time.Duration, wake <-chan struct{}) (next time.Duration) {
	if !ticker.Sleep(ctx, retryPause) || w.settings.Relied() {
		return retryPause
	}
	t := time.NewTimer(pause - retryPause)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-wake:
	case <-t.C:
	}
	return min(maxRetryPause, 2*pause)
}

// ReadInstances reads the list of targets once. After an error the list stays as it is.
func (w *Watcher) ReadInstances(ctx context.Context) error {
	var odd []string
	sent := w.clock.Now()
	list, err := w.source.Instances(ctx, func(err error) { odd = append(odd, fmt.Sprintf("%.*s", maxErrorLength, err.Error())) })
	if err == nil {
		w.logOdd(odd)
	}
	w.handleList(list, sent, err)
	if err != nil {
		return fmt.Errorf("read list of targets: %w", err)
	}
	return nil
}

// maxErrorLength is the number of characters of an error about a row that are logged. The
// error may quote the row.
const maxErrorLength = 200

// logOdd logs the errors about rows that the previous read did not meet.
func (w *Watcher) logOdd(list []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	next := make(map[string]bool, len(list))
	for _, e := range list {
		next[e] = true
		if !w.odd[e] {
			w.log.Warn("row skipped in the list of targets, or a value in it", "error", e)
		}
	}
	w.odd = next
}

// await returns when the list has to be read again, or when ctx ends.
func (w *Watcher) await(ctx context.Context) {
	start := w.clock.Now()
	for {
		pause := watchInterval
		if at, ok := w.missingReadAt(); ok {
			pause = max(0, min(pause, at-w.clock.Now()))
		}
		t := time.NewTimer(pause)
		select {
		case <-ctx.Done():
			t.Stop()
			return
		case <-w.wake:
			t.Stop()
			return
		case <-t.C:
		}
		now := w.clock.Now()
		at, missing := w.missingReadAt()
		if w.watch() && now-start >= w.settings.Interval || now-start >= w.settings.IdleInterval || missing && now >= at {
			return
		}
	}
}

// Instances returns the current list of targets, in no particular order.
func (w *Watcher) Instances() []radishspoke.Instance {
	w.mu.RLock()
	defer w.mu.RUnlock()
	return w.list()
}

// list returns the targets. The caller holds the lock.
func (w *Watcher) list() []radishspoke.Instance {
	out := make([]radishspoke.Instance, 0, len(w.instances))
	for _, i := range w.instances {
		out = append(out, i)
	}
	return out
}

// Digest returns the digest of the list of targets as it was last read from the
// platform or received from a peer, and a lower bound of the time at which it was read
// there. Targets that are missing from the list and kept for MissingGrace do not count for
// the digest. The digest is 0 if there is no list yet.
func (w *Watcher) Digest() (digest uint64, read time.Duration) {
	w.mu.RLock()
	defer w.mu.RUnlock()
	return w.digest, w.digestAt
}

// ListedAt returns the time at which the list of targets was last known to be current.
func (w *Watcher) ListedAt() time.Duration {
	w.mu.RLock()
	defer w.mu.RUnlock()
	return w.listedAt
}

// Watching reports whether this process reads the list at the short interval, with
// success.
func (w *Watcher) Watching() bool {
	w.mu.RLock()
	defer w.mu.RUnlock()
	return w.respondedAt > 0 && w.clock.Now()-w.respondedAt < MaxWatchAge
}

// CompareDigest handles the digest of another process's list, which was read at the
// time at or later, and the recent changes of that list. If the digest differs from
// that of this process and its own list was read before at, it applies the
// changes, unless its list is known to be newer. If these don't lead to the digest, it
// reads the list again at once.
func (w *Watcher) CompareDigest(digest uint64, at time.Duration, changes []Change) {
	own, read := w.Digest()
	switch {
	case digest == 0:
	case digest == own:
		w.update(func() { w.confirm(at) })
	case at > read && !w.applyChanges(digest, at, changes):
		signal(w.wake)
	}
}

// confirm records that the list was complete at a time. The caller holds the lock.
func (w *Watcher) confirm(at time.Duration) {
	w.recordServed(period{at, at})
	w.recordComplete(at)
	w.listedAt = max(w.listedAt, at)
}

// digestOf returns a digest of the list. It depends neither on the order of the
// targets nor on their loads, and of cold times only on whether they are 0. An empty list does not
// have the digest 0.
func digestOf(list []radishspoke.Instance) uint64 {
	sum := uint64(1)
	for _, i := range list {
		sum += xxhash.Sum64String(fmt.Sprint(i.ID, i.Address, i.Role, i.Leaving, i.StartTime.UnixMilli(), i.Software, i.Cold > 0))
	}
	return sum
}

// HandleList handles the result of one read of the list of targets. An error
// leaves the current list as it is.
func (w *Watcher) HandleList(list []radishspoke.Instance, err error) {
	w.handleList(list, w.clock.Now(), err)
}

// handleList handles the result of a read that was sent at the time sent. A list that was
// read before the present one is ignored.
func (w *Watcher) handleList(list []radishspoke.Instance, sent time.Duration, err error) {
	w.notifying.Lock()
	defer w.notifying.Unlock()
	w.mu.Lock()
	now := w.clock.Now()
	if err == nil && sent < w.readAt {
		w.mu.Unlock()
		return
	}
	if err != nil {
		if !w.listFailed {
			w.log.Warn("targets can't be listed", "error", err)
		}
		w.listFailed = true
		w.mu.Unlock()
		return
	}
	if w.listFailed {
		w.log.Info("targets are listed again")
		w.listFailed, w.recovered = false, now
	}
	w.recordServed(period{now, sent})
	w.recordChanges(list, now)
	w.readAt, w.respondedAt = sent, now
	w.recordComplete(sent)
	next := make(map[string]radishspoke.Instance, len(list))
	for _, i := range list {
		next[i.ID] = i
		if old, ok := w.instances[i.ID]; !ok || old.Leaving != i.Leaving || old.Role != i.Role || old.Software != i.Software {
			w.log.Info("target listed", "target", i.ID, "address", i.Address, "zone", i.Zone, "role", i.Role, "software", i.Software, "leaving", i.Leaving)
		}
	}
	w.setList(next, digestOf(list), now)
	w.digestAt = sent
	out := w.list()
	w.mu.Unlock()
	w.listed(out)
}
