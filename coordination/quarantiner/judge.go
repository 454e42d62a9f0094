package quarantiner

import (
	"math"
	"slices"
	"time"
)

// judge decides which parts are blamed. Processes that know the same cases blame the
// same parts, as long as each has seen a completion.
func (q *Quarantiner) judge(now time.Duration) {
	for k, list := range q.cases {
		list = slices.DeleteFunc(list, func(c heldCase) bool { return now-c.Ended > q.settings.Hold })
		if len(list) == 0 {
			delete(q.cases, k)
		} else {
			q.cases[k] = list
		}
	}
	q.undecided = false
	blamed := map[Key]time.Duration{}
	explained := map[string]bool{} // engines whose end a blamed part explains
	for {
		k, ok := q.worst(explained)
		if !ok {
			break
		}
		for _, c := range q.cases[k] {
			if !c.Disproved {
				explained[c.Engine] = true
				blamed[k] = max(blamed[k], c.Ended+q.settings.Hold)
			}
		}
	}
	for k := range blamed {
		if _, ok := q.blamed[k]; !ok {
			q.log.Warn("prompt part in quarantine", "group", k.Group, "part", k.Part, "engines", engines(q.cases[k]), "for", blamed[k]-now)
		}
	}
	for k := range q.blamed {
		if _, ok := blamed[k]; !ok {
			q.log.Warn("prompt part released", "group", k.Group, "part", k.Part)
		}
	}
	q.blamed = blamed
}

// worst returns the part under which the most engines have ended one after the other
// that are not explained yet, and false if there are fewer than Settings.Ends for each.
// Of several, it returns the one that comes latest in its prompts, as fewer prompts
// share it.
func (q *Quarantiner) worst(explained map[string]bool) (Key, bool) {
	var worst Key
	most, depth := 0, 0
	for k, list := range q.cases {
		n, first := chain(list, explained)
		if n < q.settings.Ends || n < most {
			continue
		}
		if q.served[k.Group] <= first { // engines may end whatever their prompts hold
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

// chain returns the number of cases, neither disproved nor explained, whose request was
// sent after the engine of the previous one had ended, and the time of the first. The
// cases must be in the order of their ends.
func chain(list []heldCase, explained map[string]bool) (n int, first time.Duration) {
	last := time.Duration(math.MinInt64)
	for _, c := range list {
		if c.Disproved || explained[c.Engine] || c.Ended-c.Running <= last {
			continue
		}
		if n == 0 {
			first = c.Ended
		}
		n, last = n+1, c.Ended
	}
	return n, first
}

// engines returns the engines of cases.
func engines(list []heldCase) []string {
	out := make([]string, len(list))
	for i, c := range list {
		out[i] = c.Engine
	}
	return out
}
