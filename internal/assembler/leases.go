package assembler

import (
	"radishspoke/state/tracker"
)

// leaseCandidates is the number of entries that may take a lease of the store.
const leaseCandidates = 3

// wantedLeases returns the store's leases that this entry may hold, with its
// rank for each.
func (e *Entry) wantedLeases() map[string]int {
	out := map[string]int{}
	if e.leaving.Load() {
		return out
	}
	for _, lease := range []string{keeperLease, reporterLease, plannerLease} {
		for i, m := range tracker.Rank(lease, e.tracker.Entries()) {
			if i < leaseCandidates && m.Name == e.settings.Process.Name {
				out[lease] = i
			}
		}
	}
	return out
}
