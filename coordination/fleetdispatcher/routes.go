package fleetdispatcher

import (
	"github.com/cespare/xxhash/v2"

	"radishspoke"
)

// matchRule returns the rule for a host with the longest matching path prefix,
// and false if there is none.
func matchRule(t *radishspoke.RoutingTable, host, path string) (radishspoke.PathRule, bool) {
	best := -1
	for i, r := range t.Rules {
		if r.Host == host && len(path) >= len(r.Prefix) && path[:len(r.Prefix)] == r.Prefix &&
			(best < 0 || len(r.Prefix) > len(t.Rules[best].Prefix)) {
			best = i
		}
	}
	if best < 0 {
		return radishspoke.PathRule{}, false
	}
	return t.Rules[best], true
}

// chooseGroup returns a group of a rule, drawn by weight. The draw depends only
// on the id of the request, so that all processes choose the same group.
func chooseGroup(r radishspoke.PathRule, id string) string {
	if len(r.Choices) == 1 {
		return r.Choices[0].Group
	}
	sum := 0.0
	for _, c := range r.Choices {
		sum += c.Weight
	}
	draw := float64(xxhash.Sum64String(id)>>11) / (1 << 53) * sum
	for _, c := range r.Choices {
		if draw -= c.Weight; draw < 0 {
			return c.Group
		}
	}
	return r.Choices[0].Group
}
