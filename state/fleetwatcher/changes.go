package fleetwatcher

import (
	"time"

	"radishspoke"
)

// Change is a change of one target in the list.
type Change struct {
	Instance radishspoke.Instance // only ID is set if Gone is
	Gone     bool                 // the target is no longer listed
}

// timedChange is a change with the time at which this process learned of it.
type timedChange struct {
	Change
	at time.Duration
}

// maxChanges is the maximum number of changes that are kept and passed on. If there
// are more, other processes read the list, which takes fewer bytes.
const maxChanges = 30

// Changes returns the changes of the list that are not older than maxAge, the newest
// of each target only.
func (w *Watcher) Changes(maxAge time.Duration) []Change {
	w.mu.RLock()
	defer w.mu.RUnlock()
	now := w.clock.Now()
	var out []Change
	seen := map[string]bool{}
	for i := len(w.changes) - 1; i >= 0; i-- {
		c := w.changes[i]
		if now-c.at > maxAge {
			break
		}
		if !seen[c.Instance.ID] {
			seen[c.Instance.ID] = true
			out = append(out, c.Change)
		}
	}
	return out
}

// recordChanges records how a list that was just read differs from the present one.
// The caller holds the lock.
func (w *Watcher) recordChanges(list []radishspoke.Instance, now time.Duration) {
	if len(w.instances) == 0 {
		return // the other processes read their first list themselves
	}
	listed := make(map[string]bool, len(list))
	for _, i := range list {
		listed[i.ID] = true
		_, missing := w.missing[i.ID]
		if old, ok := w.instances[i.ID]; !ok || missing || digestOf([]radishspoke.Instance{old}) != digestOf([]radishspoke.Instance{i}) {
			w.addChange(Change{Instance: i}, now)
		}
	}
	for id := range w.instances {
		if _, missing := w.missing[id]; !listed[id] && !missing {
			w.addChange(Change{Instance: radishspoke.Instance{ID: id}, Gone: true}, now)
		}
	}
}

func (w *Watcher) addChange(c Change, now time.Duration) {
	w.changes = append(w.changes, timedChange{c, now})
	if n := len(w.changes) - maxChanges; n > 0 {
		w.changes = append(w.changes[:0], w.changes[n:]...)
	}
}

// applyChanges applies changes of another process's list, which was read at the time at or
// later, and returns true if this process then has the list with the given digest. Otherwise,
// and if its own list is not older, the list stays as it is.
func (w *Watcher) applyChanges(digest uint64, at time.Duration, changes []Change) bool {
	if len(changes) == 0 {
		return false
	}
	w.notifying.Lock()
	defer w.notifying.Unlock()
	w.mu.Lock()
	if at <= w.listedAt {
		w.mu.Unlock()
		return false
	}
	next := make(map[string]radishspoke.Instance, len(w.instances))
	for id, i := range w.instances {
		if _, missing := w.missing[id]; !missing {
			next[id] = i
		}
	}
	for _, c := range changes {
		if c.Gone {
			delete(next, c.Instance.ID)
			continue
		}
		next[c.Instance.ID] = c.Instance
	}
	list := make([]radishspoke.Instance, 0, len(next))
	for _, i := range next {
		list = append(list, i)
	}
	if digestOf(list) != digest {
		w.mu.Unlock()
		return false
	}
	now := w.clock.Now()
	for _, c := range changes {
		if i := c.Instance; !c.Gone {
			if old, ok := w.instances[i.ID]; !ok || old.Leaving != i.Leaving || old.Role != i.Role || old.Software != i.Software {
				w.log.Info("target listed", "target", i.ID, "address", i.Address, "zone", i.Zone, "role", i.Role, "software", i.Software, "leaving", i.Leaving)
			}
		}
		w.addChange(c, now)
	}
	w.recordServed(period{at, at})
	w.recordComplete(at)
	w.setList(next, digest, at)
	w.digestAt = at
	out := w.list()
	w.mu.Unlock()
	w.listed(out)
	return true
}
