package quarantiner

import (
	"maps"
	"slices"
	"time"
)

// evaluate decides which keys are quarantined. Processes that know the same crashes decide
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
	quarantined, trials := map[Key]time.Duration{}, map[Key]*trial{}
	explained := map[string]bool{} // engines whose crash a quarantined key explains
	for {
		worst, ok := q.worst(explained)
		if !ok {
			break
		}
		suspects, hold := q.suspects(worst, explained), q.settings.Hold
		if len(suspects) > 1 {
			hold = q.settings.Doubt
		}
		for _, c := range q.crashes[worst] {
			if c.Cleared {
				continue
			}
			explained[c.Engine] = true
			until := c.At + hold
			for _, k := range suspects {
				switch {
				case now < until:
					quarantined[k] = max(quarantined[k], until)
				case len(suspects) > 1:
					trials[k] = q.trialSince(k, until)
				}
			}
		}
	}
	for k := range quarantined {
		if _, ok := q.quarantined[k]; !ok {
			q.log.Warn("in quarantine", "group", k.Group, "cause", k, "engines", engines(q.crashes[k]), "for", quarantined[k]-now)
		}
	}
	for k := range quarantined {
		delete(trials, k)
	}
	for k := range q.quarantined {
		if _, ok := quarantined[k]; !ok {
			_, tried := trials[k]
			q.log.Warn("released from quarantine", "group", k.Group, "cause", k, "trial", tried)
		}
	}
	q.quarantined, q.trials = quarantined, trials
}

// trialSince returns the state of a key that is tried again, whose quarantine ended at until.
func (q *Quarantiner) trialSince(k Key, until time.Duration) *trial {
	t, ok := q.trials[k]
	if !ok {
		t = &trial{}
	}
	t.since = max(t.since, until)
	return t
}

// worst returns the key with the most independent crashes, and false if all have fewer than
// Settings.Crashes. Of several, it returns the one that comes latest in its prompts, as fewer
// prompts share it.
func (q *Quarantiner) worst(explained map[string]bool) (Key, bool) {
	var worst Key
	most, depth := 0, 0
	for k, list := range q.crashes {
		n, first := q.independent(k, list, explained)
		if n < q.settings.Crashes || n < most {
			continue
		}
		// Without a completion, engines may crash whatever their prompts hold. A whole
		// request that was on all of them is not sent to further ones all the same.
		if k.Request == "" && q.served[k.Group] <= first {
			q.undecided = true
			continue
		}
		d := list[len(list)-1].Depth
		if n > most || d > depth || d == depth && k.String() < worst.String() {
			worst, most, depth = k, n, d
		}
	}
	return worst, most > 0
}

// suspects returns the keys of which one has caused the crashes of the given one. They are
// that key and, if it is that of a request, the other requests that were on the same crashed
// targets, as the retries of a sound one may have met the bad one each time.
func (q *Quarantiner) suspects(k Key, explained map[string]bool) []Key {
	out := []Key{k}
	if k.Request == "" {
		return out
	}
	targets := q.unexplained(k, explained)
	for o := range q.crashes {
		if o != k && o.Request != "" && maps.Equal(targets, q.unexplained(o, explained)) {
			out = append(out, o)
		}
	}
	return out
}

// unexplained returns the crashed targets of a key whose crash is neither cleared nor explained.
func (q *Quarantiner) unexplained(k Key, explained map[string]bool) map[string]bool {
	out := map[string]bool{}
	for _, c := range q.crashes[k] {
		if !c.Cleared && !explained[c.Engine] && !q.isLate(c.Crash) {
			out[c.Engine] = true
		}
	}
	return out
}

// independent returns the number of crashes, neither cleared nor of explained engines, that
// may have nothing in common but the key, and the time of the first. These are crashes on a
// request that was sent after the previous crash. Those on a whole request need only be at
// different moments: its repetitions come to several processes at once, and other requests
// seldom have the same. A request that was sent when the engine had crashed already does not
// count. The crashes must be in the order of their times.
func (q *Quarantiner) independent(k Key, list []heldCrash, explained map[string]bool) (n int, first time.Duration) {
	last := time.Duration(0)
	for _, c := range list {
		since := c.At
		if k.Request == "" {
			since -= c.Running
		}
		if c.Cleared || explained[c.Engine] || q.isLate(c.Crash) || n > 0 && since <= last+sameMoment {
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
