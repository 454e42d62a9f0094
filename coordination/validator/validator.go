package validator

import (
	"sync"
	"time"

	"radishspoke"
	"radishspoke/internal/disabler"
)

// MaxProofAge is the time for which a process trusts its configuration without
// a new proof that it is current, and for which the report of a peer is valid.
const MaxProofAge = 8 * time.Second

// Report is the configuration version of a peer, as of the time At. At is taken
// before the request for the report was sent.
type Report struct {
	Version int64
	At      time.Duration
}

// Validator keeps the reports of the peers of an entry, and decides from them
// whether the entry may trust its configuration. Create one with New.
type Validator struct {
	self  string
	clock radishspoke.Clock

	mu      sync.Mutex
	reports map[string]Report
	entries []string
	started time.Duration
}

// New returns a Validator without reports for the entry with the given name.
func New(self string, c radishspoke.Clock) *Validator {
	return &Validator{self: self, clock: c, reports: map[string]Report{}, started: c.Now()}
}

// SetEntries sets the names of all entries, as last listed by the platform. It
// must not be called while the platform is unreachable.
func (v *Validator) SetEntries(names []string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.entries = names
	for n := range v.reports {
		if !contains(names, n) {
			delete(v.reports, n)
		}
	}
}

// SetReport records the report of a peer.
func (v *Validator) SetReport(name string, r Report) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.reports[name] = r
}

// Trusts returns whether a configuration version may be trusted, given the age
// of the last proof that it is current. Version 0 is never trusted.
func (v *Validator) Trusts(version int64, age time.Duration) bool {
	if version == 0 {
		return false
	}
	if age <= MaxProofAge || disabler.Disabled(disabler.ConfigurationExpiry) {
		return true
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if !contains(v.entries, v.self) {
		return false
	}
	now := v.clock.Now()
	votes := 1
	for _, n := range v.entries {
		r, ok := v.reports[n]
		if n == v.self || !ok || now-r.At > MaxProofAge {
			continue
		}
		if r.Version > version {
			return false
		}
		if r.Version == version {
			votes++
		}
	}
	return votes > len(v.entries)/2
}

// contains returns whether name is one of names.
func contains(names []string, name string) bool {
	for _, n := range names {
		if n == name {
			return true
		}
	}
	return false
}
