package planner

import (
	"math"
	"sort"

	"radishspoke"
)

// Mix is the part of a group's engines that read prompts.
type Mix struct {
	Reading float64

	// Band is by how much the part may differ before engines change; 0 brings
	// it to Reading exactly. A change costs an engine seconds, so one is not
	// made for an engine that is away for a moment.
	Band float64
}

// Roles returns the engines that must change their role, so that the wanted
// part of them reads prompts and the others generate. At least one engine does
// either, if there are two. Engines that change are taken from the availability
// zones so that those which generate are spread; among equals the order of
// addresses decides, so that all processes that see the same engines plan the
// same. It is a pure core.
func Roles(engines []radishspoke.Instance, m Mix) map[string]radishspoke.Role {
	var live []radishspoke.Instance
	generating := 0
	for _, e := range engines {
		if e.Leaving {
			continue
		}
		live = append(live, e)
		if e.Role == radishspoke.DecodeRole {
			generating++
		}
	}
	sort.Slice(live, func(i, j int) bool { return live[i].Address < live[j].Address })
	n := len(live)
	if n < 2 {
		return resize(live, generating, n)
	}
	least := int(math.Round(float64(n) * (1 - m.Reading - m.Band)))
	most := int(math.Round(float64(n) * (1 - m.Reading + m.Band)))
	if m.Band > 0 && generating >= max(1, least) && generating <= min(n-1, most) {
		return nil
	}
	count := int(math.Round(float64(n) * (1 - m.Reading)))
	return resize(live, generating, max(1, min(n-1, count)))
}

// resize returns the changes that make count engines generate, where generating
// do now. Engines only change in one direction, so that no two wait for each
// other.
func resize(live []radishspoke.Instance, generating, count int) map[string]radishspoke.Role {
	out := map[string]radishspoke.Role{}
	inZone := map[string]int{} // generating engines
	for _, e := range live {
		if e.Role == radishspoke.DecodeRole {
			inZone[e.Zone]++
		}
	}
	from, to, step := radishspoke.PrefillRole, radishspoke.DecodeRole, 1
	if generating > count {
		from, to, step = radishspoke.DecodeRole, radishspoke.PrefillRole, -1
	}
	for ; generating != count; generating += step {
		best := -1
		for i, e := range live {
			// The zone with the fewest gains first, the one with the most
			// loses first.
			if _, changed := out[e.ID]; e.Role == from && !changed &&
				(best < 0 || step*inZone[e.Zone] < step*inZone[live[best].Zone]) {
				best = i
			}
		}
		if best < 0 {
			break
		}
		out[live[best].ID] = to
		inZone[live[best].Zone] += step
	}
	return out
}
