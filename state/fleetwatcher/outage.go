package fleetwatcher

import (
	"math"
	"time"

	"radishspoke"
)

// maxServedGap is the longest time between two reads of the list, by any processes, in which
// the platform does not count as having been down.
const maxServedGap = MaxWatchAge

// never lies before all times of a clock.
const never = time.Duration(math.MinInt64 / 2)

// period is the time from since to until.
type period struct{ since, until time.Duration }

// Served returns the time since which the platform has served the list of targets, to this
// process or to others, without an outage that this process knows of. If it has not been read
// yet, the result is the present.
func (w *Watcher) Served() time.Duration {
	w.mu.RLock()
	defer w.mu.RUnlock()
	if w.served.since == never {
		return w.clock.Now()
	}
	return w.served.since
}

// RecordServed records that, by another process, the platform has served the list of targets
// from since until the time until. If since is later, it was served at the time until.
func (w *Watcher) RecordServed(since, until time.Duration) {
	w.update(func() { w.recordServed(period{min(since, until), until}) })
}

// recordServed joins a period in which the platform served the list with the one known, or
// replaces that by a later one. The caller holds the lock.
func (w *Watcher) recordServed(p period) {
	switch {
	case p.since <= w.served.until+maxServedGap && w.served.since <= p.until+maxServedGap:
		w.served = period{min(p.since, w.served.since), max(p.until, w.served.until)}
	case p.until > w.served.until:
		w.served = p
	}
}

// outageEnd returns the time at which the last outage of the platform ended. Reads of this
// process that failed while the platform served others are no outage of the platform. The
// caller holds the lock.
func (w *Watcher) outageEnd() time.Duration {
	if w.listFailed {
		return w.served.since
	}
	return min(w.recovered, w.served.since)
}

// setList replaces the list of targets by one that was read or received at the time listed.
// Targets that are missing from it are kept if dropMissing does not drop them. The caller holds
// the lock.
func (w *Watcher) setList(list map[string]radishspoke.Instance, digest uint64, listed time.Duration) {
	for id, i := range w.instances {
		if _, ok := list[id]; ok {
			delete(w.missing, id)
			continue
		}
		if _, ok := w.missing[id]; !ok {
			w.missing[id] = w.listedAt
		}
		list[id] = i
	}
	w.instances, w.digest, w.listedAt = list, digest, max(w.listedAt, listed)
	w.dropMissing()
}

// dropMissing drops the targets that are missing from the list, except those that were not
// listed since the last outage of the platform, until a list that is complete at the end of
// MissingGrace does not have them. It returns true if it dropped any. The caller holds the lock.
func (w *Watcher) dropMissing() bool {
	end, dropped := w.outageEnd(), false
	for id, listed := range w.missing {
		if listed < end && w.complete < end+w.settings.MissingGrace {
			continue
		}
		w.log.Info("target gone", "target", id, "address", w.instances[id].Address)
		delete(w.missing, id)
		delete(w.instances, id)
		dropped = true
	}
	return dropped
}

// update records something by which missing targets may have to be dropped.
func (w *Watcher) update(record func()) {
	w.notifying.Lock()
	defer w.notifying.Unlock()
	w.mu.Lock()
	record()
	if !w.dropMissing() {
		w.mu.Unlock()
		return
	}
	out := w.list()
	w.mu.Unlock()
	w.listed(out)
}

// missingReadAt returns the time at which the list has to be read for the targets that are
// missing from it. The result ok is false if there are none.
func (w *Watcher) missingReadAt() (at time.Duration, ok bool) {
	w.mu.RLock()
	defer w.mu.RUnlock()
	return w.outageEnd() + w.settings.MissingGrace, len(w.missing) > 0
}
