package registrar

import (
	"sync"
	"time"

	"radishspoke"
)

// History keeps which software versions of each group were listed, and when. It is safe
// for concurrent use. Create it with NewHistory.
type History struct {
	clock radishspoke.Clock

	mu     sync.Mutex
	began  time.Duration                       // time since which no list was missed
	listed map[string]map[string]bool          // versions by group
	left   map[string]map[string]time.Duration // time at which a version was last listed, by group
}

// NewHistory returns a History that begins now.
func NewHistory(c radishspoke.Clock) *History {
	return &History{clock: c, began: c.Now(), listed: map[string]map[string]bool{}, left: map[string]map[string]time.Duration{}}
}

// SetTargets replaces the list of targets.
func (h *History) SetTargets(list []radishspoke.Instance) {
	h.mu.Lock()
	defer h.mu.Unlock()
	next := map[string]map[string]bool{}
	for _, i := range list {
		if next[i.Group] == nil {
			next[i.Group] = map[string]bool{}
		}
		next[i.Group][i.Software] = true
	}
	now := h.clock.Now()
	for group, versions := range h.listed {
		for v := range versions {
			if h.left[group] == nil {
				h.left[group] = map[string]time.Duration{}
			}
			h.left[group][v] = now
		}
	}
	h.listed = next
}

// Restart forgets what was listed before now. It is called while the process may miss
// changes of the list.
func (h *History) Restart() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.began, h.left = h.clock.Now(), map[string]map[string]time.Duration{}
}

// Sole returns the only software version of a group that is listed, and the time for which
// no other one was. It returns false if more than one is listed or none, or one that is not
// known.
func (h *History) Sole(group string) (software string, span time.Duration, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.listed[group]) != 1 {
		return "", 0, false
	}
	for v := range h.listed[group] {
		software = v
	}
	since := h.began
	for v, at := range h.left[group] {
		if v != software {
			since = max(since, at)
		}
	}
	return software, h.clock.Now() - since, software != ""
}
