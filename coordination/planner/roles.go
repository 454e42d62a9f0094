package planner

import (
	"math"
	"sort"

	"radishspoke"
)

// Roles returns the engines that must change their role, so that the part
// reading of them reads prompts and the others generate. At least one engine
// does either, if there are two. Generating engines are spread over the
// availability zones. Engines keep their roles if they can; among equals the
// order of addresses decides, so that all processes that see the same engines
// plan the same. It is a pure core.
func Roles(engines []radishspoke.Instance, reading float64) map[string]radishspoke.Role {
	var live []radishspoke.Instance
	for _, e := range engines {
		if !e.Leaving {
			live = append(live, e)
		}
	}
	sort.Slice(live, func(i, j int) bool { return live[i].Address < live[j].Address })
	n := len(live)
	if n < 2 {
		return changes(live, generators(live, n))
	}
	count := n - int(math.Round(float64(n)*reading))
	return changes(live, generators(live, max(1, min(n-1, count))))
}

// generators chooses which engines generate.
func generators(live []radishspoke.Instance, count int) map[string]bool {
	out := map[string]bool{}
	inZone := map[string]int{}
	for len(out) < count {
		best := -1
		for i, e := range live {
			if out[e.ID] {
				continue
			}
			if best < 0 || prefer(e, live[best], inZone) {
				best = i
			}
		}
		out[live[best].ID] = true
		inZone[live[best].Zone]++
	}
	return out
}

// prefer tells whether a should rather generate than b.
func prefer(a, b radishspoke.Instance, inZone map[string]int) bool {
	if inZone[a.Zone] != inZone[b.Zone] {
		return inZone[a.Zone] < inZone[b.Zone]
	}
	return a.Role == radishspoke.DecodeRole && b.Role != radishspoke.DecodeRole
}

func changes(live []radishspoke.Instance, generating map[string]bool) map[string]radishspoke.Role {
	out := map[string]radishspoke.Role{}
	for _, e := range live {
		want := radishspoke.PrefillRole
		if generating[e.ID] {
			want = radishspoke.DecodeRole
		}
		if e.Role != want {
			out[e.ID] = want
		}
	}
	return out
}
