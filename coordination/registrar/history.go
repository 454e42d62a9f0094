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
	listed map[string]map[string]bool          // versions by group
	left   map[string]map[string]time.Duration // time at which a version was last listed, by group
}

// NewHistory returns an empty History.
func NewHistory(c radishspoke.Clock) *History {
	return &History{clock: c, listed: map[string]map[string]bool{}, left: map[string]map[string]time.Duration{}}
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

// Sole returns the only software version of a group that is listed, and the time until which
// another one was, or 0 if none was. It returns false if more than one is listed or none, or
// one that is not known.
func (h *History) Sole(group string) (software string, changed time.Duration, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.listed[group]) != 1 {
		return "", 0, false
	}
	for v := range h.listed[group] {
		software = v
	}
	for v, at := range h.left[group] {
		if v != software {
			changed = max(changed, at)
		}
	}
	return software, changed, software != ""
}

// Listed reports whether targets of a group are listed.
func (h *History) Listed(group string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.listed[group]) > 0
}
