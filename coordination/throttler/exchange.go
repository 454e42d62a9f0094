package throttler

import (
	"cmp"
	"math"
	"slices"
	"time"

	"radishspoke/platform"
)

const (
	// reportFor is the time for which the end of a limit is told to other processes.
	reportFor = 5 * time.Second

	// minNewer is the time by which what others tell must be newer to count. It exceeds the
	// time of a datagram, by which a limit appears newer each time that it is passed on.
	minNewer = 100 * time.Millisecond

	maxReported = 256 // limits in one report; each takes about 60 bytes
)

// Limit is what one process tells others about a target.
type Limit struct {
	Target   string        // instance id
	Lifetime string        // as listed; empty if it was not listed
	Limited  bool          // false after a limit has ended
	Rate     float64       // requests a second
	At       time.Duration // time of the newest answer that said so, on the clock of this process
	Demand   float64       // requests a second at the process that tells
}

// Report returns what to tell other processes, the newest limits first.
func (t *Throttler) Report() []Limit {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	var out []Limit
	for id, g := range t.targets {
		if g.limited || now-g.ended <= reportFor {
			g.demand.add(0, now)
			out = append(out, Limit{Target: id, Lifetime: g.lifetime, Limited: g.limited, Rate: g.rate, At: g.at, Demand: g.demand.rate})
		}
	}
	slices.SortFunc(out, func(a, b Limit) int { return cmp.Or(cmp.Compare(b.At, a.At), cmp.Compare(a.Target, b.Target)) })
	return out[:min(len(out), maxReported)]
}

// isRate reports whether v is a rate up to the given one.
func isRate(v, most float64) bool { return v >= 0 && v <= most }

// Merge records what another process tells. What it tells of another lifetime of a target,
// and a limit or a demand that is no rate, is ignored.
func (t *Throttler) Merge(process string, limits []Limit) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	for _, l := range limits {
		if !isRate(l.Rate, platform.MaxLimit) || !isRate(l.Demand, math.MaxFloat64) {
			continue
		}
		l.At = min(l.At, now)
		g, known := t.targets[l.Target]
		lifetime := t.lifetimes[l.Target]
		if known {
			lifetime = cmp.Or(g.lifetime, lifetime)
		}
		if l.Lifetime != "" && lifetime != "" && l.Lifetime != lifetime {
			continue
		}
		if !known {
			if !l.Limited {
				continue
			}
			g = t.add(l.Target)
			g.lifetime = cmp.Or(lifetime, l.Lifetime)
			g.at = l.At - 2*minNewer
		}
		g.others[process] = l.Demand
		if l.At > g.at+minNewer {
			t.set(l.Target, g, l.Rate, l.Limited, l.At, process)
		}
	}
}
