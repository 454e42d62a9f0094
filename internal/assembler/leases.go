package assembler

import (
	"radishspoke/state/tracker"
)

// leaseCandidates is the number of entries that may take each lease of the
// store.
const leaseCandidates = 3

// wantedLeases returns the leases of the store that this entry may hold, with
// its rank for each. A stopping entry may hold none.
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
