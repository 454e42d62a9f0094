package fleetdispatcher

import (
	"slices"

	"radishspoke"
	"radishspoke/coordination/fleetrouter"
)

// allowedRegions returns the regions to which a request of a team on a route may go: those that
// both state, or those of the one that states any. It is nil if neither does.
func allowedRegions(r radishspoke.PathRule, t radishspoke.TeamRule) []string {
	switch {
	case len(r.Regions) == 0 && len(t.Regions) == 0:
		return nil
	case len(t.Regions) == 0:
		return r.Regions
	case len(r.Regions) == 0:
		return t.Regions
	}
	out := []string{}
	for _, region := range r.Regions {
		if slices.Contains(t.Regions, region) {
			out = append(out, region)
		}
	}
	return out
}

// lacksDecoder reports whether the regions of a request have no decode engine that takes it, so
// that prefilling the prompt there would be wasted work.
func (d *Dispatcher) lacksDecoder(j *job) bool {
	return j.regions != nil && !d.Router.Has(j.group.Name, radishspoke.DecodeRole, fleetrouter.Selection{Software: j.software, Regions: j.regions})
}
