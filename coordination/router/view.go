package router

import (
	"time"

	"radishspoke"
)

// Soonest returns the shortest expected time of w over the pool's targets,
// with or without room, and false if none can be reached.
func (r *Router) Soonest(now time.Duration, w Work) (Choice, bool) {
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

// Has tells whether the pool has any target, reachable or not.
func (r *Router) Has(pool string) bool { return len(r.pools[pool]) > 0 }

// View is what a router knows of one target.
type View struct {
	Target      radishspoke.Target
	Load        radishspoke.Load
	Reachable   bool
	Ejected     bool
	Outstanding int
	ReportAge   time.Duration
}

// Views returns what is known of every target, in the order they were set.
func (r *Router) Views(now time.Duration) []View {
	out := make([]View, 0, len(r.order))
	for _, t := range r.order {
		out = append(out, View{
			Target: t.Target, Load: t.load, Reachable: t.seen && !t.lost, Ejected: now < t.ejectedUntil,
			Outstanding: t.outstanding, ReportAge: now - t.reported,
		})
	}
	return out
}

// Target returns the target of that name and whether there is one.
func (r *Router) Target(name string) (radishspoke.Target, bool) {
	t, ok := r.targets[name]
	if !ok {
		return radishspoke.Target{}, false
	}
	return t.Target, true
}
