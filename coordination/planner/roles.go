package planner

import (
	"math"
	"sort"

	"radishspoke"
)

// Mix is the wanted division of the engines of a group between the roles prefill
// and decode.
type Mix struct {
	// PrefillShare is the share of the engines with the role prefill, from 0 to
	// 1.
	PrefillShare float64

	// Tolerance is the deviation of the share from PrefillShare up to which no
	// engine changes its role. If it is 0, engines change until the share is as
	// close to PrefillShare as possible. A change takes an engine out of service
	// for seconds, so a tolerance avoids changes when an engine is unavailable
	// only briefly.
	Tolerance float64
}

// RoleChanges returns the new roles of the engines that must change their
// role, by the ID of the engine, so that the share of prefill engines matches
// m. Of two or more engines, at least one has each role; a single engine has
// the role decode. Leaving engines are not counted. The engines that change
// are chosen so that decode engines are spread over the availability zones.
// Ties are decided by the order of addresses, so that all processes that see
// the same engines plan the same changes. RoleChanges does no I/O and keeps no
// state.
func RoleChanges(engines []radishspoke.Instance, m Mix) map[string]radishspoke.Role {
	var live []radishspoke.Instance
	decoding := 0
	for _, e := range engines {
		if e.Leaving {
			continue
		}
		live = append(live, e)
		if e.Role == radishspoke.DecodeRole {
			decoding++
		}
	}
	sort.Slice(live, func(i, j int) bool { return live[i].Address < live[j].Address })
	n := len(live)
	if n < 2 {
		return reassign(live, decoding, n)
	}
	lower := int(math.Round(float64(n) * (1 - m.PrefillShare - m.Tolerance)))
	upper := int(math.Round(float64(n) * (1 - m.PrefillShare + m.Tolerance)))
	if m.Tolerance > 0 && decoding >= max(1, lower) && decoding <= min(n-1, upper) {
		return nil
	}
	count := int(math.Round(float64(n) * (1 - m.PrefillShare)))
	return reassign(live, decoding, max(1, min(n-1, count)))
}

// reassign returns the role changes that bring the number of decode engines from
// decoding, the present number, to count. All changes go in the same direction,
// so that none depends on another.
func reassign(live []radishspoke.Instance, decoding, count int) map[string]radishspoke.Role {
	out := map[string]radishspoke.Role{}
	decodingIn := map[string]int{} // number of decode engines, by zone
	for _, e := range live {
		if e.Role == radishspoke.DecodeRole {
			decodingIn[e.Zone]++
		}
	}
	from, to, step := radishspoke.PrefillRole, radishspoke.DecodeRole, 1
	if decoding > count {
		from, to, step = radishspoke.DecodeRole, radishspoke.PrefillRole, -1
	}
	for ; decoding != count; decoding += step {
		best := -1
		for i, e := range live {
			// The zone with the fewest decode engines gains one first, the
			// zone with the most loses one first.
			if _, changed := out[e.ID]; e.Role == from && !changed &&
				(best < 0 || step*decodingIn[e.Zone] < step*decodingIn[live[best].Zone]) {
				best = i
			}
		}
		if best < 0 {
			break
		}
		out[live[best].ID] = to
		decodingIn[live[best].Zone] += step
	}
	return out
}

// decodeParts is the number of steps in which decode engines change their role while callers
// are served. An engine that is ordered to prefill takes no answers until those that it runs
// have ended, which takes many seconds; two of three at once left a fleet without enough decode
// engines for twenty seconds.
const decodeParts = 4

// Stagger returns the role changes that may be ordered at once: all to decode, and those of a
// part of the decode engines to prefill. Ties are decided by the order of addresses.
func Stagger(engines []radishspoke.Instance, changes map[string]radishspoke.Role) map[string]radishspoke.Role {
	decoding := 0
	var leaving []radishspoke.Instance
	out := map[string]radishspoke.Role{}
	for _, e := range engines {
		role, ok := changes[e.ID]
		if e.Role == radishspoke.DecodeRole && !e.Leaving {
			decoding++
			if ok && role == radishspoke.PrefillRole {
				leaving = append(leaving, e)
				continue
			}
		}
		if ok {
			out[e.ID] = role
		}
	}
	sort.Slice(leaving, func(i, j int) bool { return leaving[i].Address < leaving[j].Address })
	for _, e := range leaving[:min(len(leaving), max(1, decoding/decodeParts))] {
		out[e.ID] = changes[e.ID]
	}
	return out
}
