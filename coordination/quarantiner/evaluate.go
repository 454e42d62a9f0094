package quarantiner

import (
	"maps"
	"slices"
	"time"
)

// evaluate decides which parts are quarantined. Processes that know the same crashes decide
// the same, as long as each has seen a completion.
func (q *Quarantiner) evaluate(now time.Duration) {
	for k, list := range q.crashes {
		list = slices.DeleteFunc(list, func(c heldCrash) bool { return now-c.At > q.settings.Hold })
		if len(list) == 0 {
			delete(q.crashes, k)
		} else {
			q.crashes[k] = list
		}
	}
	maps.DeleteFunc(q.crashedAt, func(_ string, at time.Duration) bool { return now-at > q.settings.Hold })
	q.undecided = false
	quarantined := map[Key]time.Duration{}
	explained := map[string]bool{} // engines whose crash a quarantined part explains
	for {
		k, ok := q.worst(explained)
		if !ok {
			break
		}
		for _, c := range q.crashes[k] {
			if !c.Cleared {
				explained[c.Engine] = true
				quarantined[k] = max(quarantined[k], c.At+q.settings.Hold)
			}
		}
	}
	for k := range quarantined {
		if _, ok := q.quarantined[k]; !ok {
			q.log.Warn("prompt part in quarantine", "group", k.Group, "part", k.Part, "engines", engines(q.crashes[k]), "for", quarantined[k]-now)
		}
	}
	for k := range q.quarantined {
		if _, ok := quarantined[k]; !ok {
			q.log.Warn("prompt part released", "group", k.Group, "part", k.Part)
		}
	}
	q.quarantined = quarantined
}

// worst returns the part with the most independent crashes, and false if all parts have
// fewer than Settings.Crashes. Of several, it returns the one that comes latest in its
// prompts, as fewer prompts share it.
func (q *Quarantiner) worst(explained map[string]bool) (Key, bool) {
	var worst Key
	most, depth := 0, 0
	for k, list := range q.crashes {
		n, first := q.independent(list, explained)
		if n < q.settings.Crashes || n < most {
			continue
		}
		if q.served[k.Group] <= first { // engines may crash whatever their prompts hold
			q.undecided = true
			continue
		}
		d := list[len(list)-1].Depth
		if n > most || d > depth || d == depth && k.Part < worst.Part {
			worst, most, depth = k, n, d
		}
	}
	return worst, most > 0
}

// independent returns the number of crashes, neither cleared nor of explained engines, whose
// request was sent after the previous one, and the time of the first. A request that was
// sent when the engine had crashed already does not count. The crashes must be in the order
// of their times.
func (q *Quarantiner) independent(list []heldCrash, explained map[string]bool) (n int, first time.Duration) {
	last := time.Duration(0)
	for _, c := range list {
		if c.Cleared || explained[c.Engine] || q.isLate(c.Crash) || n > 0 && c.At-c.Running <= last+sameMoment {
			continue
		}
		if n == 0 {
			first = c.At
		}
		n, last = n+1, c.At
	}
	return n, first
}

// engines returns the engines of crashes.
func engines(list []heldCrash) []string {
	out := make([]string, len(list))
	for i, c := range list {
		out[i] = c.Engine
	}
	return out
}
