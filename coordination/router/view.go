package router

import (
	"time"

	"radishspoke"
)

// Fastest returns the usable target of the pool with the shortest total time
// for w, with or without room, and false if no target is usable.
func (r *Router) Fastest(now time.Duration, w Work) (Choice, bool) {
	best, found := Choice{}, false
	for _, t := range r.pools[w.Pool] {
		if !r.usable(now, t, w) {
			continue
		}
		if c := r.estimate(t, w); !found || c.Total < best.Total {
			best, found = c, true
		}
	}
	return best, found
}

// HasPool reports whether the pool has any target, reachable or not.
func (r *Router) HasPool(pool string) bool { return len(r.pools[pool]) > 0 }

// View is a snapshot of a router's state of one target.
type View struct {
	Target      radishspoke.Target
	Load        radishspoke.Load
	Reachable   bool
	Ejected     bool
	Outstanding int           // requests of this process that have not ended
	ReportAge   time.Duration // of the last report
}

// Views returns the state of every target, in the order passed to SetTargets.
func (r *Router) Views(now time.Duration) []View {
	out := make([]View, 0, len(r.order))
	for _, t := range r.order {
		out = append(out, View{
			Target: t.Target, Load: t.load, Reachable: t.hasReport && !t.unreachable, Ejected: now < t.ejectedUntil,
			Outstanding: t.outstanding, ReportAge: now - t.reported,
		})
	}
	return out
}

// Target returns the target with the name, and whether it exists.
func (r *Router) Target(name string) (radishspoke.Target, bool) {
	t, ok := r.targets[name]
	if !ok {
		return radishspoke.Target{}, false
	}
	return t.Target, true
}
