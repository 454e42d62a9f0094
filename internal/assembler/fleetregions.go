package assembler

import "radishspoke"

// warnRegions logs the regions of a configuration that no availability zone belongs to.
// Requests that may go to no other region have no target.
func (e *FleetEntry) warnRegions(t *radishspoke.RoutingTable) {
	known := map[string]bool{e.settings.Region: true}
	for _, r := range e.settings.Regions {
		known[r] = true
	}
	warn := func(regions []string) {
		for _, r := range regions {
			if !known[r] {
				known[r] = true
				e.env.Log.Warn("region of the configuration has no zone", "version", t.Version, "region", r)
			}
		}
	}
	for _, r := range t.Rules {
		warn(r.Regions)
	}
	for _, team := range t.Teams {
		warn(team.Regions)
	}
}
