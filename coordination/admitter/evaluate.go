package admitter

import (
	"maps"
	"math"
	"slices"
	"time"
)

// current returns the reports of the processes that are live, in the order of the processes, so
// that sums don't depend on chance. It forgets the others.
func (g *group) current(live []string) []received {
	kept := make(map[string]received, len(g.reports))
	var out []received
	for _, p := range live {
		if r, ok := g.reports[p]; ok {
			kept[p] = r
			out = append(out, r)
		}
	}
	g.reports = kept
	return out
}

// evaluate computes the fractions of the classes of a group.
func (a *Admitter) evaluate(name string, g *group, now time.Duration) {
	passed := min(now-g.at, time.Second)
	if !g.known {
		passed = 0
	}
	g.known, g.at, g.supply = true, now, a.supplies.Supply(name)
	live := a.peers()
	reports := g.current(live)
	s := g.combine(reports)
	if g.prefill.factor == 0 {
		g.prefill.factor, g.slot.factor = s.prefill, s.slot
	}
	g.prefill.update(now, passed, float64(g.supply.Wait)/float64(a.settings.TolerableWait), lastingWait, g.needs.prefill)
	g.slot.update(now, passed, slotPressure(g.supply, s.inUse), lastingSlots, g.needs.slot || g.supply.Refusing > 0)
	g.prefill.agree(passed, s.prefill)
	g.slot.agree(passed, s.slot)
	classes, demands, fresh := g.demand(reports, now, passed)
	bound := resources{math.Inf(1), math.Inf(1)}
	if len(live) > 0 {
		bound = capacity(now, a.settings.TolerableWait, g.supply, s.inUse, &g.prefill, &g.slot)
	}
	out, used := fractions(demands, fresh, bound), resources{}
	g.fractions, g.fresh, g.largest = make(map[Class]float64, len(classes)), make(map[Class]float64, len(classes)), 0
	for i, c := range classes {
		used = used.plus(demands[i], out[i])
		g.fractions[c] = out[i]
		g.fresh[c] = fresh[i]
		g.largest = max(g.largest, out[i]/fresh[i])
	}
	rejecting := slices.ContainsFunc(out, func(f float64) bool { return f < 1 })
	g.needs = needs{rejecting && used.prefill >= exhausted*bound.prefill, rejecting && used.slot >= exhausted*bound.slot}
}

// exhausted is the part of a capacity from which on requests are rejected for lack of it.
const exhausted = 0.98

// state is what all processes know of a group together.
type state struct {
	inUse         float64 // slots that all use
	prefill, slot float64 // mean factors
}

// combine combines the state of this process with the reports of the others. A process that
// has no factors yet takes theirs.
func (g *group) combine(reports []received) state {
	out, n := state{inUse: g.supply.InUse, prefill: g.prefill.factor, slot: g.slot.factor}, 0.0
	if out.prefill > 0 {
		n = 1
	}
	for _, r := range reports {
		out.inUse += r.InUse
		out.prefill += r.PrefillFactor
		out.slot += r.SlotFactor
		n++
	}
	if n == 0 {
		out.prefill, out.slot = 1, 1
		return out
	}
	out.prefill, out.slot = out.prefill/n, out.slot/n
	return out
}

// leastFresh is the least part of a demand that is taken to be no retries.
const leastFresh = 0.05

// sum is the demand of one class at several processes.
type sum struct {
	rate, retries float64   // requests a second
	work          resources // per second
}

func (s sum) plus(rate, retries float64, mean resources) sum {
	return sum{s.rate + rate, s.retries + rate*retries, s.work.plus(mean, rate)}
}

// demand returns the demand of all processes and the part of it that is no retries, in the
// order of the classes.
func (g *group) demand(reports []received, now, passed time.Duration) (classes []Class, demands []resources, fresh []float64) {
	sums := map[Class]sum{}
	for c, r := range g.own {
		n := r.perSecond(now)
		if n < leastRate {
			delete(g.own, c)
			continue
		}
		sums[c] = sum{}.plus(n, r.retries(), r.mean)
	}
	for _, rep := range reports {
		for _, d := range rep.Classes {
			n := d.Rate
			if own, ok := g.own[d.Class]; ok {
				n *= own.change(now, rep.at)
			}
			sums[d.Class] = sums[d.Class].plus(n, d.Retries, resources{d.Prefill, d.Slot})
		}
	}
	maps.DeleteFunc(g.totals, func(c Class, _ *total) bool { return sums[c].rate == 0 })
	classes = slices.SortedFunc(maps.Keys(sums), Class.compare)
	for _, c := range classes {
		t, ok := g.totals[c]
		if !ok {
			t = &total{}
			g.totals[c] = t
		}
		s := sums[c]
		n := max(s.rate, leastRate)
		demands = append(demands, resources{}.plus(s.work, t.update(s.rate, passed)/n))
		fresh = append(fresh, max(leastFresh, 1-s.retries/n))
	}
	return classes, demands, fresh
}
